#include "decisions/process/Backoff.h"

#include <algorithm>

namespace havenstair {

namespace {

/// After this many doublings every cap in use has been reached.
constexpr int MaxDoublings = 20;
/// Fraction of a pause that jitter cannot take away.
constexpr double MinWaitFraction = 0.1;

} // namespace

Backoff::Backoff(Options Opts) : m_Opts(std::move(Opts)) {}

Duration Backoff::next() {
  const int Doublings = std::min(m_Failures, MaxDoublings);
  ++m_Failures;
  const Duration Full =
      std::min(m_Opts.m_Cap, m_Opts.m_First * (Duration::rep{1} << Doublings));
  const double Part =
      MinWaitFraction + (1 - MinWaitFraction) * m_Opts.m_Random();
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Full.count()) * Part));
}

RetryBudget::RetryBudget(Options Opts)
    : m_Opts(std::move(Opts)), m_Saved(m_Opts.m_Most) {}

void RetryBudget::earn() {
  m_Saved = std::min(m_Opts.m_Most, m_Saved + m_Opts.m_PerRequest);
}

bool RetryBudget::trySpend() {
  if (m_Saved < 1)
    return false;
  m_Saved -= 1;
  return true;
}

} // namespace havenstair
