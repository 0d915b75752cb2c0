/// \file
/// When a caller may come back whom only servers could serve that this box has
/// to keep away from.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_RETRYAFTERREFUSAL_H
#define HAVENSTAIR_DECISIONS_REQUEST_RETRYAFTERREFUSAL_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamSignals.h"
#include <optional>
#include <vector>

namespace havenstair {

/// What a refusal rests on.
struct RetryAfterRefusal {
  InstanceId m_Server; ///< The one that takes requests again first.
  Duration m_After = 0us;

  bool operator==(const RetryAfterRefusal &) const = default;
};

/// Of \p Servers, all that could run a request, the first that takes one again;
/// none when one of them takes requests now. \p Draw, from 0 to 1, spreads
/// callers over half of the time that is left, so that they do not all meet the
/// server at its end.
std::optional<RetryAfterRefusal>
refuseForRetryAfter(const std::vector<const UpstreamInstance *> &Servers,
                    const UpstreamSignals &Words, double Draw, TimePoint Now);

} // namespace havenstair

#endif
