/// \file
/// When the leader plans what engines hold.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_PLANSCHEDULE_H
#define HAVENSTAIR_DECISIONS_PROCESS_PLANSCHEDULE_H

#include "decisions/common/Time.h"

namespace havenstair {

/// What a plan covers.
enum class PlanScope {
  None,
  AwaitedAdapters, ///< Adapters that requests wait for.
  All              ///< All models and adapters.
};

/// Schedules plans: a full one at intervals and when requests begin to wait,
/// and between full ones, as these may take long in a large fleet, a plan of
/// the awaited adapters alone. After a plan, none of the same scope is made for
/// several times the plan's duration, which leaves time for other work.
class PlanSchedule {
public:
  /// Asks for a plan of each scope as early as possible. \returns the first
  /// time from \p Now on at which one may be made.
  TimePoint request(TimePoint Now);
  /// The scope of the plan that is due at \p Now.
  PlanScope due(TimePoint Now) const;
  /// Records that a plan of \p Scope was made from \p Began to \p Ended.
  void onPlanned(PlanScope Scope, TimePoint Began, TimePoint Ended);

private:
  TimePoint m_NextFull{};
  TimePoint m_EarliestFull{}; ///< No full plan before, whatever waits.
  TimePoint m_EarliestAwaited{};
  bool m_AwaitedRequested = false;
};

} // namespace havenstair

#endif
