/// \file
/// Plans which models and adapters engines hold.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_RESIDENCYPLANNER_H
#define HAVENSTAIR_GATEWAY_PROCESS_RESIDENCYPLANNER_H

#include "decisions/process/AwaitedModels.h"
#include "decisions/process/DemandRates.h"
#include "decisions/process/PlanSchedule.h"
#include "decisions/process/ReplicaPlanner.h"
#include "gateway/process/GatewayOptions.h"
#include "gateway/process/ManagedEngines.h"
#include "gateway/process/MoveExecutor.h"
#include "gateway/process/OrderSender.h"
#include "gateway/process/ServingState.h"
#include "gateway/process/ShortageLog.h"
#include <map>
#include <string>
#include <vector>

namespace havenstair {

class DecisionLog;

/// Estimates the demand for models and adapters, plans their replicas from it,
/// and begins the moves and orders of the plan.
class ResidencyPlanner {
public:
  struct Options {
    PlannerOptions m_Planner;
    AdapterOptions m_Adapters;
    DemandRates::Options m_Rates;
    /// Shortest time that a replica stays, and an adapter.
    Duration m_MinReplicaStay = 6s;
    Duration m_MinAdapterStay = 400ms;
  };
  /// The objects that it reads and changes; they must outlive it.
  struct Dependencies {
    ServingState &m_State;
    ManagedEngines &m_Engines;
    MoveExecutor &m_Moves;
    OrderSender &m_Orders;
    DecisionLog &m_Log;
  };

  ResidencyPlanner(Dependencies Deps, Options Opts);
  ResidencyPlanner(const ResidencyPlanner &) = delete;
  ResidencyPlanner &operator=(const ResidencyPlanner &) = delete;

  /// Starts anew for a leader that has just been elected: its first plan
  /// derives usual demand from the replicas.
  void startTerm() { m_DemandSeeded = false; }
  /// Adds demand of this box or another one, up to \p Now.
  void addDemand(const ModelDemands &Demand, TimePoint Now);
  /// Records that requests wait for \p Keys, which no engine holds.
  void addAwaited(const std::vector<ModelKey> &Keys, TimePoint Now) {
    m_Awaited.add(Keys, Now);
  }
  /// Forgets what requests no longer wait for.
  void expireAwaited(TimePoint Now);
  /// Makes a plan of \p Scope and begins to carry it out. \p Bounds limit the
  /// loads from the store of weights.
  void plan(PlanScope Scope, const ServingBounds &Bounds, TimePoint Now);

private:
  void planAll(const ServingBounds &Bounds, TimePoint Now);
  void planAwaited(TimePoint Now);
  void planModels(const std::string &Service, const EngineSpec &Spec,
                  TimePoint Now);
  void begin(const PlannedMove &Move, double Demand, TimePoint Now);
  void planAdapterMoves(const std::string &Service, const EngineSpec &Spec,
                        const AdapterOptions &Opts, TimePoint Now);
  void seedDemandFromReplicas(TimePoint Now);
  PlannerInput plannerInput(const std::string &Service, TimePoint Now);
  ModelDemand addDemandTo(PlannerInput &Input, const std::string &Service,
                          TimePoint Now) const;
  double slowness(const InstanceId &Id, const ModelDemand &Demand) const;
  std::vector<AdapterEngine> adapterEngines(const std::string &Service,
                                            TimePoint Now) const;
  std::map<AdapterKey, double> adapterRates(const std::string &Service,
                                            TimePoint Now) const;
  std::map<std::string, double> replicaShares(const std::string &Service,
                                              TimePoint Now) const;

  Dependencies m_Deps;
  Options m_Opts;
  DemandRates m_Rates;
  AwaitedModels m_Awaited;
  ShortageLog m_ShortageLog;
  /// Whether usual demand was derived from the replicas.
  bool m_DemandSeeded = false;
};

} // namespace havenstair

#endif
