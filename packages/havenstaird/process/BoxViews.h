/// \file
/// What a box knows, as JSON for operators.
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

/// All upstreams with their owners, load and residents.
Json upstreamsView(const UpstreamDirectory &Directory,
                   const Assignment &Current);

/// All boxes with a lease, as \p Self knows them.
Json boxesView(const BoxName &Self, const Membership &Members,
               TableVersion Table,
               const std::function<bool(const BoxName &)> &Reachable);

/// All moves, or the one named; null when there is none.
Json movesView(const MoveLog &Moves, const std::string &Id);

/// One request; null when it is not known.
Json requestView(const RequestLog &Requests, const std::string &Id);

} // namespace havenstair

#endif
