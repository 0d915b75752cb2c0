/// \file
/// Settings of a gateway process, as the platform's adapter provides them.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_GATEWAYOPTIONS_H
#define HAVENSTAIR_GATEWAY_PROCESS_GATEWAYOPTIONS_H

#include "decisions/common/DataCentreMap.h"
#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/QuotaLedger.h"
#include "decisions/process/WarmUp.h"
#include "wire/common/Endpoint.h"
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace havenstair {

/// Limits and guarantees that operators set. They may change while the process
/// runs.
struct ServingBounds {
  /// Time from the signal to stop until the process is killed.
  Duration m_GracePeriod = 8s;
  /// Time after which no new work goes to a leaving upstream.
  Duration m_DrainTimeout = 2s;
  /// Minimum time between the orders of two successive order leaders.
  Duration m_LeaderHandover = 3s;
  /// Window in which loads from the store of weights are limited.
  Duration m_CeilingWindow = 5s;
  /// Factor by which the limit of loads is multiplied.
  double m_CeilingOverage = 1;
  /// Retries per request of a service that the retry budget allows.
  double m_RetryRatio = 0.2;
  /// Window over which the retry budget counts requests and retries.
  Duration m_RetryWindow = 10s;
  /// Retries per window that the budget allows all boxes together, in addition
  /// to the ratio.
  double m_RetryAllowance = 10;
  /// Window over which the use of a quota is summed.
  Duration m_QuotaWindow = 8s;
  /// Fraction of a quota by which use may exceed it.
  double m_QuotaOverage = 0;
  /// Units by which use may exceed a quota, in addition to the fraction.
  double m_QuotaAllowance = 0;
  /// Time within which a key that operators revoke is refused.
  Duration m_RevocationDelay = 5s;
  /// By how much the rate of a cold upstream may be exceeded.
  WarmUpTolerance m_WarmUp;
  /// Time after the start of an evacuation from which on no request goes to the
  /// data centre; empty if operators do not evacuate.
  std::optional<Duration> m_EvacuationDelay;
  /// Refuse all keys while the configuration may be older than
  /// m_RevocationDelay.
  bool m_FailClosed = false;

  bool operator==(const ServingBounds &) const = default;

  /// \returns the bounds that concern quotas.
  QuotaTolerance quotaTolerance() const {
    return {.m_Window = m_QuotaWindow,
            .m_Overage = m_QuotaOverage,
            .m_Allowance = m_QuotaAllowance};
  }
};

/// The settings cannot be read now, or are not whole; they may be later.
class SettingsUnavailable : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Identity, addresses and limits of a gateway process.
struct GatewayOptions {
  BoxName m_Box;
  DataCentreName m_DataCentre;
  DataCentreMap m_Regions;
  double m_Capacity = 1; ///< Share of a core that the box has.
  /// Memory in bytes beyond which the platform ends the process; 0 if that is
  /// not known.
  std::size_t m_Memory = 0;
  Endpoint m_Callers;   ///< Listens for callers' requests.
  Endpoint m_Readiness; ///< Listens for readiness probes.
  Endpoint m_Metrics;   ///< Listens for requests for the metrics page.
  Endpoint m_Peers;     ///< Listens for links of other boxes.
  /// Listens for requests that other boxes pass on; empty to neither pass
  /// requests on nor take them.
  std::optional<Endpoint> m_Passing;
  std::vector<Endpoint> m_Seeds; ///< Possible peers; some may be down.
  std::string m_PeerSecret;
  Endpoint m_Store;          ///< Address of the coordination store.
  Duration m_MinLease = 1s;  ///< Shortest lease that the store grants.
  bool m_FirstStart = false; ///< The whole fleet starts with this box.
  ServingBounds m_Bounds;

  bool operator==(const GatewayOptions &) const = default;
};

} // namespace havenstair

#endif
