#include "soak/SoakBrittleness.h"

#include <algorithm>

namespace havenstair {

namespace {

constexpr Duration ShrinksAfter = 3s;
constexpr int ShrinksTo = 4; ///< One part in so many.

} // namespace

int SoakBrittleness::room(int Slots, TimePoint Now) const {
  return Now < m_Since + ShrinksAfter ? Slots : std::max(1, Slots / ShrinksTo);
}

bool SoakBrittleness::turnedAway(TimePoint Now) {
  m_TurnedAway.push_back(Now);
  while (Now - m_TurnedAway.front() >= 1s)
    m_TurnedAway.pop_front();
  return static_cast<int>(m_TurnedAway.size()) > m_PerS;
}

} // namespace havenstair
