/// \file
/// The limits of connections under a configuration.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_CONNECTIONLIMITS_H
#define HAVENSTAIR_GATEWAY_PROCESS_CONNECTIONLIMITS_H

#include "decisions/version/ServingConfig.h"
#include "wire/common/InboundConnection.h"

namespace havenstair {

/// \returns the limits of connections that keep to those of the operators'
/// configuration, \p Limits. A limit of zero counts as its default.
InboundConnection::Limits connectionLimits(const CallerLimits &Limits);

} // namespace havenstair

#endif
