#include "decisions/request/ReplicaAdmission.h"

#include <algorithm>

namespace havenstair {

namespace {

double millis(Duration Time) {
  return static_cast<double>(Time.count()) / 1000;
}

Duration fromMillis(double Millis) {
  return Duration(static_cast<Duration::rep>(Millis * 1000));
}

constexpr double LeastAwayMs = 50;

} // namespace

std::optional<Duration> refuseFor(const AdmissionFacts &Facts,
                                  const AdmissionOptions &Opts) {
  const double Target = millis(Facts.m_Target);
  const double Waited = millis(Facts.m_Waited);
  const double Left = std::min(
      millis(Facts.m_TimeLeft),
      std::max(millis(Opts.m_LeastPatience), Opts.m_PatienceTargets * Target));
  const bool Hopeless = Facts.m_ExpectedMs > Opts.m_HopelessPart * Left;
  // Neither late refusals nor second ones help, unless the work would be for
  // nothing: the caller has no time, or no try, left to come back.
  if (Facts.m_TriedBefore || Waited > Opts.m_EarlyPart * Target) {
    if (!Hopeless)
      return std::nullopt;
    return fromMillis(LeastAwayMs);
  }
  const double Own = std::min(Facts.m_WorkMs, Opts.m_OwnPart * Target);
  const double Wait = Facts.m_ExpectedMs - Facts.m_WorkMs + Waited;
  const double Allowed = Opts.m_WaitPart * (Target - Own);
  if (Wait <= Allowed)
    return std::nullopt;
  return fromMillis(std::max(LeastAwayMs, Wait - 0.6 * Allowed));
}

} // namespace havenstair
