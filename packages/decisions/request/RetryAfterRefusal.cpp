#include "decisions/request/RetryAfterRefusal.h"

#include <algorithm>

namespace havenstair {

namespace {

/// Fraction of the remaining time over which retries are spread.
constexpr double SpreadFraction = 0.5;

/// Least time over which they are spread, as the retry times of upstreams end
/// close to each other.
constexpr Duration MinSpread = 250ms;

} // namespace

std::optional<RetryAfterRefusal>
refuseForRetryAfter(const std::vector<const UpstreamInstance *> &Upstreams,
                    const UpstreamSignals &Signals, double Draw,
                    TimePoint Now) {
  std::optional<RetryAfterRefusal> First;
  for (const UpstreamInstance *Upstream : Upstreams) {
    const auto Until = Signals.retryAt(Upstream->m_Id, Now);
    if (!Until)
      return std::nullopt;
    if (!First || *Until - Now < First->m_After)
      First = {.m_Upstream = Upstream->m_Id, .m_After = *Until - Now};
  }
  if (!First)
    return std::nullopt;
  const double Spread =
      std::max(SpreadFraction * inMillis(First->m_After), inMillis(MinSpread));
  First->m_After += fromMillis(Draw * Spread);
  return First;
}

} // namespace havenstair
