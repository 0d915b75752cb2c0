/// \file
/// Derives the options of a gateway's components from its settings and policy.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_COMPONENTOPTIONS_H
#define HAVENSTAIR_GATEWAY_PROCESS_COMPONENTOPTIONS_H

#include "gateway/process/Fleet.h"
#include "gateway/process/GatewayOptions.h"
#include "gateway/process/GatewayPolicy.h"
#include "gateway/process/OrderLeader.h"
#include "gateway/process/PlatformBinding.h"
#include "gateway/request/Forwarder.h"

namespace havenstair {

/// \returns the secret that all boxes share.
std::string peerSecret(const GatewayOptions &Settings);
/// \p Process is the name of this process of the box.
Fleet::Options fleetOptions(const GatewayOptions &Settings,
                            const PlatformBinding &Binding,
                            const BoxName &Process, RandomUnit Random);
OrderLeader::Options leaderOptions(const GatewayOptions &Settings,
                                   const PlatformBinding &Binding,
                                   const GatewayPolicy &Policy,
                                   const BoxName &Process);
Forwarder::Options forwarderOptions(const GatewayPolicy &Policy,
                                    const MemoryBudget &Memory);

/// \returns the budget of the answers to the calls that a process makes for
/// itself to upstreams, and to the store.
MemoryBudget ownCallsBudget();
MemoryBudget storeCallsBudget();

/// \returns the budget of a process of which the platform allows \p Memory
/// bytes; one without a limit if that is zero.
MemoryBudget memoryBudget(std::size_t Memory);

} // namespace havenstair

#endif
