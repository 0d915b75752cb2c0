/// \file
/// Connections and health probes to upstreams.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_UPSTREAMCALL_H
#define HAVENSTAIR_GATEWAY_REQUEST_UPSTREAMCALL_H

#include "decisions/process/UpstreamInstance.h"
#include "decisions/version/ServingConfig.h"
#include "wire/common/HttpClient.h"

namespace havenstair {

/// \returns which kind of connection a request to an upstream uses.
/// \p Idempotent says that the request may run twice, \p Plain that the
/// upstream belongs to a plain service. \p FailureRate is the upstream's.
ConnectionUse connectionFor(bool Idempotent, bool Plain, double FailureRate);

/// \returns a call to the health path of \p At. \p Timeout applies to the
/// connect and to each wait for bytes. \p Service may be null, which means the
/// path "/".
HttpCall healthCall(const UpstreamInstance &At, const ServiceSpec *Service,
                    Duration Timeout);

} // namespace havenstair

#endif
