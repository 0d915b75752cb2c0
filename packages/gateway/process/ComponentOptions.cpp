#include "gateway/process/ComponentOptions.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// Used when the platform provides no secret: links then rely on their network,
/// and authentication only rejects what is no box of this system.
constexpr const char *OpenSecret = "havenstair gateway fleet";

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

Forwarder::Options forwarderOptions(const GatewayPolicy &Policy) {
  Forwarder::Options Opts;
  Opts.m_Weights = Policy.m_Choice;
  Opts.m_Admission = Policy.m_Admission;
  Opts.m_Pacing = Policy.m_Pacing;
  return Opts;
}

} // namespace havenstair
