/// \file
/// A server that bears few refusals, as it says of itself.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKBRITTLENESS_H
#define HAVENSTAIR_TESTS_SOAK_SOAKBRITTLENESS_H

#include "decisions/common/Time.h"
#include <deque>

namespace havenstair {

class SoakBrittleness {
public:
  /// Bears \p PerS refusals for want of room in a second.
  SoakBrittleness(int PerS, TimePoint Since) : m_PerS(PerS), m_Since(Since) {}

  int perSecond() const { return m_PerS; }
  /// What it takes at once, of \p Slots, without a word about it.
  int room(int Slots, TimePoint Now) const;
  /// One more is turned away. \returns whether that is more than it bears.
  bool turnedAway(TimePoint Now);
  /// It has fallen and begins anew; it goes on saying that it is brittle.
  void forget() { m_TurnedAway.clear(); }

private:
  int m_PerS;
  TimePoint m_Since;
  std::deque<TimePoint> m_TurnedAway; ///< Within the last second.
};

} // namespace havenstair

#endif
