/// \file
/// When a caller may come back whom only servers could serve that rest.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_RESTREFUSAL_H
#define HAVENSTAIR_DECISIONS_REQUEST_RESTREFUSAL_H

#include "decisions/common/Time.h"
#include "decisions/process/ServerWords.h"
#include <optional>
#include <vector>

namespace havenstair {

/// What a refusal rests on.
struct RestRefusal {
  InstanceId m_Server; ///< The one that takes requests again first.
  Duration m_After = 0us;

  bool operator==(const RestRefusal &) const = default;
};

/// Of \p Servers, all that could run a request, the first that takes one again;
/// none when one of them does not rest. \p Draw, from 0 to 1, spreads callers
/// over half of the time that is left, so that a server which has rested is not
/// met by all of them at once.
std::optional<RestRefusal>
refuseForRest(const std::vector<const UpstreamInstance *> &Servers,
              const ServerWords &Words, double Draw, TimePoint Now);

} // namespace havenstair

#endif
