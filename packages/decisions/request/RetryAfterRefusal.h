/// \file
/// The refusal of a request for which all upstreams have asked this box to send
/// nothing for some time.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_RETRYAFTERREFUSAL_H
#define HAVENSTAIR_DECISIONS_REQUEST_RETRYAFTERREFUSAL_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamSignals.h"
#include <optional>
#include <vector>

namespace havenstair {

/// A refusal and its reason.
struct RetryAfterRefusal {
  /// The upstream that accepts requests again first.
  InstanceId m_Upstream;
  Duration m_After = 0us; ///< Time after which the caller may retry.

  bool operator==(const RetryAfterRefusal &) const = default;
};

/// Finds which of \p Upstreams, all that could run a request, accepts requests
/// again first. \p Draw, from 0 to 1, spreads the retries of callers over half
/// of the remaining time, so that they do not all reach the upstream at once.
/// \returns nothing when one of \p Upstreams accepts requests now, or there is
/// none.
std::optional<RetryAfterRefusal>
refuseForRetryAfter(const std::vector<const UpstreamInstance *> &Upstreams,
                    const UpstreamSignals &Signals, double Draw, TimePoint Now);

} // namespace havenstair

#endif
