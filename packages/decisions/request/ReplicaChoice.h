/// \file
/// The choice of one upstream among those that can run a request.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_REPLICACHOICE_H
#define HAVENSTAIR_DECISIONS_REQUEST_REPLICACHOICE_H

#include "decisions/common/DataCentreMap.h"
#include "decisions/process/FailureTracker.h"
#include "decisions/process/LatencyModel.h"
#include "decisions/process/LoadTracker.h"
#include "decisions/process/PrefixIndex.h"
#include "decisions/process/SendBounds.h"
#include "decisions/request/RequestDescriptor.h"
#include <optional>
#include <vector>

namespace havenstair {

/// The weights of the cost of an upstream. A cost is expected time in
/// milliseconds, with surcharges.
struct ReplicaWeights {
  /// Surcharge of an upstream in another data centre of the region: connecting
  /// and the first event take two round trips of 1 to 2 ms each, and traffic
  /// costs a little.
  double m_OtherZoneMs = 6;
  /// Surcharge of an upstream in another region: two round trips of 16 to 40 ms
  /// each in operators' networks (8 to 20 ms one way), at the shorter end.
  double m_OtherRegionMs = 32;
  /// Cost of a failed send; multiplied by the upstream's failure rate.
  double m_FailureMs = 3000;
  /// Surcharge for each request beyond the slots of a plain service.
  double m_OverloadMs = 60;
  /// Fraction of the shared prompt that the engine preferred by all boxes is
  /// assumed to have in its prefix cache, when this box knows of nothing more.
  double m_PreferredCachedFraction = 0.7;
  /// Service time of a request to a plain service.
  double m_PlainWorkMs = 20;
  /// Engines process prompts between the steps of running streams, which delays
  /// the streams. This is the cost for each running stream and millisecond of
  /// prompt work beyond m_InterferenceThresholdMs, which fits between two
  /// events.
  double m_InterferenceFactor = 0.06;
  double m_InterferenceThresholdMs = 200;
  /// Surcharge of an upstream with a rate limit: a send needs a permit from
  /// another box.
  double m_PermitMs = 5;
  /// Surcharge for each running request, as it slows down all steps.
  double m_RunningMs = 2;
};

/// A chosen upstream, and the figures that the choice rests on.
struct ChosenReplica {
  const UpstreamInstance *m_Instance = nullptr;
  double m_CostMs = 0;     ///< Cost that was compared.
  double m_ExpectedMs = 0; ///< Expected time to the first token.
  double m_PendingMs = 0;  ///< Work ahead of the request.
  double m_WorkMs = 0;     ///< The request's own work.
  bool m_Limited = false;  ///< The upstream has named a rate limit.
  /// How much more the cheapest upstream that needs no permit would cost;
  /// empty without such an upstream.
  std::optional<double> m_PermitSavingMs;
};

/// The state of the upstreams that the choice reads.
struct ReplicaStatistics {
  const LoadTracker &m_Loads;
  const PrefixIndex &m_Prefixes;
  const LatencyModel &m_Latency;
  const FailureTracker &m_Failures;
  const DataCentreMap &m_DataCentres;
  /// Null where no upstream needs a permit.
  const SendBounds *m_Bounds = nullptr;
};

/// Chooses the candidate with the least cost. \p Tie, from 0 to 1, decides
/// between candidates of equal cost. \returns nothing without candidates.
std::optional<ChosenReplica>
chooseReplica(const std::vector<const UpstreamInstance *> &Candidates,
              const RequestDescriptor &Request, const std::string &OwnZone,
              const ReplicaStatistics &Stats, const ReplicaWeights &Weights,
              double Tie, TimePoint Now);

} // namespace havenstair

#endif
