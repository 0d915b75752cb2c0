#include "decisions/request/EnginePriority.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace havenstair {

namespace {

/// Routes with targets from this on leave time to serve others first.
constexpr Duration LongTarget = 3s;

/// Without organisations' priorities, routes get the levels 3 to 8: they lie
/// around 5, which engines assume for a request without a priority.
constexpr int FirstRouteLevel = 3;
constexpr int RoutePriorities = 3;
constexpr int Levels = 10;

/// The level, from 0, by the route alone: two levels for each priority.
int levelOf(const Route &MatchedRoute) {
  return 2 * std::min(MatchedRoute.m_Priority, RoutePriorities - 1) +
         (MatchedRoute.m_Target >= LongTarget ? 1 : 0);
}

} // namespace

int enginePriority(const ServingConfig &Config, const Route &MatchedRoute,
                   const Organisation *Caller) {
  const std::set<int> &Ranks = Config.m_OrganisationPriorities;
  if (Ranks.size() <= 1)
    return FirstRouteLevel + levelOf(MatchedRoute);
  // Each rank of organisations gets a band of levels, which the routes share.
  // Requests without an organisation are in the band of the last rank, where
  // only the route's priority differs.
  const int Bands = static_cast<int>(Ranks.size());
  const int Rank =
      Caller == nullptr
          ? Bands - 1
          : static_cast<int>(std::distance(
                Ranks.begin(), Ranks.lower_bound(Caller->m_Priority)));
  const int FirstOfBand = Rank * Levels / Bands;
  const int Width = std::max(1, (Rank + 1) * Levels / Bands - FirstOfBand);
  const int Offset = levelOf(MatchedRoute) * Width / (2 * RoutePriorities);
  return std::min(Levels - 1, FirstOfBand + Offset);
}

} // namespace havenstair
