#include "gateway/process/ComponentOptions.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// Used when the platform provides no secret: links then rely on their network,
/// and authentication only rejects what is no box of this system.
constexpr const char *OpenSecret = "havenstair gateway fleet";

/// Memory in bytes that a process needs without any request.
constexpr std::size_t OwnMemory = 64 << 20;

/// Parts of it that answers of upstreams to this process's own calls may hold,
/// and answers of the store, which are longer.
constexpr std::size_t OwnCallsMemory = 12 << 20;
constexpr std::size_t StoreCallsMemory = 24 << 20;

/// Part of the rest that requests and answers may hold. The system's buffers of
/// connections and gaps between allocations take some more.
constexpr double BudgetPart = 0.7;

} // namespace

std::string peerSecret(const GatewayOptions &Settings) {
  return Settings.m_PeerSecret.empty() ? OpenSecret : Settings.m_PeerSecret;
}

Fleet::Options fleetOptions(const GatewayOptions &Settings,
                            const PlatformBinding &Binding,
                            const BoxName &Process, RandomUnit Random) {
  Fleet::Options Opts;
  Opts.m_Box = Process;
  Opts.m_DataCentre = Settings.m_DataCentre;
  Opts.m_Capacity = Settings.m_Capacity;
  Opts.m_Peers = Settings.m_Peers;
  Opts.m_Seeds = Settings.m_Seeds;
  Opts.m_Secret = peerSecret(Settings);
  Opts.m_Prefix = Binding.m_OwnPrefix;
  Opts.m_Lease = std::max(Opts.m_Lease, Settings.m_MinLease);
  Opts.m_Random = std::move(Random);
  return Opts;
}

OrderLeader::Options leaderOptions(const GatewayOptions &Settings,
                                   const PlatformBinding &Binding,
                                   const GatewayPolicy &Policy,
                                   const BoxName &Process) {
  OrderLeader::Options Opts;
  Opts.m_Election.m_Prefix = Binding.m_OwnPrefix;
  Opts.m_Election.m_Machine = Settings.m_Box.str();
  Opts.m_Election.m_Process = Process.str();
  Opts.m_Election.m_Lease =
      std::max(Opts.m_Election.m_Lease, Settings.m_MinLease);
  Opts.m_Bounds = Settings.m_Bounds;
  Opts.m_Planning.m_Planner = Policy.m_Planner;
  Opts.m_Planning.m_Adapters = Policy.m_Adapters;
  Opts.m_Planning.m_Rates = Policy.m_Rates;
  Opts.m_Planning.m_MinReplicaStay = fromMillis(Policy.m_MinReplicaLifetimeMs);
  return Opts;
}

Forwarder::Options forwarderOptions(const GatewayPolicy &Policy,
                                    const MemoryBudget &Memory) {
  Forwarder::Options Opts;
  Opts.m_Weights = Policy.m_Choice;
  Opts.m_Admission = Policy.m_Admission;
  Opts.m_Pacing = Policy.m_Pacing;
  Opts.m_Memory = Memory;
  return Opts;
}

MemoryBudget ownCallsBudget() {
  return MemoryBudget({.m_Limit = OwnCallsMemory});
}

MemoryBudget storeCallsBudget() {
  return MemoryBudget({.m_Limit = StoreCallsMemory});
}

MemoryBudget memoryBudget(std::size_t Memory) {
  if (Memory == 0)
    return MemoryBudget();
  const std::size_t Rest = Memory - std::min(OwnMemory, Memory);
  return MemoryBudget({.m_Limit = static_cast<std::size_t>(
                           static_cast<double>(Rest) * BudgetPart)});
}

} // namespace havenstair
