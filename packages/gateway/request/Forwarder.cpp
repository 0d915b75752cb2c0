#include "gateway/request/Forwarder.h"

#include "decisions/request/CallerIdentity.h"
#include "gateway/common/DecisionLog.h"
#include "gateway/request/OwnAnswer.h"
#include "gateway/request/ProxiedRequest.h"

#include <vector>

namespace havenstair {

namespace {

/// When a caller may come back to a box that has no configuration yet.
constexpr Duration UnconfiguredAway = 500ms;

/// How often requests that were kept too long are looked for.
constexpr Duration LookForOverdue = 50ms;

} // namespace

Forwarder::Forwarder(EventLoop &Loop, HttpClient &Client, ServingState &State,
                     RequestDialect Dialect, DecisionLog &Log, Options Opts,
                     Hooks Callbacks)
    : m_Loop(Loop), m_Client(Client), m_State(State),
      m_Dialect(std::move(Dialect)), m_Log(Log), m_Opts(Opts),
      m_Hooks(std::move(Callbacks)), m_Early(EventLoop::now(), Opts.m_Early) {}

Forwarder::~Forwarder() = default;

void Forwarder::refuseUnread(const HttpExchangePtr &Exchange,
                             const Failure &Reason, const std::string &Id) {
  const ConfigVouch Config = m_Hooks.m_ConfigVouch(EventLoop::now());
  m_Log.write("refused", {{"request", Id},
                          {"path", Exchange->path()},
                          {"reason", answerFor(Reason.m_Kind).m_Code},
                          {"detail", Reason.m_Detail},
                          {"config", m_State.configVersion()},
                          {"config_age_ms", Config.m_Age / 1ms},
                          {"config_by", Config.m_By.str()}});
  m_Hooks.m_Ended(
      {.m_Route = "none", .m_Outcome = answerFor(Reason.m_Kind).m_Code});
  HttpHeaders Headers = m_Dialect.m_OwnAnswer(Id);
  if (Reason.m_Kind == ErrorKind::BadRequest)
    Headers.push_back({"Connection", "close"});
  answerFailure(Exchange, Reason, std::move(Headers));
}

void Forwarder::refuse(const HttpExchangePtr &Exchange, const Failure &Reason) {
  std::string Id;
  try {
    Id = m_Dialect.m_Read(*Exchange).m_Id;
  } catch (const RequestError &) {
    // It is refused all the same.
  }
  refuseUnread(Exchange, Reason, Id);
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
  EarlyRequests::Item Item{.m_Exchange = Exchange,
                           .m_Request = std::move(Request),
                           .m_Arrived = EventLoop::now()};
  if (m_State.hasRequiredState())
    begin(std::move(Item));
  else
    keepOrRefuse(Item);
}

void Forwarder::keepOrRefuse(const EarlyRequests::Item &Item) {
  const TimePoint Now = EventLoop::now();
  if (!m_State.m_Stopping && m_Early.keep(Item, Now)) {
    if (m_Early.size() == 1)
      m_EarlyTimer = m_Loop.every(LookForOverdue, [this] { refuseOverdue(); });
    return;
  }
  refuseUnread(
      Item.m_Exchange,
      {.m_Kind = ErrorKind::NoConfiguration, .m_RetryAfter = UnconfiguredAway},
      Item.m_Request.m_Id);
}

void Forwarder::refuseOverdue() {
  for (const EarlyRequests::Item &Each : m_Early.takeOverdue(EventLoop::now()))
    if (Each.m_Exchange->open())
      refuseUnread(Each.m_Exchange,
                   {.m_Kind = ErrorKind::NoConfiguration,
                    .m_RetryAfter = UnconfiguredAway},
                   Each.m_Request.m_Id);
}

void Forwarder::releaseEarly() {
  if (m_Early.size() == 0 ||
      (!m_State.hasRequiredState() && !m_State.m_Stopping))
    return;
  m_EarlyTimer = Timer();
  std::vector<EarlyRequests::Item> Kept = m_Early.takeAll();
  m_Log.write("early_requests", {{"requests", Kept.size()},
                                 {"known", m_State.hasRequiredState()}});
  for (EarlyRequests::Item &Each : Kept) {
    if (!Each.m_Exchange->open())
      continue;
    if (m_State.hasRequiredState())
      begin(std::move(Each));
    else
      keepOrRefuse(Each);
  }
}

void Forwarder::begin(EarlyRequests::Item Item) {
  const HttpExchangePtr &Exchange = Item.m_Exchange;
  RequestDescriptor &Request = Item.m_Request;
  const Route *Found = m_State.m_Config->route(Request.m_Host, Request.m_Path);
  if (Found == nullptr)
    return refuseUnread(Exchange, {.m_Kind = ErrorKind::NotFound},
                        Request.m_Id);
  if (!m_State.m_Config->m_Organisations.empty() && !m_Hooks.m_MayTrustKeys())
    return refuseUnread(Exchange,
                        {.m_Kind = ErrorKind::NoConfiguration,
                         .m_RetryAfter = UnconfiguredAway},
                        Request.m_Id);
  const CallerIdentity Caller =
      identifyCaller(*m_State.m_Config, *Found, Request.m_Caller);
  if (Caller.m_Refusal)
    return refuseUnread(Exchange, {.m_Kind = *Caller.m_Refusal}, Request.m_Id);
  const auto Proxied = std::make_shared<ProxiedRequest>(
      *this, Exchange, std::move(Request), m_State.m_Config, *Found,
      Caller.m_Organisation, Item.m_Arrived);
  m_Open.insert(Proxied);
  Proxied->begin();
}

void Forwarder::upstreamsChanged() {
  const std::vector<std::shared_ptr<ProxiedRequest>> All(m_Open.begin(),
                                                         m_Open.end());
  for (const auto &Each : All)
    Each->upstreamsChanged();
}

void Forwarder::crashesChanged() {
  const std::vector<std::shared_ptr<ProxiedRequest>> All(m_Open.begin(),
                                                         m_Open.end());
  for (const auto &Each : All)
    Each->crashesChanged();
}

void Forwarder::remove(const std::shared_ptr<ProxiedRequest> &Ended) {
  m_Open.erase(Ended);
}

} // namespace havenstair
