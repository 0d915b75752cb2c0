/// \file
/// Tells whether a process keeps up with its work, by how late a timer runs.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LOOPLATENESS_H
#define HAVENSTAIR_DECISIONS_PROCESS_LOOPLATENESS_H

#include "decisions/common/Time.h"

namespace havenstair {

/// A timer of a fixed interval runs late when the loop has more to do than fits
/// into the interval, or when the process is not run.
class LoopLateness {
public:
  /// How often onTimer() is due.
  static constexpr Duration Interval = 50ms;

  void onTimer(TimePoint Now);

  /// Whether the timer was clearly late a short while ago, or is now.
  bool behind(TimePoint Now) const;
  /// Part of the recent time by which the timer was late, from 0 to 1.
  double share() const { return m_Share; }

private:
  TimePoint m_LastTimer{};
  TimePoint m_BehindAt{};
  double m_Share = 0;
};

} // namespace havenstair

#endif
