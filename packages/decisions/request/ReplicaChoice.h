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

/// What the choice weighs, all in milliseconds of expected time.
struct ReplicaWeights {
  /// Of a server in another data centre of the region: connecting and the
  /// first event are two round trips of 1 to 2 ms, and bytes cost a little.
  double m_OtherZoneMs = 6;
  /// Of one in another region: two round trips of 16 to 40 ms, by operators'
  /// networks (8 to 20 ms one way), at the shorter end.
  double m_OtherRegionMs = 32;
  /// Cost of a failed try; times the upstream's failure rate.
  double m_FailureMs = 3000;
  /// For each request beyond the slots of a plain service.
  double m_OverfullMs = 60;
  /// Part of the shared prompt that the engine preferred by all boxes is
  /// believed to have read when this box knows nothing.
  double m_PreferredCached = 0.7;
  /// Work of a request to a plain service.
  double m_PlainMs = 20;
  /// Prompts are read between the steps of running streams: cost for each
  /// stream and millisecond of work beyond what fits between two events.
  double m_Disturbance = 0.06;
  double m_QuietMs = 200;
  /// Of a server that names a limit: a question to another box.
  double m_PermitMs = 5;
  /// For each running request, as it slows down all steps.
  double m_RunningMs = 2;
};

/// A choice with what it was made from.
struct ChosenReplica {
  const UpstreamInstance *m_Instance = nullptr;
  double m_CostMs = 0;     ///< What was compared.
  double m_ExpectedMs = 0; ///< Time to the first token.
  double m_PendingMs = 0;  ///< Work ahead of it.
  double m_WorkMs = 0;     ///< Its own.
  bool m_Limited = false;  ///< The server names a limit.
  /// How much more the next one would cost that needs no permit; empty when
  /// there is none.
  std::optional<double> m_SpareMs;
};

/// The books that the choice reads.
struct ReplicaKnowledge {
  const LoadTracker &m_Loads;
  const PrefixIndex &m_Prefixes;
  const LatencyModel &m_Latency;
  const FailureTracker &m_Failures;
  const DataCentreMap &m_DataCentres;
  const SendBounds *m_Bounds = nullptr; ///< Null where none needs a permit.
};

/// Picks the candidate with the least expected cost; \p Tie, from 0 to 1,
/// decides between equal ones. Empty without candidates.
std::optional<ChosenReplica>
chooseReplica(const std::vector<const UpstreamInstance *> &Candidates,
              const RequestDescriptor &Request, const std::string &OwnZone,
              const ReplicaKnowledge &Known, const ReplicaWeights &Weights,
              double Tie, TimePoint Now);

} // namespace havenstair

#endif
