/// \file
/// Tuning parameters of all decisions of a gateway process.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_GATEWAYPOLICY_H
#define HAVENSTAIR_GATEWAY_PROCESS_GATEWAYPOLICY_H

#include "decisions/process/AdapterPlanner.h"
#include "decisions/process/DemandRates.h"
#include "decisions/process/ReplicaPlanner.h"
#include "decisions/request/PromptPacing.h"
#include "decisions/request/ReplicaAdmission.h"
#include "decisions/request/ReplicaChoice.h"

namespace havenstair {

/// Bundles the options of the decisions. The reason for each default stands at
/// its option.
struct GatewayPolicy {
  ReplicaWeights m_Choice;
  AdmissionOptions m_Admission;
  PacingOptions m_Pacing;
  PlannerOptions m_Planner;
  AdapterOptions m_Adapters;
  DemandRates::Options m_Rates;
  /// Shortest time in milliseconds for which a replica with demand is kept.
  double m_MinReplicaLifetimeMs = 6000;
};

} // namespace havenstair

#endif
