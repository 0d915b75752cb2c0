#include "decisions/request/ReplicaAdmission.h"

#include <algorithm>

namespace havenstair {

namespace {

/// The soonest that a caller is told to come back.
constexpr Duration LeastAway = 50ms;

/// Upstreams of a plain service come back with the next news of their list.
constexpr Duration NextNews = 250ms;

/// A load that is due is looked for again after this.
constexpr Duration LookAgain = 50ms;

/// Those who come back spread over half of the time that they are told.
constexpr double AwaySpread = 0.5;

AdmissionDecision send() {
  return {.m_Step = AdmissionStep::Send, .m_Delay = 0us, .m_Reason = "sent"};
}

AdmissionDecision wait(Duration For, std::string_view Reason) {
  return {.m_Step = AdmissionStep::Wait, .m_Delay = For, .m_Reason = Reason};
}

AdmissionDecision refuse(Duration Away, std::string_view Reason) {
  return {.m_Step = AdmissionStep::Refuse,
          .m_Delay = std::max(Away, LeastAway),
          .m_Reason = Reason};
}

Duration part(double Of, Duration Whole) {
  return fromMillis(Of * inMillis(Whole));
}

/// Time in which the caller still takes a first token.
Duration patience(const AdmissionFacts &Facts, const AdmissionOptions &Opts) {
  const Duration Silence = std::max(
      {Opts.m_MinPatience, part(Opts.m_PatienceTargetFactor, Facts.m_Target),
       part(Opts.m_PatienceGapFactor, Facts.m_GapTarget)});
  return std::min(Facts.m_TimeLeft, Silence - Facts.m_Waited);
}

Duration longestAway(const AdmissionFacts &Facts,
                     const AdmissionOptions &Opts) {
  return part(Opts.m_MaxRetryAfterFraction, Facts.m_TimeLeft);
}

/// When a replica that is under way serves, if the caller can wait so long.
Duration awayUntil(Duration ServesIn, const AdmissionFacts &Facts,
                   const AdmissionOptions &Opts, double Jitter) {
  return std::min(part(1 + AwaySpread * Jitter, ServesIn),
                  longestAway(Facts, Opts));
}

AdmissionDecision withReplica(const AdmissionFacts &Facts,
                              const AdmissionOptions &Opts, double Jitter) {
  const ExpectedStart &Start = *Facts.m_Start;
  const Duration Away = Facts.m_ServesIn
                            ? awayUntil(*Facts.m_ServesIn, Facts, Opts, Jitter)
                            : longestAway(Facts, Opts);
  if (Opts.m_EstimateErrorFactor * Start.m_FirstTokenMs >
      inMillis(patience(Facts, Opts)))
    return refuse(Away, "too_late");
  const double Target = inMillis(Facts.m_Target);
  const double Own =
      std::min(Start.m_WorkMs, Opts.m_MaxOwnWorkFraction * Target);
  const double Others = Start.m_FirstTokenMs - Start.m_WorkMs;
  if (Others <= Opts.m_MaxWaitFraction * (Target - Own))
    return send();
  return refuse(Away, "overloaded");
}

AdmissionDecision withoutReplica(const AdmissionFacts &Facts,
                                 const AdmissionOptions &Opts, double Jitter) {
  if (!Facts.m_NamesModel)
    return refuse(NextNews, "no_upstream");
  const Duration Left = patience(Facts, Opts);
  if (Facts.m_ServesIn) {
    if (*Facts.m_ServesIn + LookAgain < Left)
      return wait(std::max(*Facts.m_ServesIn, LookAgain), "loads");
    return refuse(awayUntil(*Facts.m_ServesIn, Facts, Opts, Jitter),
                  "loads_too_late");
  }
  const Duration Known = fromMillis(Opts.m_LoadVisibleWithinMs);
  if (Facts.m_Waited < Known && Known - Facts.m_Waited < Left)
    return wait(Known - Facts.m_Waited, "asked_for");
  return refuse(longestAway(Facts, Opts), "not_loaded");
}

} // namespace

AdmissionDecision admit(const AdmissionFacts &Facts,
                        const AdmissionOptions &Opts, double Jitter) {
  return Facts.m_Start ? withReplica(Facts, Opts, Jitter)
                       : withoutReplica(Facts, Opts, Jitter);
}

} // namespace havenstair
