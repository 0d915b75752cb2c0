#include "gateway/request/ProxiedRequest.h"

#include "decisions/request/EnginePriority.h"
#include "gateway/request/FailureReply.h"
#include "gateway/request/RequestDigest.h"
#include "gateway/request/UpstreamCall.h"
#include <algorithm>

namespace havenstair {

namespace {

/// Time after which a caller should retry if all upstreams rejected a request.
constexpr Duration RejectedRetryAfter = 150ms;

/// Time after which a caller should take up a stream again if the store did not
/// answer how it began.
constexpr Duration StoreAwayRetryAfter = 1s;

/// Weight of the maximum number of output tokens: most answers are shorter.
constexpr double OutputTokenWeight = 0.5;

/// A request that another box passed on has one send here: the other box counts
/// it as one of the attempts that the route allows.
constexpr int MaxPassedSends = 1;

/// Longest event of a stream. A longer one would not fit into what waits for a
/// caller either.
constexpr std::size_t MaxEventBytes = 1 << 20;

/// Interval at which an answer that waits for room tries again.
constexpr Duration RoomCheckInterval = 20ms;

/// \returns whether the caller takes up a stream that another attempt began.
bool continuesStream(const Route &MatchedRoute,
                     const RequestDescriptor &Request) {
  return MatchedRoute.m_Kind == RouteKind::Stream &&
         (Request.m_LastEvent || !Request.m_Resumes.empty());
}

} // namespace

ProxiedRequest::ProxiedRequest(Forwarder &Owner, HttpExchangePtr Exchange,
                               RequestDescriptor Request,
                               std::shared_ptr<const ServingConfig> Config,
                               const Route &MatchedRoute,
                               const Organisation *Caller, TimePoint Arrived,
                               std::shared_ptr<void> Passed)
    : m_Passed(std::move(Passed)), m_Owner(Owner),
      m_Exchange(std::move(Exchange)), m_Request(std::move(Request)),
      m_FromCaller(withoutPassFields(m_Exchange->headers())),
      m_Config(std::move(Config)), m_Route(MatchedRoute),
      m_Service(chooseSplit(MatchedRoute, m_Request.m_Id)),
      m_Organisation(Caller == nullptr ? "" : Caller->m_Name),
      m_Crashes({.m_Digest = digestOf({.m_Method = m_Exchange->method(),
                                       .m_Host = m_Request.m_Host,
                                       .m_Target = m_Exchange->target(),
                                       .m_Organisation = m_Organisation,
                                       .m_Body = m_Exchange->body()}),
                 .m_Parts = promptSuspects(m_Request.m_Prompt)},
                Owner.m_State.m_Crashes, Owner.m_Crashes),
      m_Log(Owner.m_Log, m_Request, m_Crashes.suspects(), MatchedRoute),
      m_Priority(enginePriority(*m_Config, MatchedRoute, Caller)),
      m_Authorization(m_Config, MatchedRoute, Caller, m_Request.m_Caller),
      m_Quota(Owner.m_Quotas, m_Organisation,
              m_Passed ? 0 : quotaUnits(m_Request, Caller)),
      m_Permit(Owner.m_Loop, Owner.m_Permits, Owner.m_State.m_SendBounds,
               [this] { resume(); }),
      m_Binding(Owner.m_Origins,
                {.m_Attempt = m_Request.m_Id,
                 .m_Resumes = m_Request.m_Resumes,
                 .m_Continues = continuesStream(MatchedRoute, m_Request),
                 .m_Digest = m_Crashes.digest()}),
      m_BoxPass(Owner.m_Passes),
      m_Times(MatchedRoute, m_Request.m_Deadline, Arrived),
      m_Admission(Owner.m_State,
                  {.m_Admission = Owner.m_Opts.m_Admission,
                   .m_Pacing = Owner.m_Opts.m_Pacing,
                   .m_StoppingRetryAfter = Forwarder::StoppingRetryAfter},
                  {.m_Missing = Owner.m_Hooks.m_Missing,
                   .m_Random = Owner.m_Hooks.m_Random},
                  {.m_Request = m_Request,
                   .m_Route = MatchedRoute,
                   .m_Times = m_Times,
                   .m_Service = m_Service}),
      m_Stream(m_Request.m_LastEvent),
      m_IdleMonitor(Owner.m_Loop, Owner.m_Client,
                    {.m_Probe = [this] { return probe(); },
                     .m_Lost =
                         [this] {
                           const auto Self = shared_from_this();
                           settle(SendOutcome::Broken);
                         }}) {}

void ProxiedRequest::begin() {
  if (!m_Passed)
    countArrival();
  else if (const SoftwareVersion Software = readSoftware(m_Exchange->headers());
           !Software.empty())
    m_Binding.bind(Software);
  const auto Weak = weak_from_this();
  m_Exchange->onCallerLeft([Weak] {
    if (const auto Self = Weak.lock())
      Self->onCallerLeft();
  });
  m_DeadlineTimer =
      m_Owner.m_Loop.after(m_Times.left(EventLoop::now()), [Weak] {
        if (const auto Self = Weak.lock())
          Self->onDeadline();
      });
  step();
}

/// Counts the request as demand at the box that the caller has sent it to.
void ProxiedRequest::countArrival() {
  ServingState &State = m_Owner.m_State;
  State.m_Budget.recordRequest(m_Service, m_Times.arrived());
  if (m_Request.m_Deadline)
    m_SinceFirstTry = State.m_RetryDetector.timeSinceFirstAttempt(
        m_Route.m_Name, *m_Request.m_Deadline, m_Times.arrived());
  // A retry of the caller is not counted as demand again, a quarantined request
  // needs no replica, and a model that nobody knows can have none.
  if (!m_Request.m_Model.empty() && m_SinceFirstTry == 0us &&
      m_Admission.knowsModel() &&
      !m_Crashes.quarantinedFor(m_Times.arrived())) {
    // Reading a prompt occupies the whole engine, generating the answer one
    // slot.
    const double Work =
        State.m_Latency.workMs(m_Request.m_Model, m_Request.m_PromptTokens) +
        State.m_Latency.holdMs(m_Request.m_Model) /
            m_Config->slotsOf(m_Service);
    const ModelDemand Demand{.m_Requests = 1, .m_WorkMs = Work};
    State.m_Demand[{m_Service, m_Request.m_Model, ""}] += Demand;
    if (!m_Request.m_Adapter.empty())
      State.m_Demand[{m_Service, m_Request.m_Model, m_Request.m_Adapter}] +=
          Demand;
  }
}

UpstreamEligibility ProxiedRequest::eligibility() const {
  const ServingState &State = m_Owner.m_State;
  return {State.m_Upstreams, State.m_DataCentres, m_Authorization.regions(),
          m_Service,         m_Request,           m_Binding.software()};
}

void ProxiedRequest::upstreamsChanged() {
  if (m_Waiting && !m_Done)
    step();
}

void ProxiedRequest::step() {
  const TimePoint Now = EventLoop::now();
  ServingState &State = m_Owner.m_State;
  m_WaitTimer = Timer();
  if (!stillAllowed() || refuseIfQuarantined(Now) || refuseIfOutlasting(Now) ||
      !bound())
    return;
  if (const auto HoldTime = m_Crashes.holdTime(Now))
    return wait(*HoldTime);
  if (unreachable(Now) && passOn(Now))
    return;
  const auto Excluded = [&](const InstanceId &Id) {
    return m_Tried.contains(Id) || m_Permit.excludes(Id, Now) ||
           State.m_Signals.retryAt(Id, Now);
  };
  auto Candidates = eligibility().candidates(Excluded, Now);
  std::erase_if(Candidates, [&](const UpstreamInstance *Each) {
    return State.m_Ended.contains(Each->incarnation(), Now);
  });
  m_Crashes.narrowCandidates(Candidates, m_MayHaveRun, Now);
  if (m_Route.m_Resumable)
    m_Binding.preferStored(Candidates, Now);
  const ReplicaStatistics Knowledge{.m_Loads = State.m_Loads,
                                    .m_Prefixes = State.m_Prefixes,
                                    .m_Latency = State.m_Latency,
                                    .m_Failures = State.m_Failures,
                                    .m_DataCentres = State.m_DataCentres,
                                    .m_Bounds = &State.m_SendBounds};
  const auto Chosen =
      chooseReplica(Candidates, m_Request, State.m_Zone, Knowledge,
                    m_Owner.m_Opts.m_Weights, m_Owner.m_Hooks.m_Random(), Now);
  m_Admission.onChosen(Candidates.size(), Chosen);
  if (!Chosen && m_Permit.drop())
    return step();
  if (!Chosen && m_ConnectFailed && passOn(Now))
    return;
  if (refuseUntilLater(Chosen, Now))
    return;
  // A request with a valid permit is not refused because of what other requests
  // have learnt meanwhile.
  if (m_Sends == 0 && !m_Permit.hasValidPermit(Now) && !admitted(Chosen, Now))
    return;
  if (!Chosen)
    return carryOut(m_Stream.begun() ? ForwardingStep::Cut
                    : m_MayHaveRun   ? ForwardingStep::Fail
                                     : ForwardingStep::Refuse);
  if (const auto Delay = m_Crashes.retryDelay(m_Owner.m_Hooks.m_Random(),
                                              m_Times.left(Now), Now))
    return wait(*Delay);
  m_Waiting = false;
  if (!withinQuota(Now))
    return;
  if (const auto Delay = promptDelay(*Chosen, Now)) {
    m_PacingTimer = m_Owner.m_Loop.after(*Delay, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->resume();
    });
    return;
  }
  if (m_Permit.ready(Chosen->m_Instance->m_Id, permitPatience(*Chosen, Now),
                     Now))
    send(*Chosen, Now);
}

/// \returns whether it is known which upstreams may run the request. If not,
/// the answer about the stream's origin resumes it, or it has been refused.
bool ProxiedRequest::bound() {
  if (m_Binding.state() == StreamBinding::State::Open) {
    m_AskingOrigin = true;
    m_Binding.ask(m_Service,
                  [this](const FoundOrigin &Found) { onOrigin(Found); });
    m_AskingOrigin = false;
  }
  return !m_Done && m_Binding.state() != StreamBinding::State::Asked;
}

void ProxiedRequest::onOrigin(const FoundOrigin &Found) {
  if (m_Done)
    return;
  const auto Self = shared_from_this();
  const bool Known = m_Binding.state() == StreamBinding::State::Bound;
  const bool Usable = Known && useBoundService();
  m_Log.resumed(Found, {.m_LastEvent = m_Stream.lastEvent(),
                        .m_Known = Known,
                        .m_Usable = Usable,
                        .m_Waited = m_Times.waited(EventLoop::now())});
  m_Owner.m_Hooks.m_Resumed(Found.m_Source);
  if (!Usable && Found.m_StoreAway)
    return refuse({.m_Kind = ErrorKind::PlatformUnavailable,
                   .m_RetryAfter = StoreAwayRetryAfter,
                   .m_Detail = "stream origin"});
  if (!Usable)
    return refuse(ErrorKind::StreamUnknown, 0us,
                  std::string(originSourceName(Found.m_Source)));
  // If the answer came at once, bound() continues.
  if (!m_AskingOrigin)
    step();
}

/// Sends the rest of a stream to the service that began it. \returns whether
/// the route still leads there.
bool ProxiedRequest::useBoundService() {
  const std::string &Wanted = m_Binding.service();
  const auto IsWanted = [&](const SplitShare &Each) {
    return Each.m_Service == Wanted;
  };
  if (Wanted.empty())
    return true;
  if (std::none_of(m_Route.m_Split.begin(), m_Route.m_Split.end(), IsWanted))
    return false;
  m_Service = Wanted;
  return true;
}

/// Binds the stream whose first event the caller is about to get.
void ProxiedRequest::bindStream(TimePoint Now) {
  if (m_Route.m_Resumable)
    m_Binding.onEvent(m_Service, m_Send->m_Software, m_Times.toResume(Now));
}

/// \returns whether the list now names another version for the upstream of the
/// last send: it may have had that already, as lists are late.
bool ProxiedRequest::listedOtherwise() const {
  const UpstreamInstance *Listed =
      m_Owner.m_State.m_Upstreams.find(m_Send->m_Instance);
  return !m_Send->m_Box && Listed != nullptr &&
         Listed->m_Software != m_Send->m_Software;
}

/// \returns whether a send from here would probably reach no upstream: a single
/// failure counts for the request that met it, so that it does not meet the
/// next one.
bool ProxiedRequest::unreachable(TimePoint Now) const {
  const UpstreamReach &Reach = m_Owner.m_State.m_Reach;
  return Reach.partitioned() || (m_ConnectFailed && Reach.doubtful(Now));
}

/// Passes the request on to another box; declines one that comes from another
/// box. \returns whether the request was dealt with.
bool ProxiedRequest::passOn(TimePoint Now) {
  // A crash looks like a partition until another upstream has answered.
  if (m_Crashes.blamed(Now) && !m_Owner.m_State.m_Reach.partitioned())
    return false;
  if (m_Passed) {
    refuse(ErrorKind::NoUpstream, RejectedRetryAfter, "partitioned");
    return true;
  }
  const auto To = m_BoxPass.next(m_Authorization.regions(),
                                 m_Binding.software().has_value(),
                                 m_Owner.m_State.m_Reach.partitioned());
  if (!To)
    return false;
  m_Waiting = false;
  m_Permit.drop();
  if (withinQuota(Now))
    sendToBox(*To, Now);
  return true;
}

void ProxiedRequest::sendToBox(const BoxPass::Target &To, TimePoint Now) {
  m_Quota.noteSent();
  ++m_Sends;
  m_Stream.beginSend();
  m_Send.emplace(Send{.m_Box = To,
                      .m_PassToken = m_BoxPass.open(To),
                      .m_At = Now,
                      .m_Resumed = m_Stream.lastEvent().has_value(),
                      .m_Answer = SendAnswer({.m_Method = method(),
                                              .m_RequestId = m_Request.m_Id,
                                              .m_FromBox = true})});
  m_Log.passedOn({.m_Number = m_Sends,
                  .m_Config = m_Config->m_Version,
                  .m_Box = To.m_Box,
                  .m_Partitioned = m_Owner.m_State.m_Reach.partitioned(),
                  .m_Waited = m_Times.waited(Now)});
  HttpCall Call = commonCall(Now);
  Call.m_To = To.m_Endpoint;
  Call.m_Headers = m_Owner.m_Dialect.m_PassOn(
      m_FromCaller,
      {.m_TimeLeft = m_Times.left(Now), .m_LastEvent = m_Stream.lastEvent()});
  for (HttpHeader &Each :
       m_BoxPass.fields(m_Request.m_Id, m_Binding.software()))
    Call.m_Headers.push_back(std::move(Each));
  Call.m_Use = connectionFor(m_Route.idempotent(), false, 0);
  m_Call = m_Owner.m_Client.start(std::move(Call));
  if (!streaming())
    expectBytesWithin(m_Times.answerTimeout());
}

/// A quarantine also ends the tries that wait for an answer. One that an
/// upstream has begun to answer may still show that the request is harmless.
void ProxiedRequest::crashesChanged() {
  if (m_Done)
    return;
  const auto Self = shared_from_this();
  if (m_Waiting)
    step();
  else if (m_Send && !m_Send->m_Started)
    refuseIfQuarantined(EventLoop::now());
}

void ProxiedRequest::resume() {
  const auto Self = shared_from_this();
  if (!m_Done)
    step();
}

/// Refuses the request if it is known when the upstreams that could run it can
/// be sent to, and that is later. \returns whether it did.
bool ProxiedRequest::refuseUntilLater(
    const std::optional<ChosenReplica> &Chosen, TimePoint Now) {
  if (Chosen || m_Stream.begun() || m_MayHaveRun)
    return false;
  const auto Refusal =
      m_Admission.refusalUntilLater(eligibility(), m_Permit.deferral(Now), Now);
  if (Refusal)
    refuse(*Refusal);
  return Refusal.has_value();
}

/// \returns how long to wait before a prompt is read beside running streams;
/// empty if there is no need to wait.
std::optional<Duration> ProxiedRequest::promptDelay(const ChosenReplica &Chosen,
                                                    TimePoint Now) const {
  if (m_Sends > 0 || m_Permit.hasValidPermit(Now))
    return std::nullopt;
  return m_Admission.promptDelay(Chosen, Now);
}

/// \returns whether admission lets the request be sent now. If not, it waits
/// for the next decision, or has been refused.
bool ProxiedRequest::admitted(const std::optional<ChosenReplica> &Chosen,
                              TimePoint Now) {
  const RequestAdmission::Verdict Verdict =
      m_Admission.decide({.m_Eligible = eligibility(),
                          .m_Chosen = Chosen,
                          .m_Regions = m_Authorization.regions(),
                          .m_Software = m_Binding.software()},
                         Now);
  if (Verdict.m_Step == AdmissionStep::Wait)
    wait(Verdict.m_Delay);
  else if (Verdict.m_Step == AdmissionStep::Refuse)
    refuse(Verdict.m_Refusal);
  return Verdict.m_Step == AdmissionStep::Send;
}

/// Waits until the state of upstreams changes, but for \p For at most.
void ProxiedRequest::wait(Duration For) {
  m_Waiting = true;
  m_WaitTimer = m_Owner.m_Loop.after(For, [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && !Self->m_Done && Self->m_Waiting)
      Self->step();
  });
}

/// Checks the caller's key and the allowed regions again, as they may change
/// while the request waits or between two sends. \returns whether the request
/// may go on.
bool ProxiedRequest::stillAllowed() {
  m_Authorization.update(m_Owner.m_State.m_Config);
  const auto Refused = m_Authorization.refusal();
  if (!Refused)
    return true;
  if (m_Stream.begun())
    cut();
  else if (m_MayHaveRun)
    fail(ErrorKind::OutcomeUnknown);
  else
    refuse(Refused->m_Kind, Refused->m_RetryAfter, Refused->m_Detail);
  return false;
}

/// Ends the request if its content, or a part of its prompt, is quarantined
/// because upstreams crashed under it. While that may be chance, a run that is
/// under way goes on, and some are made. \returns whether it did.
bool ProxiedRequest::refuseIfQuarantined(TimePoint Now) {
  if (!m_Crashes.quarantinedFor(Now))
    return false;
  const bool Certain = m_Crashes.certainlyQuarantined(Now);
  if (!Certain && (m_Send || m_Crashes.mayProbe(Now)))
    return false;
  if (m_Stream.begun())
    cut();
  else if (m_MayHaveRun || m_Send)
    fail(ErrorKind::UpstreamsCrashed);
  else if (Certain)
    refuse(ErrorKind::RequestQuarantined, 0us, {});
  else
    refuse(ErrorKind::RequestSuspected, m_Crashes.timeToProbeResult(Now), {});
  return true;
}

/// Refuses a request that would probably be cut off by the end of this process;
/// another box can run it. \returns whether it did.
bool ProxiedRequest::refuseIfOutlasting(TimePoint Now) {
  if (m_Stream.begun() || m_MayHaveRun ||
      !m_Owner.m_State.outlasts(m_Route.m_Name, Now))
    return false;
  refuse(ErrorKind::Stopping, Forwarder::StoppingRetryAfter, "outlasts");
  return true;
}

/// \returns how long to wait for quota units or permits.
Duration ProxiedRequest::timeToSpare(TimePoint Now) const {
  return m_Times.toSpare(m_Admission.details().m_ExpectedMs, Now);
}

/// \returns how long to wait for a permit. If the upstream sets a limit, that
/// is no longer than it would take to use another upstream instead.
Duration ProxiedRequest::permitPatience(const ChosenReplica &Chosen,
                                        TimePoint Now) const {
  const Duration Spare = timeToSpare(Now);
  if (!Chosen.m_Limited || !Chosen.m_PermitSavingMs)
    return Spare;
  return std::min(Spare, fromMillis(*Chosen.m_PermitSavingMs));
}

/// \returns whether the quota lets the request be sent now. If not, the answer
/// of the quota service resumes it, or it has been refused.
bool ProxiedRequest::withinQuota(TimePoint Now) {
  if (m_Quota.granted() || m_Quota.state() == RequestQuota::State::Asked)
    return m_Quota.granted();
  m_AskingQuota = true;
  m_Quota.ask(
      timeToSpare(Now),
      [this](const std::optional<QuotaVerdict> &Verdict) { onQuota(Verdict); });
  m_AskingQuota = false;
  return m_Quota.granted();
}

void ProxiedRequest::onQuota(const std::optional<QuotaVerdict> &Verdict) {
  if (m_Done)
    return;
  const auto Self = shared_from_this();
  if (!Verdict)
    return refuse(ErrorKind::OwnerUnavailable, RejectedRetryAfter, "quota");
  // Another box can wait for the units.
  if (Verdict->m_Step == QuotaStep::Wait)
    return refuse(ErrorKind::Stopping, Forwarder::StoppingRetryAfter, "quota");
  if (!Verdict->granted())
    return refuse(ErrorKind::RateLimited, Verdict->m_After, {});
  // If the answer came at once, withinQuota() continues.
  if (!m_AskingQuota)
    step();
}

HttpCall ProxiedRequest::makeCall(const UpstreamInstance &To, TimePoint Now) {
  const ForwardedFields Fields{.m_Instance = To.m_Id,
                               .m_Organisation = m_Organisation,
                               .m_TimeLeft = m_Times.left(Now),
                               .m_Priority = m_Priority,
                               .m_LastEvent = m_Stream.lastEvent()};
  HttpCall Call = commonCall(Now);
  Call.m_To = Endpoint::parse(To.m_Address).value_or(Endpoint{});
  Call.m_Headers = m_Owner.m_Dialect.m_Forward(m_FromCaller, Fields);
  Call.m_Use = connectionFor(m_Route.idempotent(), m_Request.m_Model.empty(),
                             m_Owner.m_State.m_Failures.rate(To.m_Id, Now));
  return Call;
}

/// \returns what calls to upstreams and to boxes have in common.
HttpCall ProxiedRequest::commonCall(TimePoint Now) {
  HttpCall Call;
  Call.m_Method = method();
  Call.m_Target = m_Exchange->target();
  Call.m_Body = m_Exchange->sharedBody();
  Call.m_ConnectTimeout = m_Owner.m_Opts.m_ConnectTimeout;
  Call.m_IdleTimeout = m_Times.left(Now) + 1s;
  Call.m_MaxBody = m_Owner.m_Opts.m_MaxAnswerBytes;
  const auto Weak = weak_from_this();
  Call.m_OnWritten = [Weak] {
    if (const auto Self = Weak.lock())
      Self->onWritten();
  };
  Call.m_OnHead = [Weak](int Status, const HttpHeaders &Headers) {
    if (const auto Self = Weak.lock())
      Self->onHead(Status, Headers);
  };
  Call.m_OnBytes = [Weak](std::string_view Bytes) {
    if (const auto Self = Weak.lock())
      Self->onBytes(Bytes);
  };
  Call.m_OnEnd = [Weak](HttpEnd End) {
    if (const auto Self = Weak.lock())
      Self->onEnd(End);
  };
  return Call;
}

void ProxiedRequest::send(const ChosenReplica &Chosen, TimePoint Now) {
  ServingState &State = m_Owner.m_State;
  const UpstreamInstance &To = *Chosen.m_Instance;
  m_Tried.insert(To.m_Id);
  m_Quota.noteSent();
  m_Permit.noteSent();
  m_Crashes.onSent(Now);
  ++m_Sends;
  m_Stream.beginSend();
  m_Send.emplace(Send{.m_Instance = To.m_Id,
                      .m_StartTime = To.m_StartTime,
                      .m_Software = To.m_Software,
                      .m_At = Now,
                      .m_PendingMs = Chosen.m_PendingMs,
                      .m_WorkMs = Chosen.m_WorkMs,
                      .m_ExpectedMs = Chosen.m_ExpectedMs,
                      .m_Resumed = m_Stream.lastEvent().has_value(),
                      .m_Answer = SendAnswer({.m_Method = method(),
                                              .m_RequestId = m_Request.m_Id})});
  m_Log.sent(*m_Send, {.m_Number = m_Sends,
                       .m_Config = m_Config->m_Version,
                       .m_Freshness = m_Owner.m_Hooks.m_ConfigFreshness(Now),
                       .m_List = State.m_Upstreams.list().m_Revision,
                       .m_LastEvent = m_Stream.lastEvent()});
  HttpCall Call = makeCall(To, Now);
  m_Send->m_MayBeKept = Call.m_Use == ConnectionUse::Reused;
  m_Send->m_Statistics.emplace(
      State, SendStatistics::Facts{
                 .m_Upstream = To.incarnation(),
                 .m_Model = m_Request.m_Model,
                 .m_SentAt = Now,
                 .m_PendingMs = Chosen.m_PendingMs,
                 .m_WorkMs = Chosen.m_WorkMs,
                 .m_Tokens = m_Request.m_PromptTokens +
                             OutputTokenWeight * m_Request.m_MaxOutputTokens});
  if (!m_Request.m_Model.empty())
    State.m_Prefixes.recordRead(To.m_Id, m_Request);
  m_Call = m_Owner.m_Client.start(std::move(Call));
  if (!streaming())
    return expectBytesWithin(m_Times.answerTimeout());
  expectBytesWithin(m_Times.firstEventTimeout(Chosen.m_ExpectedMs));
}

/// Only idempotent requests that may be sent again have an idle timeout. Others
/// cannot be retried, so there is no reason to give up on them.
void ProxiedRequest::expectBytesWithin(Duration Limit) {
  // A stream of another box ends there when its upstream is lost.
  if (m_Send && m_Send->m_Box && streaming())
    return;
  if (m_Route.idempotent() && m_Sends < m_Route.m_MaxAttempts)
    m_IdleMonitor.expectBytesWithin(Limit);
}

std::optional<HttpCall> ProxiedRequest::probe() const {
  const UpstreamInstance *At =
      m_Send ? m_Owner.m_State.m_Upstreams.find(m_Send->m_Instance) : nullptr;
  if (!streaming() || At == nullptr)
    return std::nullopt;
  return healthCall(*At, m_Config->service(m_Service),
                    m_Owner.m_Opts.m_ConnectTimeout);
}

/// The body is held only for as long as it may be sent again. A box may still
/// decline the request.
void ProxiedRequest::onWritten() {
  if (m_Send && !m_Send->m_Box && m_Sends >= maxSends())
    m_Exchange->dropBody();
}

void ProxiedRequest::onHead(int Status, const HttpHeaders &Headers) {
  if (m_Done || !m_Send)
    return;
  const AnswerFacts Facts = m_Owner.m_Dialect.m_ReadAnswer(Status, Headers);
  m_Send->m_HeadAt = EventLoop::now();
  m_Send->m_Answer.readHead(Status, Headers, Facts);
  if (m_Send->m_Box) {
    m_Send->m_Software = readSoftware(Headers);
  } else {
    m_Owner.m_Hooks.m_Reached(reachCall());
    m_Permit.reportCold(Facts, m_Send->m_Instance, m_Send->m_At);
  }
  if (m_Send->m_Answer.foreign())
    return settle(SendOutcome::Broken);
  if (const auto Service = m_Owner.m_Signals.lock(); Service && !m_Send->m_Box)
    Service->recordSignals(upstreamIncarnation(), Facts, m_Send->m_At);
  if (!(streaming() && Status == 200))
    awaitRoom(m_Send->m_Answer.announcedBytes());
}

/// Reads an answer of \p Bytes once all that is held leaves room for it. One of
/// an upstream whose answers came too slowly gets room as it comes.
void ProxiedRequest::awaitRoom(std::size_t Bytes) {
  const MemoryBudget &Memory = m_Owner.m_Opts.m_Memory;
  if (Bytes > m_Owner.m_Opts.m_MaxAnswerBytes ||
      m_Owner.stalledLately(m_Send->m_Instance, EventLoop::now()) ||
      m_Send->m_Answer.reserve(Bytes, Memory))
    return;
  m_IdleMonitor.stop();
  m_Call.pauseReading();
  m_RoomTimer = m_Owner.m_Loop.every(RoomCheckInterval, [this, Bytes] {
    if (!m_Send->m_Answer.reserve(Bytes, m_Owner.m_Opts.m_Memory))
      return;
    m_Call.resumeReading();
    m_RoomTimer.reset();
  });
}

void ProxiedRequest::onBytes(std::string_view Bytes) {
  if (m_Done || !m_Send)
    return;
  if (answersStream()) {
    passEvents(m_Stream.feed(Bytes));
    if (!m_Done && m_Send && !holdRest())
      settle(SendOutcome::Broken);
    return;
  }
  SendAnswer &Answer = m_Send->m_Answer;
  const MemoryBudget &Memory = m_Owner.m_Opts.m_Memory;
  const std::size_t Size = Answer.body().size() + Bytes.size();
  if (Size > m_Owner.m_Opts.m_MaxAnswerBytes)
    return settle(SendOutcome::Broken);
  // While the answer waits for room, only what had been read before comes.
  if (!m_RoomTimer && !Answer.growTo(Size, Memory)) {
    m_Log.answerNotHeld(Size, Memory);
    return settle(SendOutcome::Broken);
  }
  Answer.append(Bytes);
}

/// \returns whether there is room for what has come of an unfinished event.
bool ProxiedRequest::holdRest() {
  const std::size_t Bytes = m_Stream.rest().size();
  if (Bytes > MaxEventBytes)
    return false;
  if (m_RestHeld.bytes() == 0)
    m_RestHeld = m_Owner.m_Opts.m_Memory.chargeAnswer();
  if (m_RestHeld.resize(Bytes))
    return true;
  m_Log.answerNotHeld(Bytes, m_Owner.m_Opts.m_Memory);
  return false;
}

std::optional<InstanceId> ProxiedRequest::releaseStalledAnswer(TimePoint Now) {
  if (m_Done || !m_Send || !m_Send->m_HeadAt ||
      !m_Send->m_Answer.releaseStalled(Now - *m_Send->m_HeadAt))
    return std::nullopt;
  return m_Send->m_Instance;
}

std::size_t ProxiedRequest::reclaimableBytes() const {
  if (m_Done || !m_Send)
    return 0;
  return m_RestHeld.bytes() + m_Send->m_Answer.reclaimable();
}

void ProxiedRequest::giveUpAnswer() {
  m_Log.answerNotHeld(reclaimableBytes(), m_Owner.m_Opts.m_Memory);
  m_Call = HttpCallHandle();
  m_Send->m_Answer.drop();
  m_Stream.dropRest();
  m_RestHeld = MemoryCharge();
  // Not from here: whoever needs the room is at work.
  m_GiveUpTimer = m_Owner.m_Loop.after(0us, [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && !Self->m_Done && Self->m_Send)
      Self->settle(SendOutcome::Broken);
  });
}

void ProxiedRequest::noteStarted(TimePoint Now) {
  std::optional<SendStatistics> &Statistics = m_Send->m_Statistics;
  if (m_Send->m_Started || (Statistics && !Statistics->running()))
    return;
  m_Send->m_Started = Now;
  if (!m_FirstByte)
    m_FirstByte = Now;
  if (Statistics)
    Statistics->onStarted(Now);
}

void ProxiedRequest::passEvents(const std::string &Events) {
  if (Events.empty())
    return;
  const TimePoint Now = EventLoop::now();
  noteStarted(Now);
  if (!m_Stream.begun()) {
    bindStream(Now);
    startStream();
  }
  m_Stream.onPassed(Now);
  // The rest of a resumed stream may be empty, and another box sees for itself.
  if (m_Send->m_Started && !m_Send->m_Resumed && !m_Send->m_Box)
    m_Crashes.onWriting(*m_Send->m_Started, Now);
  if (!m_Exchange->sendChunk(Events))
    return cut();
  expectBytesWithin(m_Times.nextEventTimeout());
}

/// The caller's answer is framed as the upstream's: it must not claim to be
/// whole where only the end of a connection says so.
void ProxiedRequest::startStream() {
  const AnswerFraming Framing =
      m_Send->m_Answer.framing() == AnswerFraming::Connection
          ? AnswerFraming::Connection
          : AnswerFraming::Chunks;
  HttpHeaders Headers = withoutConnectionFields(m_Send->m_Answer.headers());
  if (m_Passed)
    Headers.push_back(softwareField(m_Send->m_Software));
  m_Stream.setFraming(m_Exchange->startStream(m_Send->m_Answer.status(),
                                              std::move(Headers), Framing));
}

void ProxiedRequest::onEnd(HttpEnd End) {
  if (m_Done || !m_Send)
    return;
  const bool BrokeOff = streamBrokeOff(End);
  const bool ClaimsMore = claimsMore(End);
  const SendOutcome Outcome =
      m_Send->m_Answer.outcome(End, BrokeOff || ClaimsMore);
  m_Send->m_Whole = Outcome == SendOutcome::Broken && ClaimsMore && !BrokeOff;
  m_Stream.onSendEnded(streamEnd(End));
  m_Send->m_Ended = true;
  if (m_Send->m_Box)
    return settle(Outcome);
  if (End == HttpEnd::Broken ||
      (Outcome == SendOutcome::Broken && !m_Send->m_Whole))
    m_Crashes.onConnectionBroken(upstreamIncarnation(), m_Send->m_Started,
                                 EventLoop::now());
  if (End == HttpEnd::NotWritten)
    m_Crashes.onConnectFailed(upstreamIncarnation());
  if (m_Send->m_Answer.connectionFailed(End)) {
    m_ConnectFailed = true;
    m_Owner.m_Hooks.m_ConnectFailed(reachCall());
  }
  settle(Outcome);
}

StreamAnswer::SendEnd ProxiedRequest::streamEnd(HttpEnd End) const {
  return {.m_End = End,
          .m_FromBox = m_Send->m_Box.has_value(),
          .m_Resumed = m_Send->m_Resumed,
          .m_MayHaveRun = m_MayHaveRun};
}

bool ProxiedRequest::streamBrokeOff(HttpEnd End) const {
  return answersStream() && m_Stream.brokeOff(streamEnd(End));
}

bool ProxiedRequest::claimsMore(HttpEnd End) const {
  return streaming() && m_Stream.claimsMore(End);
}

void ProxiedRequest::noteOutcome(SendOutcome Outcome, TimePoint Now) {
  releaseLoad();
  m_Sends -= Outcome == SendOutcome::NotSent ? 1 : 0;
  m_MayHaveRun = m_MayHaveRun || Outcome == SendOutcome::Broken ||
                 Outcome == SendOutcome::ServerError;
  if (m_Send->m_Box)
    return notePassed(Outcome);
  if (Outcome == SendOutcome::NotSent)
    m_Crashes.onNotSent(m_Send->m_At);
  if (completed(Outcome))
    m_Crashes.onCompleted(upstreamIncarnation(),
                          m_Send->m_Started.value_or(m_Send->m_At));
  m_Send->m_Statistics->recordOutcome(Outcome, m_Send->m_Whole, Now);
}

void ProxiedRequest::notePassed(SendOutcome Outcome) {
  m_Send->m_PassToken.reset();
  // An answer that breaks off, or is waited for in vain, may be the fault of an
  // upstream.
  const bool Declined = Outcome == SendOutcome::NotSent ||
                        (Outcome == SendOutcome::Broken &&
                         m_Send->m_Answer.status() == 0 && m_Send->m_Ended);
  m_BoxPass.onOutcome(*m_Send->m_Box, outcomeName(Outcome), Declined);
}

/// \returns whether the upstream ran the request completely. An error of its
/// own may be returned without a run, and the rest of a resumed stream may be
/// empty; an answer that finds fault with the request has read it.
bool ProxiedRequest::completed(SendOutcome Outcome) const {
  return Outcome == SendOutcome::Answered && !m_Send->m_Resumed &&
         !impliesNotRun(m_Send->m_Answer.status());
}

void ProxiedRequest::releaseLoad() {
  if (!m_Send || !m_Send->m_Statistics || !m_Send->m_Statistics->running())
    return;
  m_Permit.reportEnd(m_Send->m_Instance, m_Send->m_Answer.noRoom());
  m_Send->m_Statistics->onEnded();
}

int ProxiedRequest::maxSends() const {
  return m_Passed ? std::min(MaxPassedSends, m_Route.m_MaxAttempts)
                  : m_Route.m_MaxAttempts;
}

ForwardingStep ProxiedRequest::decide(SendOutcome Outcome, TimePoint Now) {
  if (m_Stream.begun() && m_Binding.software() && listedOtherwise())
    m_Binding.onDoubt();
  const bool Bound = m_Binding.state() == StreamBinding::State::Bound;
  const ForwardingFacts Facts{.m_Idempotent = m_Route.idempotent(),
                              .m_Resumable = m_Route.m_Resumable &&
                                             (Bound || !m_Stream.begun()),
                              .m_BytesPassed = m_Stream.begun(),
                              .m_MayHaveRun = m_MayHaveRun,
                              .m_Sends = m_Sends,
                              .m_MaxSends = maxSends(),
                              .m_TimeLeft = Now < m_Times.deadline()};
  // What another box refuses is an answer to the caller, as if refused here.
  if (Outcome == SendOutcome::Rejected &&
      m_Send->m_Answer.verdict() == PassVerdict::Refused)
    return m_Stream.begun() ? ForwardingStep::Cut
           : m_MayHaveRun   ? ForwardingStep::Fail
                            : ForwardingStep::Refuse;
  const ForwardingStep Step = nextStep(Outcome, Facts, true);
  if (!needsRetryBudget(Step, Outcome))
    return Step;
  ServingState &State = m_Owner.m_State;
  const bool WithinBudget =
      State.m_Budget.trySpend(m_Service, State.m_Boxes, Now);
  return nextStep(Outcome, Facts, WithinBudget);
}

void ProxiedRequest::settle(SendOutcome Outcome) {
  const TimePoint Now = EventLoop::now();
  m_IdleMonitor.stop();
  m_RoomTimer.reset();
  m_GiveUpTimer = Timer();
  m_RestHeld = MemoryCharge();
  // Destroying the handle cancels rejected and aborted calls.
  m_Call = HttpCallHandle();
  if (Outcome == SendOutcome::Answered) {
    if (answersStream())
      passEvents(m_Stream.rest());
    else
      noteStarted(Now);
  }
  if (m_Done)
    return;
  noteOutcome(Outcome, Now);
  if (!m_Send->m_Box)
    m_Owner.m_Hooks.m_SendEnded(outcomeName(Outcome));
  const ForwardingStep Step = decide(Outcome, Now);
  if (Outcome != SendOutcome::Answered)
    m_Log.sendFailed(*m_Send,
                     {.m_Number = m_Sends,
                      .m_Outcome = Outcome,
                      .m_Passed = m_Stream.begun(),
                      .m_RestBytes = m_Stream.rest().size(),
                      .m_Step = Step},
                     Now);
  carryOut(Step);
}

void ProxiedRequest::carryOut(ForwardingStep Step) {
  switch (Step) {
  case ForwardingStep::SendAgain:
  case ForwardingStep::Resume:
    m_Send.reset();
    return step();
  case ForwardingStep::PassOn:
    return passAnswer();
  case ForwardingStep::Refuse:
    if (m_Send && m_Send->m_Answer.verdict() == PassVerdict::Refused)
      return passRefusal();
    return refuse(ErrorKind::NoUpstream, RejectedRetryAfter, {});
  case ForwardingStep::Fail:
    return fail(ErrorKind::OutcomeUnknown);
  case ForwardingStep::Cut:
    return cut();
  }
}

void ProxiedRequest::passAnswer() {
  if (answersStream()) {
    if (!m_Stream.begun())
      startStream();
    m_Exchange->endStream();
    return end("ok");
  }
  // Without the upstream's statement that it did not run the request, this
  // status would wrongly promise that to the caller.
  if (impliesNotRun(m_Send->m_Answer.status()))
    return fail(ErrorKind::UpstreamFailed);
  const bool Success = m_Send->m_Answer.status() < 500;
  m_Exchange->reply(m_Send->m_Answer.status(),
                    withoutConnectionFields(m_Send->m_Answer.headers()),
                    m_Send->m_Answer.takeBody(), m_Send->m_Answer.framing());
  end(Success ? "ok" : "upstream_error");
}

/// Answers as the box did that was asked.
void ProxiedRequest::passRefusal() {
  m_Quota.refund();
  m_Exchange->reply(m_Send->m_Answer.status(),
                    withoutConnectionFields(m_Send->m_Answer.headers()),
                    m_Send->m_Answer.body());
  end("refused_by_box");
}

void ProxiedRequest::refuse(ErrorKind Kind, Duration RetryAfter,
                            std::string Detail) {
  refuse({.m_Kind = Kind,
          .m_RetryAfter = RetryAfter,
          .m_Detail = std::move(Detail)});
}

void ProxiedRequest::refuse(const Failure &Reason) {
  m_RefusalRetryAfter = Reason.m_RetryAfter;
  m_Quota.refund();
  HttpHeaders Headers = m_Owner.m_Dialect.m_FailureHeaders(m_Request.m_Id);
  if (m_Passed)
    Headers.push_back(verdictField(verdictFor(Reason.m_Kind, m_Sends > 0)));
  replyWithFailure(m_Exchange, Reason, std::move(Headers));
  end(answerFor(Reason.m_Kind).m_Code);
}

void ProxiedRequest::fail(ErrorKind Kind) {
  replyWithFailure(m_Exchange, {.m_Kind = Kind},
                   m_Owner.m_Dialect.m_FailureHeaders(m_Request.m_Id));
  end(answerFor(Kind).m_Code);
}

void ProxiedRequest::cut() {
  m_Exchange->abort();
  end(answerFor(ErrorKind::StreamCut).m_Code);
}

void ProxiedRequest::onDeadline() {
  if (m_Done)
    return;
  if (m_Stream.begun())
    return cut();
  const bool Sent = m_Send.has_value() || m_MayHaveRun;
  fail(Sent ? ErrorKind::RouteTimeout : ErrorKind::DeadlinePassed);
}

void ProxiedRequest::onProcessEnds() {
  if (m_Done)
    return;
  if (m_Stream.begun())
    return cut();
  if (m_Send || m_MayHaveRun)
    return fail(ErrorKind::OutcomeUnknown);
  refuse(ErrorKind::Stopping, Forwarder::StoppingRetryAfter, {});
}

void ProxiedRequest::onCallerLeft() {
  if (!m_Done)
    end(answerFor(ErrorKind::CallerLeft).m_Code);
}

void ProxiedRequest::end(std::string_view Outcome) {
  if (std::exchange(m_Done, true))
    return;
  const auto Self = shared_from_this();
  const TimePoint Now = EventLoop::now();
  releaseLoad();
  m_Call = HttpCallHandle();
  m_DeadlineTimer = Timer();
  m_WaitTimer = Timer();
  m_PacingTimer = Timer();
  m_GiveUpTimer = Timer();
  m_RoomTimer.reset();
  m_IdleMonitor.stop();
  m_RestHeld = MemoryCharge();
  const Duration First = m_FirstByte ? *m_FirstByte - m_Times.arrived() : 0us;
  if (!m_Passed && Outcome != "ok" &&
      Outcome != answerFor(ErrorKind::CallerLeft).m_Code)
    m_Owner.m_State.m_RetryDetector.recordRefusal(m_Route.m_Name, Now);
  if (Outcome == "ok")
    m_Owner.m_State.m_AnswerDurations.observe(m_Route.m_Name,
                                              m_Times.waited(Now));
  if (Outcome == "ok" && streaming() && m_FirstByte)
    m_Owner.m_State.m_Latency.observeHold(m_Request.m_Model,
                                          inMillis(Now - *m_FirstByte));
  m_Log.ended({.m_Outcome = Outcome,
               .m_Organisation = m_Organisation,
               .m_PassedHere = m_Passed != nullptr,
               .m_Units = m_Quota.units(),
               .m_SinceFirstTry = m_SinceFirstTry,
               .m_Sends = m_Sends,
               .m_Choice = m_Admission.details(),
               .m_Regions = m_Authorization.regions().text(),
               .m_RetryAfter = m_RefusalRetryAfter,
               .m_First = First,
               .m_Gap = m_Stream.longestGap(),
               .m_Last = m_Send ? &*m_Send : nullptr,
               .m_RestBytes = m_Stream.rest().size(),
               .m_Whole = m_Times.waited(Now)});
  if (m_Passed)
    m_Owner.m_Hooks.m_PassedEnded(Outcome);
  else
    m_Owner.m_Hooks.m_Ended({.m_Route = m_Route.m_Name,
                             .m_Organisation = m_Organisation,
                             .m_Outcome = Outcome,
                             .m_FirstByte = First,
                             .m_Whole = m_Times.waited(Now)});
  m_Owner.remove(Self);
}

} // namespace havenstair
