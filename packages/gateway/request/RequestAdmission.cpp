#include "gateway/request/RequestAdmission.h"

#include "decisions/request/RetryAfterRefusal.h"
#include "gateway/process/ServingState.h"
#include <algorithm>

namespace havenstair {

namespace {

/// Time after which a caller should retry if no listed upstream is eligible:
/// upstreams that have started are listed within a second.
constexpr Duration NoUpstreamRetryAfter = 1s;

constexpr const char *RetryAfterReason = "server_retry_after";

/// \returns the detail of a refusal for lack of permits.
const char *refusalReason(BoundKind Kind) {
  switch (Kind) {
  case BoundKind::Cold:
    return "cold";
  case BoundKind::Limit:
    return "server_limit";
  case BoundKind::Room:
    return "server_room";
  }
  return "unknown";
}

} // namespace

bool RequestAdmission::knowsModel() const {
  const std::string &Model = m_Subject.m_Request.m_Model;
  const ServiceSpec *Service =
      m_State.m_Config ? m_State.m_Config->service(m_Subject.m_Service)
                       : nullptr;
  if (Service != nullptr && Service->m_Engine &&
      Service->m_Engine->model(Model) != nullptr)
    return true;
  const auto &Upstreams = m_State.m_Upstreams.current();
  return std::any_of(Upstreams.begin(), Upstreams.end(), [&](const auto &Each) {
    return Each.second.m_Service == m_Subject.m_Service &&
           Each.second.resident(Model) != nullptr;
  });
}

void RequestAdmission::onChosen(std::size_t Candidates,
                                const std::optional<ChosenReplica> &Chosen) {
  m_Details = {.m_Replicas = Candidates,
               .m_ExpectedMs = Chosen ? Chosen->m_ExpectedMs : 0,
               .m_PendingMs = Chosen ? Chosen->m_PendingMs : 0};
}

std::optional<Failure> RequestAdmission::refusalUntilLater(
    const UpstreamEligibility &Eligible,
    const std::optional<RequestPermit::Deferral> &Deferral, TimePoint Now) {
  if (Deferral)
    return Failure{.m_Kind = ErrorKind::Overloaded,
                   .m_RetryAfter = Deferral->m_After,
                   .m_Detail = refusalReason(Deferral->m_Kind)};
  const auto ExcludeNone = [](const InstanceId &) { return false; };
  const auto Refusal =
      refuseForRetryAfter(Eligible.candidates(ExcludeNone, Now),
                          m_State.m_Signals, m_Hooks.m_Random(), Now);
  const auto ServesAt = Eligible.servesAt(Now);
  if (!Refusal || (ServesAt && *ServesAt < Now + Refusal->m_After))
    return std::nullopt;
  m_Details.m_Reason = RetryAfterReason;
  return Failure{.m_Kind = ErrorKind::Overloaded,
                 .m_RetryAfter = Refusal->m_After,
                 .m_Detail = RetryAfterReason};
}

std::optional<Duration>
RequestAdmission::promptDelay(const ChosenReplica &Chosen,
                              TimePoint Now) const {
  const Route &Matched = m_Subject.m_Route;
  if (Matched.m_Kind != RouteKind::Stream || !namesModel())
    return std::nullopt;
  return pacingDelay({.m_GapTarget = Matched.m_GapTarget,
                      .m_Target = Matched.m_Target,
                      .m_Waited = m_Subject.m_Times.waited(Now),
                      .m_PendingMs = Chosen.m_PendingMs},
                     m_Opts.m_Pacing);
}

AdmissionFacts RequestAdmission::factsOf(const Choice &Of,
                                         TimePoint Now) const {
  const RequestTimes &Times = m_Subject.m_Times;
  AdmissionFacts Facts{.m_Target = m_Subject.m_Route.m_Target,
                       .m_GapTarget = m_Subject.m_Route.m_GapTarget,
                       .m_Waited = Times.waited(Now),
                       .m_TimeLeft = Times.left(Now),
                       .m_NamesModel = namesModel(),
                       .m_Start = std::nullopt,
                       .m_ServesIn = std::nullopt};
  if (Of.m_Chosen)
    Facts.m_Start = {.m_FirstTokenMs = Of.m_Chosen->m_ExpectedMs,
                     .m_WorkMs = Of.m_Chosen->m_WorkMs};
  const auto ServesAt = Of.m_Eligible.servesAt(Now);
  if (Facts.m_NamesModel && ServesAt)
    Facts.m_ServesIn = std::max<Duration>(0us, *ServesAt - Now);
  return Facts;
}

std::optional<Failure>
RequestAdmission::refusalWithoutUpstream(const Choice &Of) const {
  if (Of.m_Chosen || Of.m_Eligible.any())
    return std::nullopt;
  if (Of.m_Software)
    return Failure{.m_Kind = ErrorKind::NoUpstreamOfVersion,
                   .m_RetryAfter = NoUpstreamRetryAfter,
                   .m_Detail = Of.m_Software->str()};
  return Failure{.m_Kind = ErrorKind::NoAllowedUpstream,
                 .m_RetryAfter = NoUpstreamRetryAfter,
                 .m_Detail = Of.m_Regions.text()};
}

RequestAdmission::Verdict RequestAdmission::decide(const Choice &Of,
                                                   TimePoint Now) {
  // Plain services queue requests themselves.
  if (Of.m_Chosen && !namesModel())
    return {};
  if (const auto Refusal = refusalWithoutUpstream(Of))
    return {.m_Step = AdmissionStep::Refuse, .m_Refusal = *Refusal};
  const RequestDescriptor &Request = m_Subject.m_Request;
  if (!Of.m_Chosen && namesModel() && !Of.m_Software && knowsModel())
    m_Hooks.m_Missing(
        {m_Subject.m_Service, Request.m_Model, Request.m_Adapter});
  const AdmissionFacts Facts = factsOf(Of, Now);
  const AdmissionDecision Decision =
      admit(Facts, m_Opts.m_Admission, m_Hooks.m_Random());
  m_Details.m_Reason = Decision.m_Reason;
  m_Details.m_ServesIn = Facts.m_ServesIn;
  // A waiting request might outlive the process.
  if (Decision.m_Step == AdmissionStep::Wait && m_State.m_Stopping)
    return {.m_Step = AdmissionStep::Refuse,
            .m_Refusal = {.m_Kind = ErrorKind::Stopping,
                          .m_RetryAfter = m_Opts.m_StoppingRetryAfter}};
  if (Decision.m_Step != AdmissionStep::Refuse)
    return {.m_Step = Decision.m_Step, .m_Delay = Decision.m_Delay};
  return {.m_Step = AdmissionStep::Refuse,
          .m_Refusal = {.m_Kind = Of.m_Chosen ? ErrorKind::Overloaded
                                  : Facts.m_NamesModel
                                      ? ErrorKind::NoResidentCopy
                                      : ErrorKind::NoUpstream,
                        .m_RetryAfter = Decision.m_Delay,
                        .m_Detail = std::string(Decision.m_Reason)}};
}

} // namespace havenstair
