#include "havenstaird/process/UpstreamOwner.h"

#include "havenstaird/common/Log.h"

namespace havenstair {

namespace {

constexpr std::string_view StreamEnd = "data: [DONE]";
/// Bytes at the end of a stream that are kept to find its end mark.
constexpr std::size_t TailLength = 64;
constexpr Duration UpstreamSilence = 60s;

HttpMethod methodOf(const std::string &Name) {
  if (Name == "POST")
    return HttpMethod::Post;
  if (Name == "PUT")
    return HttpMethod::Put;
  if (Name == "DELETE")
    return HttpMethod::Delete;
  return HttpMethod::Get;
}

std::size_t countEvents(std::string_view Bytes) {
  std::size_t Count = 0;
  std::size_t At = 0;
  while ((At = Bytes.find("data:", At)) != std::string_view::npos) {
    ++Count;
    At += 5;
  }
  return Count;
}

EngineOrders::Options ordersFor(const UpstreamOwner::Options &Opts) {
  return {.m_Self = Opts.m_Self,
          .m_Capacity = Opts.m_Spec.m_Capacity,
          .m_KvReserve = Opts.m_Spec.m_KvReserve,
          .m_ChecksTokens = Opts.m_Spec.m_ChecksTokens,
          .m_OrderLife = Opts.m_OrderLife};
}

} // namespace

RequestId admissionId(const BoxName &Origin, AttemptId Attempt) {
  return RequestId(Origin.str() + "/" + std::to_string(Attempt));
}

struct UpstreamOwner::Call {
  RequestId m_Id;
  ForwardedRequest m_Request;
  AnswerSinkPtr m_Sink;
  HttpCallHandle m_Handle;
  bool m_Started = false;
  bool m_Done = false;
  bool m_HasHead = false;
  /// Set when the engine has answered that it did not run the request.
  std::optional<Failure> m_Refused;
  std::string m_Tail;
  double m_Tokens = 0;
};

UpstreamOwner::UpstreamOwner(EventLoop &Loop, HttpClient &Http,
                             Platform &Service, Options Opts)
    : m_Loop(Loop), m_Http(Http), m_Platform(Service), m_Opts(std::move(Opts)),
      m_Engine(Http, {.m_Address = m_Opts.m_Spec.m_Address,
                      .m_Port = m_Opts.m_Spec.m_Port}),
      m_Orders(ordersFor(m_Opts)),
      m_Admission({.m_Slots = std::max(1, m_Opts.m_Spec.m_Slots),
                   .m_WeightOf = m_Opts.m_WeightOf}) {}

UpstreamOwner::~UpstreamOwner() { *m_Alive = false; }

void UpstreamOwner::own(FencingToken Token) {
  if (Token == m_Token)
    return;
  m_Token = Token;
  ++m_Generation;
  // No order of an earlier ownership may be written after this.
  m_Engine.dropOrders();
  if (m_Opts.m_Spec.m_Kind == UpstreamKind::Service)
    return;
  if (Token == 0) {
    m_Orders.resign();
    return;
  }
  performOrders(m_Orders.takeOver(Token, EventLoop::now()));
}

bool UpstreamOwner::serves(const ForwardedRequest &Request) const {
  if (m_Opts.m_Spec.m_Kind == UpstreamKind::Service || !m_Orders.ready())
    return true;
  return m_Orders.serving().count(Request.m_Artifact) != 0;
}

void UpstreamOwner::admit(const RequestId &Id, const ForwardedRequest &Request,
                          AnswerSinkPtr Sink) {
  if (!m_Opts.m_MayTakeWork()) {
    Sink->failed({.m_Kind = ErrorKind::NoUpstream, .m_RetryAfter = 1s});
    return;
  }
  if (!serves(Request)) {
    Sink->failed({.m_Kind = ErrorKind::NoResidentCopy, .m_RetryAfter = 1s});
    return;
  }
  auto Item = std::make_shared<Call>();
  Item->m_Id = Id;
  Item->m_Request = Request;
  Item->m_Sink = std::move(Sink);
  m_Calls[Id] = Item;
  const TimePoint Now = EventLoop::now();
  perform(m_Admission.offer({.m_Id = Id,
                             .m_Group = Request.m_Group,
                             .m_Cost = Request.m_Cost,
                             .m_Priority = Request.m_Priority,
                             .m_Deadline = Now + Request.m_Budget},
                            Now));
}

void UpstreamOwner::perform(const AdmissionActions &Actions) {
  for (const AdmissionAction &Action : Actions) {
    if (const auto *Start = std::get_if<StartRequest>(&Action)) {
      if (const auto Found = m_Calls.find(Start->m_Id); Found != m_Calls.end())
        startCall(CallPtr(Found->second), Start->m_Waited);
      continue;
    }
    const auto &Refusal = std::get<RefuseRequest>(Action);
    const auto Found = m_Calls.find(Refusal.m_Id);
    if (Found == m_Calls.end())
      continue;
    const CallPtr Item = Found->second;
    m_Calls.erase(Found);
    Item->m_Done = true;
    Item->m_Sink->failed(Refusal.m_Failure);
  }
}

void UpstreamOwner::startCall(const CallPtr &Item, Duration Waited) {
  Item->m_Started = true;
  Item->m_Sink->started(Waited);
  // The sink may have cancelled the request.
  if (Item->m_Done)
    return;
  Item->m_Handle = m_Http.start(upstreamCall(Item));
}

HttpCall UpstreamOwner::upstreamCall(const CallPtr &Item) {
  const ForwardedRequest &Request = Item->m_Request;
  const std::weak_ptr<Call> Weak = Item;
  HttpCall Result;
  Result.m_To = {.m_Address = m_Opts.m_Spec.m_Address,
                 .m_Port = m_Opts.m_Spec.m_Port};
  Result.m_Method = methodOf(Request.m_Method);
  Result.m_Target = Request.m_Target;
  Result.m_Headers = {{"Havenstair-Request-Id", Request.m_Id.str()},
                      {"Havenstair-Group", Request.m_Group.str()}};
  if (!Request.m_ContentType.empty())
    Result.m_Headers.push_back({"Content-Type", Request.m_ContentType});
  if (!Request.m_Key.empty())
    Result.m_Headers.push_back({"Idempotency-Key", Request.m_Key.str()});
  Result.m_Body = Request.m_Body;
  Result.m_IdleTimeout = UpstreamSilence;
  Result.m_OnHead = [this, Weak](int Status, const HttpHeaders &Headers) {
    if (const CallPtr Held = Weak.lock())
      onHead(Held, Status, Headers);
  };
  Result.m_OnBytes = [this, Weak](std::string_view Bytes) {
    if (const CallPtr Held = Weak.lock())
      onBytes(Held, Bytes);
  };
  Result.m_OnEnd = [this, Weak](HttpEnd End) {
    if (const CallPtr Held = Weak.lock())
      onEnd(Held, End);
  };
  return Result;
}

/// Engines answer 404 for a model that they do not hold, and 429 or 503 when
/// they cannot take the request; in both cases it was not run. Answers of plain
/// services are passed on without interpretation.
void UpstreamOwner::onHead(const CallPtr &Item, int Status,
                           const HttpHeaders &Headers) {
  if (m_Opts.m_Spec.m_Kind == UpstreamKind::Engine) {
    // By the ledger the engine holds the model, so it has lost it since: the
    // report is read again.
    if (Status == 404 && owned())
      readReport();
    if (Status == 404)
      Item->m_Refused =
          Failure{.m_Kind = ErrorKind::NoResidentCopy, .m_RetryAfter = 1s};
    else if (Status == 429 || Status == 503)
      Item->m_Refused =
          Failure{.m_Kind = ErrorKind::Overloaded, .m_RetryAfter = 1s};
    if (Item->m_Refused)
      return;
  }
  Item->m_HasHead = true;
  Item->m_Sink->head({.m_Status = Status,
                      .m_ContentType = findHeader(Headers, "Content-Type")});
}

void UpstreamOwner::onBytes(const CallPtr &Item, std::string_view Bytes) {
  if (Item->m_Refused)
    return;
  if (Item->m_Request.m_Stream) {
    Item->m_Tokens += static_cast<double>(countEvents(Bytes));
    Item->m_Tail.append(Bytes);
    if (Item->m_Tail.size() > TailLength)
      Item->m_Tail.erase(0, Item->m_Tail.size() - TailLength);
  } else {
    Item->m_Tokens += static_cast<double>(Bytes.size()) / 4;
  }
  Item->m_Sink->bytes(Bytes);
}

Failure UpstreamOwner::failureFor(const Call &Item, HttpEnd End) const {
  if (End == HttpEnd::NotWritten)
    return {.m_Kind = ErrorKind::NoUpstream, .m_RetryAfter = 1s};
  if (Item.m_Request.m_Unsafe)
    return {.m_Kind = ErrorKind::OutcomeUnknown};
  return {.m_Kind = Item.m_HasHead ? ErrorKind::StreamCut
                                   : ErrorKind::UpstreamFailed};
}

void UpstreamOwner::onEnd(const CallPtr &Item, HttpEnd End) {
  if (!received(End))
    return finish(Item, failureFor(*Item, End));
  if (Item->m_Refused)
    return finish(Item, *Item->m_Refused);
  // A stream without its end mark is incomplete, even if its connection ended
  // without an error.
  const bool Cut = Item->m_Request.m_Stream &&
                   m_Opts.m_Spec.m_Kind == UpstreamKind::Engine &&
                   Item->m_Tail.find(StreamEnd) == std::string::npos;
  if (Cut)
    return finish(Item, Failure{.m_Kind = ErrorKind::StreamCut});
  finish(Item, std::nullopt);
}

void UpstreamOwner::finish(const CallPtr &Item, std::optional<Failure> Reason) {
  if (std::exchange(Item->m_Done, true))
    return;
  m_Calls.erase(Item->m_Id);
  // The handle must outlive its callback, which may be running.
  m_Loop.defer([Item] { Item->m_Handle = HttpCallHandle(); });
  const TimePoint Now = EventLoop::now();
  const AdmissionActions Next =
      m_Admission.finished(Item->m_Id, std::max(1.0, Item->m_Tokens), Now);
  if (Reason)
    Item->m_Sink->failed(*Reason);
  else
    Item->m_Sink->ended(Item->m_Tokens);
  perform(Next);
}

void UpstreamOwner::cancel(const RequestId &Id) {
  const auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return;
  const CallPtr Item = Found->second;
  m_Calls.erase(Found);
  Item->m_Done = true;
  m_Loop.defer([Item] { Item->m_Handle = HttpCallHandle(); });
  perform(m_Admission.cancelled(Id, EventLoop::now()));
}

OrderId UpstreamOwner::order(const Move &Wanted) {
  const TimePoint Now = EventLoop::now();
  const std::vector<EngineOrder> Before = m_Orders.unsettled();
  const EngineActions Actions =
      Wanted.m_Verb == MoveVerb::Load
          ? m_Orders.load(Wanted.m_Artifact, Wanted.m_Size, Now)
          : m_Orders.unload(Wanted.m_Artifact, Now);
  const std::vector<EngineOrder> After = m_Orders.unsettled();
  performOrders(Actions);
  reportChange();
  if (After.size() == Before.size())
    return {};
  for (const EngineOrder &Each : After)
    if (Each.m_Artifact == Wanted.m_Artifact)
      return Each.m_Id;
  return {};
}

void UpstreamOwner::performOrders(const EngineActions &Actions) {
  for (const EngineAction &Action : Actions) {
    if (const auto *Send = std::get_if<SendOrder>(&Action))
      sendOrder(Send->m_Order);
    else if (const auto *Write = std::get_if<WriteJournal>(&Action))
      writeJournal(Write->m_Journal);
    else if (const auto *Raise = std::get_if<RaiseToken>(&Action))
      m_Engine.raise(Raise->m_Token, [this, Alive = m_Alive] {
        if (*Alive)
          readReport();
      });
    else if (std::holds_alternative<ReadReport>(Action))
      readReport();
    else
      readJournal();
  }
}

void UpstreamOwner::sendOrder(const EngineOrder &Order) {
  m_Engine.send(Order, [this, Alive = m_Alive, Id = Order.m_Id] {
    if (*Alive)
      performOrders(m_Orders.attemptEnded(Id, EventLoop::now()));
  });
}

void UpstreamOwner::readReport() {
  const TimePoint AsOf = EventLoop::now();
  const std::uint64_t Generation = m_Generation;
  m_Engine.report([this, Alive = m_Alive, AsOf,
                   Generation](std::optional<EngineReport> Report) {
    if (!*Alive || !Report || Generation != m_Generation)
      return;
    performOrders(m_Orders.reported(*Report, AsOf, EventLoop::now()));
    reportChange();
  });
}

void UpstreamOwner::readJournal() {
  const std::uint64_t Generation = m_Generation;
  m_Platform.read(
      m_Opts.m_JournalKey, PlatformWait{},
      [this, Alive = m_Alive, Generation](const PlatformRead &Read) {
        if (!*Alive || Generation != m_Generation ||
            Read.m_Status == PlatformStatus::Lost)
          return;
        OrderJournal Journal;
        PlatformIndex Index = 0;
        try {
          if (!Read.m_Entries.empty()) {
            const PlatformEntry &Entry = Read.m_Entries.front();
            Journal = orderJournalFromJson(parseJson(Entry.m_Value));
            Index = Entry.m_ModifyIndex;
          }
        } catch (const DecodeError &Error) {
          logError(LogPart::Owner,
                   "Journal " + m_Opts.m_JournalKey + ": " + Error.what());
          return;
        }
        if (m_Orders.fencedOutBy(Journal))
          return;
        m_JournalIndex = Index;
        performOrders(m_Orders.journalRead(Journal, EventLoop::now()));
      });
}

/// Writes the journal with the index that was last read, then reads it again,
/// which also resolves a conflict or a lost answer.
void UpstreamOwner::writeJournal(const OrderJournal &Journal) {
  const std::uint64_t Generation = m_Generation;
  const std::string Text = dumpJson(toJson(Journal));
  m_Platform.swap({{m_Opts.m_JournalKey, Text, m_JournalIndex}},
                  [this, Alive = m_Alive, Generation, Text](PlatformStatus) {
                    if (*Alive && Generation == m_Generation)
                      confirmJournal(Text);
                  });
}

void UpstreamOwner::confirmJournal(const std::string &Written) {
  const std::uint64_t Generation = m_Generation;
  m_Platform.read(
      m_Opts.m_JournalKey, PlatformWait{},
      [this, Alive = m_Alive, Generation, Written](const PlatformRead &Read) {
        if (*Alive && Generation == m_Generation)
          journalConfirmed(Written, Read);
      });
}

void UpstreamOwner::journalConfirmed(const std::string &Written,
                                     const PlatformRead &Read) {
  const TimePoint Now = EventLoop::now();
  if (Read.m_Status != PlatformStatus::Ok || Read.m_Entries.empty()) {
    performOrders(m_Orders.journalFailed(Now));
    return;
  }
  const PlatformEntry &Entry = Read.m_Entries.front();
  if (Entry.m_Value == Written) {
    m_JournalIndex = Entry.m_ModifyIndex;
    performOrders(m_Orders.journalWritten(Now));
    return;
  }
  performOrders(m_Orders.journalFailed(Now));
  try {
    const OrderJournal Other = orderJournalFromJson(parseJson(Entry.m_Value));
    if (m_Orders.fencedOutBy(Other))
      return;
    m_JournalIndex = Entry.m_ModifyIndex;
    if (Other.m_Token < m_Token)
      performOrders(m_Orders.journalRead(Other, Now));
  } catch (const DecodeError &Error) {
    logError(LogPart::Owner,
             "Journal " + m_Opts.m_JournalKey + ": " + Error.what());
  }
}

void UpstreamOwner::writerMovedOn(const BoxName &Writer) {
  performOrders(m_Orders.writerMovedOn(Writer, EventLoop::now()));
}

void UpstreamOwner::chargeElsewhere(const GroupName &Group, double Cost) {
  m_Admission.chargeElsewhere(Group, Cost);
}

void UpstreamOwner::tick() {
  const TimePoint Now = EventLoop::now();
  perform(m_Admission.sweep(Now));
  if (m_Opts.m_Spec.m_Kind == UpstreamKind::Engine && owned())
    performOrders(m_Orders.tick(Now));
}

void UpstreamOwner::reportChange() {
  const bool Same =
      m_LastServing == m_Orders.serving() && m_LastReady == m_Orders.ready();
  if (Same)
    return;
  m_LastServing = m_Orders.serving();
  m_LastReady = m_Orders.ready();
  m_Opts.m_OnChange();
}

UpstreamDigest UpstreamOwner::digest() const {
  const bool IsEngine = m_Opts.m_Spec.m_Kind == UpstreamKind::Engine;
  UpstreamDigest Result;
  Result.m_Upstream = m_Opts.m_Spec.m_Name;
  Result.m_Assignment = m_Token;
  Result.m_Ready = !IsEngine || m_Orders.ready();
  Result.m_Service = m_Opts.m_Spec.m_Service;
  Result.m_Load = m_Admission.load(EventLoop::now());
  if (!IsEngine)
    return Result;
  Result.m_Serving = m_Orders.serving();
  for (const LedgerEntry &Entry : m_Orders.ledger().entries())
    Result.m_Held[Entry.m_Artifact] = Entry.m_Size;
  Result.m_Available = m_Orders.ledger().available();
  return Result;
}

DemandByArtifact UpstreamOwner::demand() const {
  DemandByArtifact Result;
  for (const auto &[Id, Item] : m_Calls)
    if (!Item->m_Request.m_Artifact.empty())
      Result[Item->m_Request.m_Artifact] += 1;
  return Result;
}

} // namespace havenstair
