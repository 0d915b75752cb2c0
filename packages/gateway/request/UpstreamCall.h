/// \file
/// Calls to upstreams: on which connection, and whether one still answers.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_UPSTREAMCALL_H
#define HAVENSTAIR_GATEWAY_REQUEST_UPSTREAMCALL_H

#include "decisions/process/UpstreamInstance.h"
#include "decisions/version/ServingConfig.h"
#include "wire/common/HttpClient.h"

namespace havenstair {

/// The connection for a request to an upstream with \p FailureRate. \p Plain:
/// it is a server of a plain service.
ConnectionUse connectionFor(bool Idempotent, bool Plain, double FailureRate);

/// Asks \p At for its health; it has \p Timeout for each step. \p Service may
/// be null.
HttpCall healthCall(const UpstreamInstance &At, const ServiceSpec *Service,
                    Duration Timeout);

} // namespace havenstair

#endif
