#include "decisions/request/ReplicaAdmission.h"

#include <algorithm>

namespace havenstair {

namespace {

/// Least retry time that a caller gets.
constexpr Duration MinRetryAfter = 50ms;

/// Upstreams of a plain service reappear with the next update of the list.
constexpr Duration ListUpdateInterval = 250ms;

/// Time after which to check again for a load that should have ended.
constexpr Duration RecheckInterval = 50ms;

/// Retries are spread over this fraction of the retry time.
constexpr double RetrySpread = 0.5;

AdmissionDecision send() {
  return {.m_Step = AdmissionStep::Send, .m_Delay = 0us, .m_Reason = "sent"};
}

AdmissionDecision wait(Duration Delay, std::string_view Reason) {
  return {.m_Step = AdmissionStep::Wait, .m_Delay = Delay, .m_Reason = Reason};
}

AdmissionDecision refuse(Duration RetryAfter, std::string_view Reason) {
  return {.m_Step = AdmissionStep::Refuse,
          .m_Delay = std::max(RetryAfter, MinRetryAfter),
          .m_Reason = Reason};
}

Duration fraction(double Fraction, Duration Whole) {
  return fromMillis(Fraction * inMillis(Whole));
}

/// Time for which the caller is still expected to wait for a first token.
Duration patience(const AdmissionFacts &Facts, const AdmissionOptions &Opts) {
  const Duration Longest =
      std::max({Opts.m_MinPatience,
                fraction(Opts.m_PatienceTargetFactor, Facts.m_Target),
                fraction(Opts.m_PatienceGapFactor, Facts.m_GapTarget)});
  return std::min(Facts.m_TimeLeft, Longest - Facts.m_Waited);
}

Duration maxRetryAfter(const AdmissionFacts &Facts,
                       const AdmissionOptions &Opts) {
  return fraction(Opts.m_MaxRetryAfterFraction, Facts.m_TimeLeft);
}

/// Retry time at which a replica that is being loaded serves, as far as the
/// caller can wait for it.
Duration retryAfterLoad(Duration ServesIn, const AdmissionFacts &Facts,
                        const AdmissionOptions &Opts, double Jitter) {
  return std::min(fraction(1 + RetrySpread * Jitter, ServesIn),
                  maxRetryAfter(Facts, Opts));
}

AdmissionDecision withReplica(const AdmissionFacts &Facts,
                              const AdmissionOptions &Opts, double Jitter) {
  const ExpectedStart &Start = *Facts.m_Start;
  const Duration RetryAfter =
      Facts.m_ServesIn ? retryAfterLoad(*Facts.m_ServesIn, Facts, Opts, Jitter)
                       : maxRetryAfter(Facts, Opts);
  if (Opts.m_EstimateErrorFactor * Start.m_FirstTokenMs >
      inMillis(patience(Facts, Opts)))
    return refuse(RetryAfter, "too_late");
  const double Target = inMillis(Facts.m_Target);
  const double Own =
      std::min(Start.m_WorkMs, Opts.m_MaxOwnWorkFraction * Target);
  const double Others = Start.m_FirstTokenMs - Start.m_WorkMs;
  if (Others <= Opts.m_MaxWaitFraction * (Target - Own))
    return send();
  return refuse(RetryAfter, "overloaded");
}

AdmissionDecision withoutReplica(const AdmissionFacts &Facts,
                                 const AdmissionOptions &Opts, double Jitter) {
  if (!Facts.m_NamesModel)
    return refuse(ListUpdateInterval, "no_upstream");
  const Duration Left = patience(Facts, Opts);
  if (Facts.m_ServesIn) {
    if (*Facts.m_ServesIn + RecheckInterval < Left)
      return wait(std::max(*Facts.m_ServesIn, RecheckInterval), "loads");
    return refuse(retryAfterLoad(*Facts.m_ServesIn, Facts, Opts, Jitter),
                  "loads_too_late");
  }
  const Duration Visible = fromMillis(Opts.m_LoadVisibleWithinMs);
  if (Facts.m_Waited < Visible && Visible - Facts.m_Waited < Left)
    return wait(Visible - Facts.m_Waited, "asked_for");
  return refuse(maxRetryAfter(Facts, Opts), "not_loaded");
}

} // namespace

AdmissionDecision admit(const AdmissionFacts &Facts,
                        const AdmissionOptions &Opts, double Jitter) {
  return Facts.m_Start ? withReplica(Facts, Opts, Jitter)
                       : withoutReplica(Facts, Opts, Jitter);
}

} // namespace havenstair
