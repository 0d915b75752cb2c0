#include "decisions/request/ReplicaAdmission.h"

#include <algorithm>

namespace havenstair {

namespace {

constexpr Duration LeastAway = 50ms;

} // namespace

Duration comeBackAfter(Duration TimeLeft, Duration Least,
                       const AdmissionOptions &Opts) {
  return std::max(Least, fromMillis(Opts.m_AwayPart * inMillis(TimeLeft)));
}

std::optional<Duration> refuseFor(const AdmissionFacts &Facts,
                                  const AdmissionOptions &Opts) {
  const double Target = inMillis(Facts.m_Target);
  const double Waited = inMillis(Facts.m_Waited);
  const double Left = std::min(inMillis(Facts.m_TimeLeft),
                               std::max(inMillis(Opts.m_LeastPatience),
                                        Opts.m_PatienceTargets * Target));
  const bool Hopeless = Facts.m_ExpectedMs > Opts.m_HopelessPart * Left;
  // Neither late refusals nor second ones help, unless the work would be for
  // nothing: the caller has no time, or no try, left to come back.
  if (Facts.m_TriedBefore || Waited > Opts.m_EarlyPart * Target) {
    if (!Hopeless)
      return std::nullopt;
    return LeastAway;
  }
  const double Own = std::min(Facts.m_WorkMs, Opts.m_OwnPart * Target);
  const double Wait = Facts.m_ExpectedMs - Facts.m_WorkMs + Waited;
  const double Allowed = Opts.m_WaitPart * (Target - Own);
  if (Wait <= Allowed)
    return std::nullopt;
  return comeBackAfter(Facts.m_TimeLeft, LeastAway, Opts);
}

} // namespace havenstair
