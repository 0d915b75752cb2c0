#include "decisions/process/PlanSchedule.h"

#include <algorithm>

namespace havenstair {

namespace {

constexpr Duration FullPlanInterval = 200ms;

/// After a plan, the next waits for this many times the plan's duration: plans
/// of a large fleet would leave no time for anything else.
constexpr int PlanPauseFactor = 5;

/// Least time between two plans of one scope. A plan whose moves are refused
/// makes the requests that wait ask for it again at once.
constexpr Duration MinPlanPause = 5ms;

} // namespace

TimePoint PlanSchedule::request(TimePoint Now) {
  m_NextFull = std::max(Now, m_EarliestFull);
  m_AwaitedRequested = true;
  return std::max(Now, std::min(m_EarliestFull, m_EarliestAwaited));
}

PlanScope PlanSchedule::due(TimePoint Now) const {
  if (Now >= m_NextFull)
    return PlanScope::All;
  return m_AwaitedRequested && Now >= m_EarliestAwaited
             ? PlanScope::AwaitedAdapters
             : PlanScope::None;
}

void PlanSchedule::onPlanned(PlanScope Scope, TimePoint Began,
                             TimePoint Ended) {
  if (Scope == PlanScope::None)
    return;
  const TimePoint Earliest =
      Began + std::max(MinPlanPause, PlanPauseFactor * (Ended - Began));
  m_AwaitedRequested = false;
  if (Scope == PlanScope::AwaitedAdapters) {
    m_EarliestAwaited = Earliest;
    return;
  }
  m_EarliestFull = Earliest;
  m_NextFull = std::max(Earliest, Began + FullPlanInterval);
}

} // namespace havenstair
