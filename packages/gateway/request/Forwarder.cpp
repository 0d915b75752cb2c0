#include "gateway/request/Forwarder.h"

#include "decisions/request/CallerIdentity.h"
#include "gateway/common/DecisionLog.h"
#include "gateway/request/FailureReply.h"
#include "gateway/request/ProxiedRequest.h"

#include <algorithm>
#include <vector>

namespace havenstair {

namespace {

/// Time after which a caller should retry while this box has no configuration.
constexpr Duration NotReadyRetryAfter = 500ms;

/// Interval at which expired requests in the startup queue are refused.
constexpr Duration ExpiryCheckInterval = 50ms;

/// How long no room is reserved for answers of an upstream after one of them
/// came too slowly.
constexpr Duration StallMemory = 10s;

/// After a search for memory that found none.
constexpr Duration ReclaimPause = 20ms;

} // namespace

Forwarder::Forwarder(EventLoop &Loop, HttpClient &Client, ServingState &State,
                     RequestDialect Dialect, DecisionLog &Log, Options Opts,
                     Hooks Callbacks)
    : m_Loop(Loop), m_Client(Client), m_State(State),
      m_Dialect(std::move(Dialect)), m_Log(Log), m_Opts(std::move(Opts)),
      m_Hooks(std::move(Callbacks)),
      m_StartupQueue(EventLoop::now(), m_Opts.m_StartupQueue) {
  m_Opts.m_Memory.onNoRoom(
      [this](MemoryUse Use, std::size_t Wanted) { makeRoom(Use, Wanted); });
}

Forwarder::~Forwarder() { m_Opts.m_Memory.onNoRoom(nullptr); }

void Forwarder::refuseUnread(const HttpExchangePtr &Exchange,
                             const Failure &Reason, const std::string &Id) {
  const ConfigFreshness Config = m_Hooks.m_ConfigFreshness(EventLoop::now());
  m_Log.write("refused", {{"request", Id},
                          {"path", Exchange->path()},
                          {"reason", answerFor(Reason.m_Kind).m_Code},
                          {"detail", Reason.m_Detail},
                          {"config", m_State.configVersion()},
                          {"config_age_ms", Config.m_Age / 1ms},
                          {"config_by", Config.m_By.str()}});
  m_Hooks.m_Ended(
      {.m_Route = "none", .m_Outcome = answerFor(Reason.m_Kind).m_Code});
  HttpHeaders Headers = m_Dialect.m_FailureHeaders(Id);
  if (Reason.m_Kind == ErrorKind::BadRequest)
    Headers.push_back({"Connection", "close"});
  replyWithFailure(Exchange, Reason, std::move(Headers));
}

std::string Forwarder::idOf(const HttpExchange &Exchange) const {
  try {
    return m_Dialect.m_Read(Exchange).m_Id;
  } catch (const RequestError &) {
    // The request is refused in any case; only its id is missing.
    return {};
  }
}

void Forwarder::refuse(const HttpExchangePtr &Exchange, const Failure &Reason) {
  refuseUnread(Exchange, Reason, idOf(*Exchange));
}

void Forwarder::handle(const HttpExchangePtr &Exchange) {
  RequestDescriptor Request;
  try {
    if (!Exchange->framedUnambiguously())
      throw RequestError(ErrorKind::BadRequest, "ambiguous framing");
    Request = m_Dialect.m_Read(*Exchange);
  } catch (const RequestError &Error) {
    return refuseUnread(Exchange, Error.failure(), Request.m_Id);
  }
  StartupQueue::Item Item{.m_Exchange = Exchange,
                          .m_Request = std::move(Request),
                          .m_Arrived = EventLoop::now()};
  if (m_State.hasRequiredState())
    begin(std::move(Item));
  else
    keepOrRefuse(Item);
}

void Forwarder::handlePassed(const HttpExchangePtr &Exchange,
                             std::shared_ptr<void> Token) {
  try {
    if (!Exchange->framedUnambiguously())
      throw RequestError(ErrorKind::BadRequest, "ambiguous framing");
    begin({.m_Exchange = Exchange,
           .m_Request = m_Dialect.m_Read(*Exchange),
           .m_Arrived = EventLoop::now(),
           .m_Passed = std::move(Token)});
  } catch (const RequestError &Error) {
    refuseUnread(Exchange, Error.failure(), "");
  }
}

void Forwarder::keepOrRefuse(const StartupQueue::Item &Item) {
  const TimePoint Now = EventLoop::now();
  if (!m_State.m_Stopping && m_StartupQueue.keep(Item, Now)) {
    if (m_StartupQueue.size() == 1)
      m_StartupTimer =
          m_Loop.every(ExpiryCheckInterval, [this] { refuseExpired(); });
    return;
  }
  refuseUnread(Item.m_Exchange,
               {.m_Kind = ErrorKind::NoConfiguration,
                .m_RetryAfter = NotReadyRetryAfter},
               Item.m_Request.m_Id);
}

void Forwarder::refuseExpired() {
  for (const StartupQueue::Item &Item :
       m_StartupQueue.takeExpired(EventLoop::now()))
    if (Item.m_Exchange->open())
      refuseUnread(Item.m_Exchange,
                   {.m_Kind = ErrorKind::NoConfiguration,
                    .m_RetryAfter = NotReadyRetryAfter},
                   Item.m_Request.m_Id);
}

void Forwarder::releaseStartupQueue() {
  if (m_StartupQueue.size() == 0 ||
      (!m_State.hasRequiredState() && !m_State.m_Stopping))
    return;
  m_StartupTimer = Timer();
  std::vector<StartupQueue::Item> Kept = m_StartupQueue.takeAll();
  m_Log.write("early_requests", {{"requests", Kept.size()},
                                 {"known", m_State.hasRequiredState()}});
  for (StartupQueue::Item &Item : Kept) {
    if (!Item.m_Exchange->open())
      continue;
    if (m_State.hasRequiredState())
      begin(std::move(Item));
    else
      keepOrRefuse(Item);
  }
}

void Forwarder::begin(StartupQueue::Item Item) {
  const HttpExchangePtr &Exchange = Item.m_Exchange;
  RequestDescriptor &Request = Item.m_Request;
  const Route *MatchedRoute =
      m_State.m_Config->route(Request.m_Host, Request.m_Path);
  if (MatchedRoute == nullptr)
    return refuseUnread(Exchange, {.m_Kind = ErrorKind::NotFound},
                        Request.m_Id);
  if (!m_State.m_Config->m_Organisations.empty() && !m_Hooks.m_MayTrustKeys())
    return refuseUnread(Exchange,
                        {.m_Kind = ErrorKind::NoConfiguration,
                         .m_RetryAfter = NotReadyRetryAfter},
                        Request.m_Id);
  const CallerIdentity Caller =
      identifyCaller(*m_State.m_Config, *MatchedRoute, Request.m_Caller);
  if (Caller.m_Refusal)
    return refuseUnread(Exchange, {.m_Kind = *Caller.m_Refusal}, Request.m_Id);
  const auto Proxied = std::make_shared<ProxiedRequest>(
      *this, Exchange, std::move(Request), m_State.m_Config, *MatchedRoute,
      Caller.m_Organisation, Item.m_Arrived, std::move(Item.m_Passed));
  m_Open.insert(Proxied);
  Proxied->begin();
}

void Forwarder::upstreamsChanged() {
  const std::vector<std::shared_ptr<ProxiedRequest>> All(m_Open.begin(),
                                                         m_Open.end());
  for (const auto &Request : All)
    Request->upstreamsChanged();
}

void Forwarder::crashesChanged() {
  const std::vector<std::shared_ptr<ProxiedRequest>> All(m_Open.begin(),
                                                         m_Open.end());
  for (const auto &Request : All)
    Request->crashesChanged();
}

void Forwarder::endAll() {
  releaseStartupQueue();
  const std::vector<std::shared_ptr<ProxiedRequest>> All(m_Open.begin(),
                                                         m_Open.end());
  for (const auto &Request : All)
    Request->onProcessEnds();
}

/// Takes back what is reserved for answers that come too slowly. For an answer
/// without room, one gives way whose length nobody knows: the largest one of
/// the upstream whose answers hold the most.
void Forwarder::makeRoom(MemoryUse Use, std::size_t Wanted) {
  const TimePoint Now = EventLoop::now();
  const bool SoughtInVain =
      Now - m_NothingFoundAt < ReclaimPause && Wanted >= m_NothingFoundFor;
  const bool ForAnswer =
      Use == MemoryUse::SmallAnswer || Use == MemoryUse::LargeAnswer;
  if (SoughtInVain || releaseStalled(Now) || !ForAnswer)
    return;
  if (const auto Largest = largestOfHeaviest(Wanted))
    return Largest->giveUpAnswer();
  m_NothingFoundAt = Now;
  m_NothingFoundFor = Wanted;
}

/// \returns the request with the largest answer that can be given up, of the
/// upstream whose such answers hold more than \p Wanted, and the most; null if
/// there is none.
std::shared_ptr<ProxiedRequest>
Forwarder::largestOfHeaviest(std::size_t Wanted) const {
  struct Answers {
    std::size_t m_Bytes = 0;
    std::shared_ptr<ProxiedRequest> m_Largest;
  };
  std::map<InstanceId, Answers> ByUpstream;
  for (const auto &Each : m_Open) {
    const std::size_t Bytes = Each->reclaimableBytes();
    if (Bytes == 0)
      continue;
    Answers &Of = ByUpstream[Each->answeringUpstream()];
    Of.m_Bytes += Bytes;
    if (!Of.m_Largest || Of.m_Largest->reclaimableBytes() < Bytes)
      Of.m_Largest = Each;
  }
  const auto Heaviest =
      std::max_element(ByUpstream.begin(), ByUpstream.end(),
                       [](const auto &One, const auto &Other) {
                         return One.second.m_Bytes < Other.second.m_Bytes;
                       });
  const bool Enough =
      Heaviest != ByUpstream.end() && Heaviest->second.m_Bytes > Wanted;
  return Enough ? Heaviest->second.m_Largest : nullptr;
}

bool Forwarder::releaseStalled(TimePoint Now) {
  std::erase_if(m_StalledAt, [&](const auto &Each) {
    return Now - Each.second > StallMemory;
  });
  bool Result = false;
  for (const auto &Each : m_Open)
    if (const auto Upstream = Each->releaseStalledAnswer(Now)) {
      m_StalledAt[*Upstream] = Now;
      Result = true;
    }
  return Result;
}

bool Forwarder::stalledLately(const InstanceId &Upstream, TimePoint Now) const {
  const auto Found = m_StalledAt.find(Upstream);
  return Found != m_StalledAt.end() && Now - Found->second <= StallMemory;
}

void Forwarder::remove(const std::shared_ptr<ProxiedRequest> &Ended) {
  m_Open.erase(Ended);
}

} // namespace havenstair
