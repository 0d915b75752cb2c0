/// \file
/// Views of the state of a box, as JSON for operators.
#ifndef HAVENSTAIR_HAVENSTAIRD_PROCESS_BOXVIEWS_H
#define HAVENSTAIR_HAVENSTAIRD_PROCESS_BOXVIEWS_H

#include "decisions/process/MoveLog.h"
#include "decisions/process/RequestLog.h"
#include "decisions/process/UpstreamDirectory.h"
#include "havenstaird/process/Membership.h"
#include "wire/common/Json.h"
#include <functional>
#include <string>

namespace havenstair {

/// Returns all upstreams with their owners, load and resident artifacts.
Json upstreamsView(const UpstreamDirectory &Directory,
                   const Assignment &Current);

/// Returns all boxes with a lease that \p Self knows.
Json boxesView(const BoxName &Self, const Membership &Members,
               TableVersion Table,
               const std::function<bool(const BoxName &)> &Reachable);

/// Returns all moves if \p Id is empty, otherwise that move; null when it does
/// not exist.
Json movesView(const MoveLog &Moves, const std::string &Id);

/// Returns one request; null when it is not known.
Json requestView(const RequestLog &Requests, const std::string &Id);

} // namespace havenstair

#endif
