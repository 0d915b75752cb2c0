#include "decisions/request/RestRefusal.h"

#include <algorithm>

namespace havenstair {

namespace {

/// Part of the time that is left over which callers are spread.
constexpr double SpreadPart = 0.5;

/// And at least, as rests end at about the same time.
constexpr Duration LeastSpread = 250ms;

} // namespace

std::optional<RestRefusal>
refuseForRest(const std::vector<const UpstreamInstance *> &Servers,
              const ServerWords &Words, double Draw, TimePoint Now) {
  std::optional<RestRefusal> First;
  for (const UpstreamInstance *Each : Servers) {
    const auto Until = Words.restsUntil(Each->m_Id, Now);
    if (!Until)
      return std::nullopt;
    if (!First || *Until - Now < First->m_After)
      First = {.m_Server = Each->m_Id, .m_After = *Until - Now};
  }
  if (!First)
    return std::nullopt;
  const double Spread =
      std::max(SpreadPart * inMillis(First->m_After), inMillis(LeastSpread));
  First->m_After += fromMillis(Draw * Spread);
  return First;
}

} // namespace havenstair
