/// \file
/// The priority that a request gets in an engine's queue.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_ENGINEPRIORITY_H
#define HAVENSTAIR_DECISIONS_REQUEST_ENGINEPRIORITY_H

#include "decisions/version/ServingConfig.h"

namespace havenstair {

/// \returns a priority from 0, the most urgent, to 9. It is ordered by the
/// organisation's priority, then by the route's, then by whether the route's
/// target is short. \p Caller is null for a request without an organisation,
/// which ranks with the least urgent organisations.
int enginePriority(const ServingConfig &Config, const Route &MatchedRoute,
                   const Organisation *Caller);

} // namespace havenstair

#endif
