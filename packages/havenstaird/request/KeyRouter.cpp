#include "havenstaird/request/KeyRouter.h"

namespace havenstair {

/// One request, which is the sink of its attempts.
class KeyRouter::Work : public AnswerSink,
                        public std::enable_shared_from_this<Work> {
public:
  Work(KeyRouter &Owner, ForwardedRequest Request, AnswerSinkPtr Caller)
      : m_Owner(Owner), m_Request(std::move(Request)),
        m_Caller(std::move(Caller)),
        m_Limit(m_Request.m_Budget + Owner.m_Opts.m_Grace) {}

  void tryOwner() {
    if (!m_Caller)
      return;
    ++m_Attempts;
    const std::optional<BoxName> To = m_Owner.m_Opts.m_OwnerOf(m_Request);
    m_Request.m_Attempt = m_Owner.m_Opts.m_NextAttempt();
    if (!To || !m_Owner.m_Runner.run(*To, m_Request, shared_from_this()))
      return failed(
          {.m_Kind = ErrorKind::KeyOwnerUnavailable, .m_RetryAfter = 1s});
    m_Timer = m_Owner.m_Loop.after(m_Limit, [Self = weak_from_this()] {
      if (const auto Held = Self.lock())
        Held->lost();
    });
  }

  void forget() { m_Caller.reset(); }

  void started(Duration Waited) override {
    m_Timer = Timer();
    if (m_Caller)
      m_Caller->started(Waited);
  }
  void head(const AnswerHead &Head) override {
    if (m_Caller)
      m_Caller->head(Head);
  }
  void bytes(std::string_view Bytes) override {
    if (m_Caller)
      m_Caller->bytes(Bytes);
  }
  void ended(double Tokens) override {
    if (const AnswerSinkPtr Caller = std::exchange(m_Caller, nullptr))
      Caller->ended(Tokens);
  }
  void failed(const Failure &Reason) override {
    const bool Moving = Reason.m_Kind == ErrorKind::KeyOwnerUnavailable;
    if (Moving && m_Caller && m_Attempts < m_Owner.m_Opts.m_MaxAttempts) {
      m_Timer = m_Owner.m_Loop.after(
          m_Owner.m_Opts.m_RetryEvery,
          [Self = shared_from_this()] { Self->tryOwner(); });
      return;
    }
    // The timer may hold this object, so it is destroyed in the next pass of
    // the loop.
    m_Owner.m_Loop.defer(
        [Self = shared_from_this()] { Self->m_Timer = Timer(); });
    if (const AnswerSinkPtr Caller = std::exchange(m_Caller, nullptr))
      Caller->failed(Reason);
  }

private:
  /// The owner has neither started nor refused the request in time.
  void lost() {
    m_Owner.m_Runner.cancel(m_Request.m_Attempt);
    failed({.m_Kind = ErrorKind::OutcomeUnknown});
  }

  KeyRouter &m_Owner;
  ForwardedRequest m_Request;
  AnswerSinkPtr m_Caller;
  Duration m_Limit;
  Timer m_Timer;
  int m_Attempts = 0;
};

KeyRouter::KeyRouter(EventLoop &Loop, AttemptRunner &Runner, Options Opts)
    : m_Loop(Loop), m_Runner(Runner), m_Opts(std::move(Opts)) {}

std::function<void()> KeyRouter::run(ForwardedRequest Request,
                                     AnswerSinkPtr Sink) {
  Request.m_Role = ForwardRole::KeyOwner;
  auto Item =
      std::make_shared<Work>(*this, std::move(Request), std::move(Sink));
  m_Loop.defer([Item] { Item->tryOwner(); });
  return [Weak = std::weak_ptr<Work>(Item)] {
    if (const auto Held = Weak.lock())
      Held->forget();
  };
}

} // namespace havenstair
