#include "gateway/process/PartOptions.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// Where the platform gives no secret, links rely on its network; the proof
/// then only keeps out what is no box of ours.
constexpr const char *OpenSecret = "havenstair gateway fleet";

} // namespace

Fleet::Options fleetOptions(const GatewayOptions &Of,
                            const PlatformBinding &Binding,
                            const BoxName &Process, RandomUnit Random) {
  Fleet::Options Opts;
  Opts.m_Box = Process;
  Opts.m_DataCentre = Of.m_DataCentre;
  Opts.m_Capacity = Of.m_Capacity;
  Opts.m_Peers = Of.m_Peers;
  Opts.m_Seeds = Of.m_Seeds;
  Opts.m_Secret = Of.m_PeerSecret.empty() ? OpenSecret : Of.m_PeerSecret;
  Opts.m_Prefix = Binding.m_OwnPrefix;
  Opts.m_Lease = std::max(Opts.m_Lease, Of.m_MinLease);
  Opts.m_Random = std::move(Random);
  return Opts;
}

OrderGiver::Options giverOptions(const GatewayOptions &Of,
                                 const PlatformBinding &Binding,
                                 const GatewayPolicy &Policy,
                                 const BoxName &Process) {
  OrderGiver::Options Opts;
  Opts.m_Claim.m_Prefix = Binding.m_OwnPrefix;
  Opts.m_Claim.m_Holder = Of.m_Box.str();
  Opts.m_Claim.m_Process = Process.str();
  Opts.m_Claim.m_Lease = std::max(Opts.m_Claim.m_Lease, Of.m_MinLease);
  Opts.m_Bounds = Of.m_Bounds;
  Opts.m_Planner = Policy.m_Planner;
  Opts.m_Adapters = Policy.m_Adapters;
  Opts.m_Rates = Policy.m_Rates;
  Opts.m_ReplicaStays = fromMillis(Policy.m_MinReplicaLifetimeMs);
  return Opts;
}

Forwarder::Options forwarderOptions(const GatewayPolicy &Policy) {
  Forwarder::Options Opts;
  Opts.m_Weights = Policy.m_Choice;
  Opts.m_Admission = Policy.m_Admission;
  Opts.m_Pace = Policy.m_Pace;
  return Opts;
}

} // namespace havenstair
