#include "havenstaird/request/Dispatcher.h"

namespace havenstair {

namespace {

constexpr Duration NoCopyRetryAfter = 1s;

Failure noUpstreamFailure(const ForwardedRequest &Request) {
  const ErrorKind Kind = Request.m_Service.empty() ? ErrorKind::NoResidentCopy
                                                   : ErrorKind::NoUpstream;
  return {.m_Kind = Kind, .m_RetryAfter = NoCopyRetryAfter, .m_Detail = {}};
}

} // namespace

struct Dispatcher::Work {
  DispatchId m_Id = 0;
  ForwardedRequest m_Request;
  AnswerSinkPtr m_Sink;
  RequestAttempts m_Attempts;
  AttemptId m_Current = 0;
  TimePoint m_Deadline;
  bool m_Spilled = false;
  bool m_Done = false;
  Timer m_Watch;
};

/// Passes on the answer of the current attempt and drops that of any other.
class Dispatcher::AttemptSink : public AnswerSink {
public:
  AttemptSink(Dispatcher &Owner, std::weak_ptr<Work> Item, AttemptId Attempt)
      : m_Owner(Owner), m_Item(std::move(Item)), m_Attempt(Attempt) {}

  void started(Duration Waited) override {
    const WorkPtr Item = current();
    if (!Item)
      return;
    // The request has started, so it can no longer count as lost.
    Item->m_Watch = Timer();
    Item->m_Sink->started(Waited);
  }
  void head(const AnswerHead &Head) override {
    if (const WorkPtr Item = current())
      Item->m_Sink->head(Head);
  }
  void bytes(std::string_view Bytes) override {
    const WorkPtr Item = current();
    if (!Item)
      return;
    // Only a stream is delivered before it is complete.
    if (Item->m_Request.m_Stream)
      Item->m_Attempts.delivered(m_Attempt);
    Item->m_Sink->bytes(Bytes);
  }
  void ended(double Tokens) override {
    const WorkPtr Item = current();
    if (!Item || !Item->m_Attempts.completed(m_Attempt))
      return;
    m_Owner.finish(Item);
    Item->m_Sink->ended(Tokens);
  }
  void failed(const Failure &Reason) override {
    if (const WorkPtr Item = current())
      m_Owner.attemptFailed(Item, m_Attempt, Reason);
  }

private:
  WorkPtr current() const {
    WorkPtr Item = m_Item.lock();
    if (!Item || Item->m_Done || !Item->m_Attempts.accepts(m_Attempt))
      return nullptr;
    return Item;
  }

  Dispatcher &m_Owner;
  std::weak_ptr<Work> m_Item;
  AttemptId m_Attempt;
};

Dispatcher::Dispatcher(EventLoop &Loop, AttemptRunner &Runner,
                       DispatchView View, Options Opts)
    : m_Loop(Loop), m_Runner(Runner), m_View(std::move(View)),
      m_Opts(std::move(Opts)) {}

Dispatcher::~Dispatcher() = default;

DispatchId Dispatcher::dispatch(ForwardedRequest Request, AnswerSinkPtr Sink) {
  m_RetryBudget.earn();
  const RequestAttempts::Options Attempts{
      .m_Unsafe = Request.m_Unsafe, .m_MaxAttempts = m_Opts.m_MaxAttempts};
  auto Item =
      std::make_shared<Work>(Work{.m_Id = ++m_LastId,
                                  .m_Request = std::move(Request),
                                  .m_Sink = std::move(Sink),
                                  .m_Attempts = RequestAttempts(Attempts),
                                  .m_Deadline = {},
                                  .m_Watch = {}});
  Item->m_Deadline = EventLoop::now() + Item->m_Request.m_Budget;
  m_Active.emplace(Item->m_Id, Item);
  m_Loop.defer([this, Item] {
    if (!Item->m_Done)
      tryNext(Item);
  });
  return Item->m_Id;
}

std::vector<Candidate> Dispatcher::candidates(const Work &Item) const {
  const std::set<UpstreamName> &Tried = Item.m_Attempts.tried();
  const ForwardedRequest &Request = Item.m_Request;
  if (!Request.m_Service.empty())
    return m_View.m_Directory->ofService(Request.m_Service, Tried);
  return m_View.m_Directory->serving(Request.m_Artifact, Tried);
}

void Dispatcher::tryNext(const WorkPtr &Item) {
  std::vector<Candidate> Left = candidates(*Item);
  while (!Left.empty()) {
    const UpstreamName Chosen =
        *m_Opts.m_Routing(Left, Item->m_Request.m_Prefix);
    const std::optional<BoxName> Admitter = m_View.m_AdmitterOf(Chosen);
    if (Admitter && tryUpstream(Item, Chosen, *Admitter))
      return;
    std::erase_if(
        Left, [&](const Candidate &Each) { return Each.m_Upstream == Chosen; });
  }
  if (trySpill(Item))
    return;
  giveUp(Item, Item->m_Attempts.exhausted(noUpstreamFailure(Item->m_Request)));
}

bool Dispatcher::tryUpstream(const WorkPtr &Item, const UpstreamName &Upstream,
                             const BoxName &Admitter) {
  ForwardedRequest Attempt = Item->m_Request;
  Attempt.m_Role = ForwardRole::Admit;
  Attempt.m_Upstream = Upstream;
  return startAttempt(Item, std::move(Attempt), Admitter);
}

/// Sends the request to another data centre, over one hop at most and only when
/// no upstream here can serve it.
bool Dispatcher::trySpill(const WorkPtr &Item) {
  if (Item->m_Spilled || Item->m_Request.m_Hops > 0)
    return false;
  const std::optional<BoxName> To = m_View.m_SpillTo(Item->m_Request);
  if (!To)
    return false;
  Item->m_Spilled = true;
  ForwardedRequest Attempt = Item->m_Request;
  Attempt.m_Role = ForwardRole::Dispatch;
  Attempt.m_Hops += 1;
  return startAttempt(Item, std::move(Attempt), *To);
}

bool Dispatcher::startAttempt(const WorkPtr &Item, ForwardedRequest Attempt,
                              const BoxName &To) {
  const AttemptId Id = nextAttempt();
  Attempt.m_Attempt = Id;
  Attempt.m_Budget =
      std::max<Duration>(0us, Item->m_Deadline - EventLoop::now());
  auto Sink = std::make_shared<AttemptSink>(*this, Item, Id);
  if (!m_Runner.run(To, Attempt, Sink))
    return false;
  Item->m_Attempts.begin(Id, Attempt.m_Upstream);
  Item->m_Current = Id;
  if (m_Opts.m_OnAttempt)
    m_Opts.m_OnAttempt(Attempt.m_Id, Attempt.m_Upstream, To);
  watchAttempt(Item, Id, Attempt.m_Budget + m_Opts.m_Grace);
  return true;
}

/// Fails an attempt that its box neither starts nor refuses within \p Limit:
/// the box is down or does not respond.
void Dispatcher::watchAttempt(const WorkPtr &Item, AttemptId Attempt,
                              Duration Limit) {
  const std::weak_ptr<Work> Weak = Item;
  Item->m_Watch = m_Loop.after(Limit, [this, Weak, Attempt] {
    const WorkPtr Held = Weak.lock();
    if (!Held || Held->m_Done || !Held->m_Attempts.accepts(Attempt))
      return;
    m_Runner.cancel(Attempt);
    attemptFailed(Held, Attempt,
                  {.m_Kind = ErrorKind::OwnerLost, .m_Detail = {}});
  });
}

void Dispatcher::attemptFailed(const WorkPtr &Item, AttemptId Attempt,
                               const Failure &Reason) {
  const AttemptDecision Decision = Item->m_Attempts.failed(Attempt, Reason);
  if (const auto *Stop = std::get_if<GiveUp>(&Decision))
    return giveUp(Item, Stop->m_Failure);
  if (!std::holds_alternative<TryElsewhere>(Decision))
    return;
  // The requests of a lost box have ended with it, so retries of these add no
  // load; other retries do.
  const bool BoxLost = Reason.m_Kind == ErrorKind::OwnerLost ||
                       Reason.m_Kind == ErrorKind::OwnerUnavailable;
  if (!BoxLost && !m_RetryBudget.trySpend())
    return giveUp(Item, Reason);
  if (m_Opts.m_OnRetry)
    m_Opts.m_OnRetry();
  tryNext(Item);
}

void Dispatcher::giveUp(const WorkPtr &Item, const Failure &Reason) {
  finish(Item);
  Item->m_Sink->failed(Reason);
}

void Dispatcher::finish(const WorkPtr &Item) {
  Item->m_Done = true;
  Item->m_Watch = Timer();
  m_Active.erase(Item->m_Id);
}

void Dispatcher::cancel(DispatchId Id) {
  const auto Found = m_Active.find(Id);
  if (Found == m_Active.end())
    return;
  const WorkPtr Item = Found->second;
  finish(Item);
  if (Item->m_Current != 0)
    m_Runner.cancel(Item->m_Current);
}

} // namespace havenstair
