#include "gateway/request/ProxiedRequest.h"

#include "decisions/request/EnginePriority.h"
#include "decisions/request/RetryAfterRefusal.h"
#include "gateway/common/DecisionLog.h"
#include "gateway/request/OwnAnswer.h"
#include "gateway/request/RequestDigest.h"
#include "gateway/request/UpstreamCall.h"
#include <algorithm>
#include <cmath>

namespace havenstair {

namespace {

/// Requests without a deadline of the caller end with the route's time-out.
constexpr Duration LongestDeadline = 3600s;

/// When a caller may come back that no upstream listed now may serve: servers
/// that have started are listed within a second.
constexpr Duration UpstreamsAway = 1s;

/// When a caller may come back after all upstreams turned a request down.
constexpr Duration RejectedAway = 150ms;

/// The least silence of an upstream that counts as a failure.
constexpr Duration LeastSilence = 1200ms;

/// And in multiples of what is usual: a plain service's target; the expected
/// first token, which comes up to two and a half times as late; the pause that
/// a stream's callers bear.
constexpr int SilentTargets = 3;
constexpr double SilentExpected = 2.5;
constexpr int SilentGaps = 4;

/// Tokens of an answer count in part: most end before their bound.
constexpr double OutputPart = 0.5;

} // namespace

ProxiedRequest::ProxiedRequest(Forwarder &Owner, HttpExchangePtr Exchange,
                               RequestDescriptor Request,
                               std::shared_ptr<const ServingConfig> Config,
                               const Route &Of, const Organisation *Caller,
                               TimePoint Arrived)
    : m_Owner(Owner), m_Exchange(std::move(Exchange)),
      m_Request(std::move(Request)), m_FromCaller(m_Exchange->headers()),
      m_Config(std::move(Config)), m_Route(Of),
      m_Service(chooseSplit(Of, m_Request.m_Id)),
      m_Organisation(Caller == nullptr ? "" : Caller->m_Name),
      m_Crashes(digestOf({.m_Method = m_Exchange->method(),
                          .m_Host = m_Request.m_Host,
                          .m_Target = m_Exchange->target(),
                          .m_Organisation = m_Organisation,
                          .m_Body = m_Exchange->body()}),
                Owner.m_State.m_Crashes, Owner.m_Crashes),
      m_Priority(enginePriority(*m_Config, Of, Caller)),
      m_Standing(m_Config, Of, Caller, m_Request.m_Caller),
      m_Quota(Owner.m_Quotas, m_Organisation, quotaUnits(m_Request, Caller)),
      m_Permit(Owner.m_Loop, Owner.m_Permits, Owner.m_State.m_SendBounds,
               [this] { resume(); }),
      m_Arrived(Arrived),
      m_Deadline(m_Arrived +
                 std::min(m_Request.m_Deadline.value_or(LongestDeadline),
                          Of.m_Timeout)),
      m_LastEvent(m_Request.m_LastEvent),
      m_Silence(Owner.m_Loop, Owner.m_Client,
                {.m_Probe = [this] { return probe(); },
                 .m_Lost =
                     [this] {
                       const auto Self = shared_from_this();
                       settle(SendOutcome::Broken);
                     }}) {}

void ProxiedRequest::begin() {
  ServingState &State = m_Owner.m_State;
  State.m_Budget.requested(m_Service, m_Arrived);
  if (m_Request.m_Deadline)
    m_SinceFirstTry = State.m_Callers.sinceFirstTry(
        m_Route.m_Name, *m_Request.m_Deadline, m_Arrived);
  // A second try is the same demand once more.
  if (!m_Request.m_Model.empty() && m_SinceFirstTry == 0us) {
    // Reading a prompt takes the whole engine, writing the answer one slot.
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
  const auto Weak = weak_from_this();
  m_Exchange->onCallerLeft([Weak] {
    if (const auto Self = Weak.lock())
      Self->onCallerLeft();
  });
  m_DeadlineTimer = m_Owner.m_Loop.after(m_Deadline - EventLoop::now(), [Weak] {
    if (const auto Self = Weak.lock())
      Self->onDeadline();
  });
  step();
}

RequestReach ProxiedRequest::reach() const {
  const ServingState &State = m_Owner.m_State;
  return {State.m_Upstreams, State.m_DataCentres, m_Standing.regions(),
          m_Service, m_Request};
}

void ProxiedRequest::upstreamsChanged() {
  if (m_Parked && !m_Done)
    step();
}

void ProxiedRequest::step() {
  const TimePoint Now = EventLoop::now();
  ServingState &State = m_Owner.m_State;
  m_ParkTimer = Timer();
  if (!stillAllowed() || refusedBarred(Now))
    return;
  if (const auto Hold = m_Crashes.hold(Now))
    return wait(*Hold);
  const auto Excluded = [&](const InstanceId &Id) {
    return m_Tried.contains(Id) || m_Permit.excludes(Id, Now) ||
           State.m_Signals.retryAt(Id, Now);
  };
  auto Candidates = reach().candidates(Excluded, Now);
  m_Crashes.keepApart(Candidates, m_MayHaveRun, Now);
  const ReplicaKnowledge Known{.m_Loads = State.m_Loads,
                               .m_Prefixes = State.m_Prefixes,
                               .m_Latency = State.m_Latency,
                               .m_Failures = State.m_Failures,
                               .m_DataCentres = State.m_DataCentres,
                               .m_Bounds = &State.m_SendBounds};
  const auto Chosen =
      chooseReplica(Candidates, m_Request, State.m_Zone, Known,
                    m_Owner.m_Opts.m_Weights, m_Owner.m_Hooks.m_Random(), Now);
  m_Judged = {.m_Replicas = Candidates.size(),
              .m_ExpectedMs = Chosen ? Chosen->m_ExpectedMs : 0,
              .m_PendingMs = Chosen ? Chosen->m_PendingMs : 0};
  if (!Chosen && m_Permit.drop())
    return step();
  if (refusedBound(Chosen, Now) || refusedBackedOff(Chosen, Now))
    return;
  // A permit is not given up for what another request was told meanwhile.
  if (m_Sends == 0 && !m_Permit.holds(Now) && !admitted(Chosen, Now))
    return;
  if (!Chosen)
    return carryOut(m_BytesPassed  ? ForwardingStep::Cut
                    : m_MayHaveRun ? ForwardingStep::Fail
                                   : ForwardingStep::Refuse);
  if (const auto Pause =
          m_Crashes.pause(m_Owner.m_Hooks.m_Random(), m_Deadline - Now, Now))
    return wait(*Pause);
  m_Parked = false;
  if (!withinQuota(Now))
    return;
  if (const auto Pause = paceOf(*Chosen, Now)) {
    m_PaceTimer = m_Owner.m_Loop.after(*Pause, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->resume();
    });
    return;
  }
  if (m_Permit.ready(Chosen->m_Instance->m_Id, permitPatience(*Chosen, Now),
                     Now))
    send(*Chosen, Now);
}

/// A request that ends servers ends those that it still waits for, too. One
/// that a server has begun to answer may yet show that it does not.
void ProxiedRequest::crashesChanged() {
  if (m_Done)
    return;
  const auto Self = shared_from_this();
  if (m_Parked)
    step();
  else if (m_Send && !m_Send->m_Started)
    refusedBarred(EventLoop::now());
}

void ProxiedRequest::resume() {
  const auto Self = shared_from_this();
  if (!m_Done)
    step();
}

/// Whether the request has its answer as only servers are left that are cold or
/// name a limit, and no permit to send to one is to be had in time.
bool ProxiedRequest::refusedBound(const std::optional<ChosenReplica> &Chosen,
                                  TimePoint Now) {
  const auto Away = m_Permit.away(Now);
  if (Chosen || !Away || m_BytesPassed || m_MayHaveRun)
    return false;
  refuse(ErrorKind::Overloaded, Away->m_After,
         Away->m_Limited ? "server_limit" : "cold");
  return true;
}

/// Whether the request has its answer as all servers that could run it have
/// named a time to retry after, and no load of its model is sooner.
bool ProxiedRequest::refusedBackedOff(
    const std::optional<ChosenReplica> &Chosen, TimePoint Now) {
  if (Chosen || m_BytesPassed || m_MayHaveRun)
    return false;
  const auto Nobody = [](const InstanceId &) { return false; };
  const auto Refusal = refuseForRetryAfter(reach().candidates(Nobody, Now),
                                           m_Owner.m_State.m_Signals,
                                           m_Owner.m_Hooks.m_Random(), Now);
  const auto ServesAt = reach().servesAt(Now);
  if (!Refusal || (ServesAt && *ServesAt < Now + Refusal->m_After))
    return false;
  m_Judged.m_Reason = "server_retry_after";
  refuse(ErrorKind::Overloaded, Refusal->m_After, "server_retry_after");
  return true;
}

/// How long to wait before a prompt is read beside running streams: they pause
/// while prompts are read, so these come one after the other.
std::optional<Duration> ProxiedRequest::paceOf(const ChosenReplica &Chosen,
                                               TimePoint Now) const {
  const PaceFacts Facts{.m_GapTarget = m_Route.m_GapTarget,
                        .m_Target = m_Route.m_Target,
                        .m_Waited = waited(Now),
                        .m_PendingMs = Chosen.m_PendingMs};
  if (m_Sends > 0 || !streaming() || m_Request.m_Model.empty() ||
      m_Permit.holds(Now))
    return std::nullopt;
  return paceFor(Facts, m_Owner.m_Opts.m_Pace);
}

AdmissionFacts
ProxiedRequest::admissionFacts(const std::optional<ChosenReplica> &Chosen,
                               TimePoint Now) const {
  AdmissionFacts Facts{.m_Target = m_Route.m_Target,
                       .m_GapTarget = m_Route.m_GapTarget,
                       .m_Waited = waited(Now),
                       .m_TimeLeft = m_Deadline - Now,
                       .m_NamesModel = !m_Request.m_Model.empty(),
                       .m_Start = std::nullopt,
                       .m_ServesIn = std::nullopt};
  if (Chosen)
    Facts.m_Start = {.m_FirstMs = Chosen->m_ExpectedMs,
                     .m_WorkMs = Chosen->m_WorkMs};
  const auto ServesAt = reach().servesAt(Now);
  if (Facts.m_NamesModel && ServesAt)
    Facts.m_ServesIn = std::max<Duration>(0us, *ServesAt - Now);
  return Facts;
}

/// Whether the request may be sent now. Otherwise it waits until it is judged
/// again, or has got its answer.
bool ProxiedRequest::admitted(const std::optional<ChosenReplica> &Chosen,
                              TimePoint Now) {
  // A plain service's queue is its own.
  if (Chosen && m_Request.m_Model.empty())
    return true;
  if (!Chosen && !reach().any()) {
    refuse(ErrorKind::NoAllowedUpstream, UpstreamsAway,
           m_Standing.regions().text());
    return false;
  }
  if (!Chosen && !m_Request.m_Model.empty())
    m_Owner.m_Hooks.m_Missing(
        {m_Service, m_Request.m_Model, m_Request.m_Adapter});
  const AdmissionFacts Facts = admissionFacts(Chosen, Now);
  const AdmissionDecision Decision =
      admit(Facts, m_Owner.m_Opts.m_Admission, m_Owner.m_Hooks.m_Random());
  m_Judged.m_Reason = Decision.m_Reason;
  m_Judged.m_ServesIn = Facts.m_ServesIn;
  switch (Decision.m_Step) {
  case AdmissionStep::Send:
    return true;
  case AdmissionStep::Wait:
    // What waits may not end before the process does.
    if (m_Owner.m_State.m_Stopping)
      refuse(ErrorKind::Stopping, Forwarder::StoppingAway, {});
    else
      wait(Decision.m_For);
    return false;
  case AdmissionStep::Refuse:
    refuse(Chosen               ? ErrorKind::Overloaded
           : Facts.m_NamesModel ? ErrorKind::NoResidentCopy
                                : ErrorKind::NoUpstream,
           Decision.m_For, std::string(Decision.m_Reason));
    return false;
  }
  return false;
}

/// Until news of upstreams come, or \p For is over.
void ProxiedRequest::wait(Duration For) {
  m_Parked = true;
  m_ParkTimer = m_Owner.m_Loop.after(For, [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && !Self->m_Done && Self->m_Parked)
      Self->step();
  });
}

/// Keys may be taken away and regions change while a request waits, or between
/// two sends.
bool ProxiedRequest::stillAllowed() {
  m_Standing.update(m_Owner.m_State.m_Config);
  const auto Refused = m_Standing.refusal();
  if (!Refused)
    return true;
  if (m_BytesPassed)
    cut();
  else if (m_MayHaveRun)
    fail(ErrorKind::OutcomeUnknown);
  else
    refuse(Refused->m_Kind, Refused->m_RetryAfter, Refused->m_Detail);
  return false;
}

/// Whether the request has its final answer, as servers ended under it. It is
/// known by its content, as each try has another id.
bool ProxiedRequest::refusedBarred(TimePoint Now) {
  const RequestBar *Bar = m_Crashes.bar(Now);
  if (Bar == nullptr)
    return false;
  if (m_BytesPassed)
    cut();
  else if (m_MayHaveRun || m_Send)
    fail(ErrorKind::ServersEnded);
  else
    refuse(ErrorKind::RequestBarred, 0us, {});
  return true;
}

/// How long units or permits may be waited for: while the answer still comes in
/// time, and what is late already as long as a word from the other boxes takes.
Duration ProxiedRequest::timeToSpare(TimePoint Now) const {
  constexpr Duration Least = 100ms;
  return std::max<Duration>(Least, m_Route.m_Target - waited(Now) -
                                       fromMillis(m_Judged.m_ExpectedMs));
}

/// A permit to send to a server that names a limit is not waited for longer
/// than another server would take.
Duration ProxiedRequest::permitPatience(const ChosenReplica &Chosen,
                                        TimePoint Now) const {
  const Duration Spare = timeToSpare(Now);
  if (!Chosen.m_Limited || !Chosen.m_SpareMs)
    return Spare;
  return std::min(Spare, fromMillis(*Chosen.m_SpareMs));
}

/// Whether the request may be sent now. Otherwise the answer will tell, or the
/// request has got its own.
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
    return refuse(ErrorKind::OwnerUnavailable, RejectedAway, "quota");
  if (!Verdict->granted())
    return refuse(ErrorKind::RateLimited, Verdict->m_After, {});
  // An answer at once is read by the one that asked.
  if (!m_AskingQuota)
    step();
}

HttpCall ProxiedRequest::makeCall(const UpstreamInstance &To, TimePoint Now) {
  const ForwardedFields Fields{.m_Instance = To.m_Id,
                               .m_Organisation = m_Organisation,
                               .m_TimeLeft = m_Deadline - Now,
                               .m_Priority = m_Priority,
                               .m_LastEvent = m_LastEvent};
  HttpCall Call;
  Call.m_To = Endpoint::parse(To.m_Address).value_or(Endpoint{});
  Call.m_Method =
      parseHttpMethod(m_Exchange->method()).value_or(HttpMethod::Get);
  Call.m_Target = m_Exchange->target();
  Call.m_Headers = m_Owner.m_Dialect.m_Forward(m_FromCaller, Fields);
  Call.m_Body = m_Exchange->body();
  Call.m_Use = connectionFor(m_Route.idempotent(), m_Request.m_Model.empty(),
                             m_Owner.m_State.m_Failures.rate(To.m_Id, Now));
  Call.m_ConnectTimeout = m_Owner.m_Opts.m_ConnectTimeout;
  Call.m_IdleTimeout = m_Deadline - Now + 1s;
  Call.m_MaxBody = m_Owner.m_Opts.m_MaxAnswer;
  const auto Weak = weak_from_this();
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
  ++m_Sends;
  m_Events = EventSplitter();
  m_Send = Send{.m_Instance = To.m_Id,
                .m_Born = To.m_Born,
                .m_At = Now,
                .m_PendingMs = Chosen.m_PendingMs,
                .m_WorkMs = Chosen.m_WorkMs,
                .m_ExpectedMs = Chosen.m_ExpectedMs,
                .m_Tokens = m_Request.m_PromptTokens +
                            OutputPart * m_Request.m_MostOutput,
                .m_Resumed = m_LastEvent.has_value()};
  const ConfigVouch Config = m_Owner.m_Hooks.m_ConfigVouch(Now);
  m_Owner.m_Log.write("sent",
                      {{"request", m_Request.m_Id},
                       {"digest", m_Crashes.digest().str()},
                       {"route", m_Route.m_Name},
                       {"config", m_Config->m_Version},
                       {"config_age_ms", Config.m_Age / 1ms},
                       {"config_by", Config.m_By.str()},
                       {"list", State.m_Upstreams.list().m_Revision},
                       {"upstream", To.m_Id},
                       {"send", m_Sends},
                       {"model", m_Request.m_Model},
                       {"pending_ms", std::lround(Chosen.m_PendingMs)},
                       {"work_ms", std::lround(Chosen.m_WorkMs)},
                       {"expected_ms", std::lround(Chosen.m_ExpectedMs)}});
  HttpCall Call = makeCall(To, Now);
  State.m_Loads.sent(To.m_Id, Chosen.m_WorkMs, m_Send->m_Tokens);
  if (!m_Request.m_Model.empty())
    State.m_Prefixes.noteRead(To.m_Id, m_Request);
  m_Call = m_Owner.m_Client.start(std::move(Call));
  if (!streaming())
    return expectWithin(SilentTargets * m_Route.m_Target);
  expectWithin(std::max<Duration>(
      LeastSilence,
      fromMillis(SilentExpected * Chosen.m_ExpectedMs) + m_Route.m_Target));
}

/// Requests that may run again do not wait for ever for an upstream that says
/// nothing; for others its silence is no reason to give up.
void ProxiedRequest::expectWithin(Duration Limit) {
  if (m_Route.idempotent() && m_Sends < m_Route.m_MaxAttempts)
    m_Silence.expectWithin(Limit);
}

std::optional<HttpCall> ProxiedRequest::probe() const {
  const UpstreamInstance *At =
      m_Send ? m_Owner.m_State.m_Upstreams.find(m_Send->m_Instance) : nullptr;
  if (!streaming() || At == nullptr)
    return std::nullopt;
  return healthCall(*At, m_Config->service(m_Service),
                    m_Owner.m_Opts.m_ConnectTimeout);
}

void ProxiedRequest::onHead(int Status, const HttpHeaders &Headers) {
  if (m_Done || !m_Send)
    return;
  const AnswerFacts Facts = m_Owner.m_Dialect.m_ReadAnswer(Status, Headers);
  m_Send->m_Status = Status;
  m_Send->m_Headers = Headers;
  m_Send->m_NotRun = Facts.m_NotRun;
  m_Permit.heard(Facts, m_Send->m_Instance, m_Send->m_At);
  m_Send->m_Foreign =
      !Facts.m_RequestId.empty() && Facts.m_RequestId != m_Request.m_Id;
  const bool Nameless = Facts.m_RequestId.empty() && Status / 100 == 2;
  if (m_Send->m_Foreign || Nameless) {
    m_Send->m_Foreign = true;
    return settle(SendOutcome::Broken);
  }
  if (const auto Desk = m_Owner.m_Words.lock())
    Desk->heard(upstreamLife(), Facts, m_Send->m_At);
}

void ProxiedRequest::onBytes(std::string_view Bytes) {
  if (m_Done || !m_Send)
    return;
  if (streaming() && m_Send->m_Status == 200)
    return passEvents(m_Events.feed(Bytes));
  m_Send->m_Body.append(Bytes);
  if (m_Send->m_Body.size() > m_Owner.m_Opts.m_MaxAnswer)
    settle(SendOutcome::Broken);
}

void ProxiedRequest::noteStarted(TimePoint Now) {
  if (m_Send->m_Started || !m_Send->m_Counted)
    return;
  m_Send->m_Started = Now;
  if (!m_FirstByte)
    m_FirstByte = Now;
  if (upstreamStartedAgain())
    return;
  ServingState &State = m_Owner.m_State;
  const double Observed = inMillis(Now - m_Send->m_At);
  State.m_Loads.started(m_Send->m_Instance, m_Send->m_WorkMs);
  State.m_Latency.observe(m_Send->m_Instance, m_Request.m_Model,
                          m_Send->m_PendingMs, m_Send->m_WorkMs, Observed);
}

void ProxiedRequest::passEvents(const std::string &Events) {
  if (Events.empty())
    return;
  const TimePoint Now = EventLoop::now();
  noteStarted(Now);
  if (!m_BytesPassed) {
    m_BytesPassed = true;
    m_Exchange->startStream(m_Send->m_Status,
                            withoutConnectionFields(m_Send->m_Headers));
  }
  if (m_LastPassed)
    m_LongestGap = std::max(m_LongestGap, Now - *m_LastPassed);
  m_LastPassed = Now;
  if (m_Events.lastId())
    m_LastEvent = m_Events.lastId();
  if (!m_Exchange->sendChunk(Events))
    return cut();
  expectWithin(std::max(LeastSilence, SilentGaps * m_Route.m_GapTarget));
}

void ProxiedRequest::onEnd(HttpEnd End) {
  if (m_Done || !m_Send)
    return;
  if (End == HttpEnd::Broken)
    m_Crashes.broke(upstreamLife(), m_Send->m_Started, EventLoop::now());
  if (End == HttpEnd::NotWritten)
    m_Crashes.unreachable(upstreamLife());
  settle(judge(End));
}

SendOutcome ProxiedRequest::judge(HttpEnd End) const {
  if (m_Send->m_NotRun)
    return SendOutcome::Rejected;
  if (End == HttpEnd::NotWritten)
    return SendOutcome::NotSent;
  if (End == HttpEnd::Broken)
    return SendOutcome::Broken;
  return m_Send->m_Status >= 500 ? SendOutcome::ServerError
                                 : SendOutcome::Answered;
}

void ProxiedRequest::noteOutcome(SendOutcome Outcome, TimePoint Now) {
  ServingState &State = m_Owner.m_State;
  const InstanceId &At = m_Send->m_Instance;
  releaseLoad();
  m_Sends -= Outcome == SendOutcome::NotSent ? 1 : 0;
  m_MayHaveRun = m_MayHaveRun || Outcome == SendOutcome::Broken ||
                 Outcome == SendOutcome::ServerError;
  if (ranWell(Outcome))
    m_Crashes.ranWell(upstreamLife());
  if (upstreamStartedAgain())
    return;
  if (Outcome == SendOutcome::Answered)
    State.m_Failures.succeeded(At, Now);
  else if (Outcome == SendOutcome::NotSent)
    State.m_Failures.unreachable(At, Now);
  else
    State.m_Failures.failed(At, Now);
}

/// Whether the upstream ran all of the request. A failure may come without a
/// run, and the rest of a stream may be nothing.
bool ProxiedRequest::ranWell(SendOutcome Outcome) const {
  return Outcome == SendOutcome::Answered && m_Send->m_Status / 100 == 2 &&
         !m_Send->m_Resumed;
}

/// What a former start of the upstream did says nothing of the present one.
bool ProxiedRequest::upstreamStartedAgain() const {
  return m_Owner.m_State.m_Upstreams.past(upstreamLife());
}

void ProxiedRequest::releaseLoad() {
  if (!m_Send || !std::exchange(m_Send->m_Counted, false) ||
      upstreamStartedAgain())
    return;
  LoadBook &Loads = m_Owner.m_State.m_Loads;
  if (!m_Send->m_Started)
    Loads.started(m_Send->m_Instance, m_Send->m_WorkMs);
  Loads.ended(m_Send->m_Instance, m_Send->m_Tokens);
}

ForwardingStep ProxiedRequest::decide(SendOutcome Outcome, TimePoint Now) {
  const ForwardingFacts Facts{.m_Idempotent = m_Route.idempotent(),
                              .m_Resumable = m_Route.m_Resumable,
                              .m_BytesPassed = m_BytesPassed,
                              .m_MayHaveRun = m_MayHaveRun,
                              .m_Sends = m_Sends,
                              .m_MaxSends = m_Route.m_MaxAttempts,
                              .m_TimeLeft = Now < m_Deadline};
  const ForwardingStep Wanted = nextStep(Outcome, Facts, true);
  if (!needsBudget(Wanted, Outcome))
    return Wanted;
  ServingState &State = m_Owner.m_State;
  const bool Left = State.m_Budget.trySpend(m_Service, State.m_Boxes, Now);
  return nextStep(Outcome, Facts, Left);
}

void ProxiedRequest::settle(SendOutcome Outcome) {
  const TimePoint Now = EventLoop::now();
  m_Silence.stop();
  // Rejections and cut calls are cancelled with the handle.
  m_Call = HttpCallHandle();
  if (Outcome == SendOutcome::Answered) {
    if (streaming() && m_Send->m_Status == 200)
      passEvents(std::string(m_Events.rest()));
    else
      noteStarted(Now);
  }
  if (m_Done)
    return;
  noteOutcome(Outcome, Now);
  m_Owner.m_Hooks.m_SendEnded(outcomeName(Outcome));
  const ForwardingStep Step = decide(Outcome, Now);
  if (Outcome != SendOutcome::Answered)
    m_Owner.m_Log.write("send_failed",
                        {{"request", m_Request.m_Id},
                         {"digest", m_Crashes.digest().str()},
                         {"upstream", m_Send->m_Instance},
                         {"send", m_Sends},
                         {"outcome", outcomeName(Outcome)},
                         {"status", m_Send->m_Status},
                         {"foreign", m_Send->m_Foreign},
                         {"after_ms", (Now - m_Send->m_At) / 1ms},
                         {"passed", m_BytesPassed},
                         {"step", stepName(Step)}});
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
    return refuse(ErrorKind::NoUpstream, RejectedAway, {});
  case ForwardingStep::Fail:
    return fail(ErrorKind::OutcomeUnknown);
  case ForwardingStep::Cut:
    return cut();
  }
}

void ProxiedRequest::passAnswer() {
  if (streaming() && m_Send->m_Status == 200) {
    if (!m_BytesPassed)
      m_Exchange->startStream(m_Send->m_Status,
                              withoutConnectionFields(m_Send->m_Headers));
    m_Exchange->endStream();
    return end("ok");
  }
  // Without its word that it did not run the request, its status would be
  // taken for a promise.
  if (promisesNotRun(m_Send->m_Status))
    return fail(ErrorKind::UpstreamFailed);
  const bool Good = m_Send->m_Status < 500;
  m_Exchange->reply(m_Send->m_Status,
                    withoutConnectionFields(m_Send->m_Headers), m_Send->m_Body);
  end(Good ? "ok" : "upstream_error");
}

void ProxiedRequest::refuse(ErrorKind Kind, Duration Away, std::string Detail) {
  m_ToldAway = Away;
  m_Quota.giveBack();
  answerFailure(
      m_Exchange,
      {.m_Kind = Kind, .m_RetryAfter = Away, .m_Detail = std::move(Detail)},
      m_Owner.m_Dialect.m_OwnAnswer(m_Request.m_Id));
  end(answerFor(Kind).m_Code);
}

void ProxiedRequest::fail(ErrorKind Kind) {
  answerFailure(m_Exchange, {.m_Kind = Kind},
                m_Owner.m_Dialect.m_OwnAnswer(m_Request.m_Id));
  end(answerFor(Kind).m_Code);
}

void ProxiedRequest::cut() {
  m_Exchange->abort();
  end(answerFor(ErrorKind::StreamCut).m_Code);
}

void ProxiedRequest::onDeadline() {
  if (m_Done)
    return;
  if (m_BytesPassed)
    return cut();
  const bool Sent = m_Send.has_value() || m_MayHaveRun;
  fail(Sent ? ErrorKind::RouteTimeout : ErrorKind::DeadlinePassed);
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
  m_ParkTimer = Timer();
  m_PaceTimer = Timer();
  m_Silence.stop();
  const Duration First = m_FirstByte ? *m_FirstByte - m_Arrived : 0us;
  if (Outcome != "ok" && Outcome != answerFor(ErrorKind::CallerLeft).m_Code)
    m_Owner.m_State.m_Callers.turnedAway(m_Route.m_Name, Now);
  if (Outcome == "ok" && streaming() && m_FirstByte)
    m_Owner.m_State.m_Latency.observeHold(m_Request.m_Model,
                                          inMillis(Now - *m_FirstByte));
  m_Owner.m_Log.write(
      Outcome == "ok" ? "answered" : "not_answered",
      {{"request", m_Request.m_Id},
       {"digest", m_Crashes.digest().str()},
       {"route", m_Route.m_Name},
       {"outcome", Outcome},
       {"organisation", m_Organisation},
       {"units", std::lround(m_Quota.units())},
       {"model", m_Request.m_Model},
       {"adapter", m_Request.m_Adapter},
       {"tried_before_ms", m_SinceFirstTry / 1ms},
       {"sends", m_Sends},
       {"replicas", m_Judged.m_Replicas},
       {"expected_ms", std::lround(m_Judged.m_ExpectedMs)},
       {"pending_ms", std::lround(m_Judged.m_PendingMs)},
       {"judged", m_Judged.m_Reason},
       {"regions", m_Standing.regions().text()},
       {"serves_in_ms",
        m_Judged.m_ServesIn ? Json(*m_Judged.m_ServesIn / 1ms) : Json()},
       {"told_ms", m_ToldAway / 1ms},
       {"target_ms", m_Route.m_Target / 1ms},
       {"gap_target_ms", m_Route.m_GapTarget / 1ms},
       {"first_ms", First / 1ms},
       {"gap_ms", m_LongestGap / 1ms},
       {"whole_ms", waited(Now) / 1ms}});
  m_Owner.m_Hooks.m_Ended({.m_Route = m_Route.m_Name,
                           .m_Organisation = m_Organisation,
                           .m_Outcome = Outcome,
                           .m_FirstByte = First,
                           .m_Whole = waited(Now)});
  m_Owner.remove(Self);
}

} // namespace havenstair
