#include "decisions/process/LoopLateness.h"

#include "decisions/common/DecayingAverage.h"
#include <algorithm>

namespace havenstair {

namespace {

/// Shorter delays are those of a busy machine.
constexpr Duration MinLateness = 30ms;

/// For how long a process that was late counts as behind.
constexpr Duration BehindFor = 2s;

/// Time over which the share is averaged.
constexpr Duration Memory = 400ms;

} // namespace

void LoopLateness::onTimer(TimePoint Now) {
  const Duration Passed = Now - m_LastTimer;
  const bool First = m_LastTimer == TimePoint();
  m_LastTimer = Now;
  if (First || Passed <= 0us)
    return;
  const Duration Late = Passed - Interval;
  if (Late >= MinLateness)
    m_BehindAt = Now;
  const double LateNow =
      std::clamp(inSeconds(Late) / inSeconds(Passed), 0.0, 1.0);
  m_Share = decayingAverage(m_Share, LateNow, Passed, Memory);
}

bool LoopLateness::behind(TimePoint Now) const {
  const bool LateNow =
      m_LastTimer != TimePoint() && Now - m_LastTimer >= Interval + MinLateness;
  return LateNow || (m_BehindAt != TimePoint() && Now - m_BehindAt < BehindFor);
}

} // namespace havenstair
