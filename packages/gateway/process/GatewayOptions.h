/// \file
/// Settings of a gateway process, as the platform's adapter hands them over.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_GATEWAYOPTIONS_H
#define HAVENSTAIR_GATEWAY_PROCESS_GATEWAYOPTIONS_H

#include "decisions/common/DataCentreMap.h"
#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/QuotaLedger.h"
#include "decisions/process/WarmUp.h"
#include "wire/common/Endpoint.h"
#include <optional>
#include <string>
#include <vector>

namespace havenstair {

/// What the operators promise and expect; may change while the process runs.
struct ServingBounds {
  Duration m_GracePeriod = 8s;   ///< From the signal to stop to the kill.
  Duration m_DrainTimeout = 2s;  ///< New work to a leaving upstream ends.
  Duration m_OrderTurn = 3s;     ///< Between orders of two order givers.
  Duration m_CeilingWindow = 5s; ///< For loads from the store of weights.
  double m_CeilingOverage = 1;
  double m_RetryRatio = 0.2;
  Duration m_RetryWindow = 10s;
  double m_RetryAllowance = 10;
  Duration m_QuotaWindow = 8s; ///< In which use of a quota is summed.
  double m_QuotaOverage = 0;   ///< Part of a quota that use may exceed it by.
  double m_QuotaAllowance = 0; ///< Units that use may exceed it by, besides.
  Duration m_Revocation = 5s;  ///< A key that is taken away is refused by then.
  WarmUpTolerance m_WarmUp;
  /// No request goes to an evacuated data centre from then on; none where
  /// operators do not evacuate.
  std::optional<Duration> m_Evacuation;
  /// Refuse keys when the configuration may be older than that.
  bool m_FailClosed = false;

  bool operator==(const ServingBounds &) const = default;

  QuotaTolerance quotaTolerance() const {
    return {.m_Window = m_QuotaWindow,
            .m_Overage = m_QuotaOverage,
            .m_Allowance = m_QuotaAllowance};
  }
};

/// Where the process listens and what it is called.
struct GatewayOptions {
  BoxName m_Box;
  DataCentreName m_DataCentre;
  DataCentreMap m_Regions;
  double m_Capacity = 1; ///< Share of a core that the box gives.
  Endpoint m_Callers;
  Endpoint m_Readiness;
  Endpoint m_Metrics;
  Endpoint m_Peers;
  std::vector<Endpoint> m_Seeds; ///< Peers that may be up.
  std::string m_PeerSecret;
  Endpoint m_Store;
  Duration m_LeastLease = 1s; ///< Shortest lease that the store grants.
  bool m_FirstStart = false;  ///< The whole fleet starts with this box.
  ServingBounds m_Bounds;

  bool operator==(const GatewayOptions &) const = default;
};

} // namespace havenstair

#endif
