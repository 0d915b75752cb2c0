#include "decisions/process/AnswerDurations.h"

#include <algorithm>
#include <vector>

namespace havenstair {

void AnswerDurations::observe(const std::string &Route, Duration Took) {
  if (m_Routes.size() >= MaxRoutes && !m_Routes.contains(Route))
    return;
  Recent &Last = m_Routes[Route];
  Last.m_Took.at(Last.m_Count % Remembered) = Took;
  ++Last.m_Count;
}

Duration AnswerDurations::expected(const std::string &Route) const {
  const auto Found = m_Routes.find(Route);
  if (Found == m_Routes.end())
    return 0us;
  const Recent &Last = Found->second;
  const std::size_t Count = std::min(Last.m_Count, Remembered);
  std::vector<Duration> Sorted(Last.m_Took.begin(),
                               Last.m_Took.begin() +
                                   static_cast<std::ptrdiff_t>(Count));
  const auto At =
      static_cast<std::ptrdiff_t>(static_cast<double>(Count - 1) * Covered);
  std::nth_element(Sorted.begin(), Sorted.begin() + At, Sorted.end());
  return Sorted[static_cast<std::size_t>(At)];
}

} // namespace havenstair
