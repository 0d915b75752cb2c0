#include "decisions/request/RetryAfterRefusal.h"

#include <algorithm>

namespace havenstair {

namespace {

/// Part of the time that is left over which callers are spread.
constexpr double SpreadPart = 0.5;

/// And at least, as such times end close to each other.
constexpr Duration LeastSpread = 250ms;

} // namespace

std::optional<RetryAfterRefusal>
refuseForRetryAfter(const std::vector<const UpstreamInstance *> &Servers,
                    const UpstreamSignals &Words, double Draw, TimePoint Now) {
  std::optional<RetryAfterRefusal> First;
  for (const UpstreamInstance *Each : Servers) {
    const auto Until = Words.retryAt(Each->m_Id, Now);
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
