/// \file
/// Plans which models to load on and evict from which engines, by demand.
/// See docs/design/replicas.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_REPLICAPLANNER_H
#define HAVENSTAIR_DECISIONS_PROCESS_REPLICAPLANNER_H

#include "decisions/common/Id.h"
#include "decisions/process/UpstreamInstance.h"
#include "decisions/version/ServingConfig.h"
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace havenstair {

/// An engine as the planner sees it, with loads and evictions that are under
/// way counted as done.
struct PlannedEngine {
  InstanceId m_Id;
  std::set<std::string> m_Models;
  /// Models that are still being loaded, with the milliseconds until they
  /// serve.
  std::map<std::string, double> m_Loading;
  /// Models loaded a short while ago. They are not evicted while they have
  /// demand.
  std::set<std::string> m_RecentlyLoaded;
  std::set<std::string> m_InMemory; ///< Models with weights in host memory.
  std::set<std::string> m_OnDisk;   ///< Models with weights on its disk.
  /// How many times longer it takes for the same work than an average engine.
  double m_Slowness = 1;
  bool m_Movable = true;  ///< No order is under way, and it is not leaving.
  bool m_Leaving = false; ///< It is about to go; its models do not count.
  DataCentreName m_DataCentre;
};

/// Where the weights of a load come from, the fastest first.
enum class LoadSource { HostMemory, Disk, Store };

/// \returns the name of \p Source, for logs.
std::string_view sourceName(LoadSource Source);

/// The nearest place from which an engine with these copies loads \p Model.
LoadSource nearestSource(const std::set<std::string> &InMemory,
                         const std::set<std::string> &OnDisk,
                         const std::string &Model);

/// Nominal time of a load; a guess for an unknown model (null).
Duration loadTime(const ModelSpec *Model, LoadSource Source);

/// Why a model is loaded.
enum class PlanReason {
  NotResident, ///< No engine holds it, except for those that are leaving.
  DemandRose,  ///< Its engines have more load than others.
  NotWanted    ///< Evicted only, so that the next load finds free memory.
};

/// \returns the name of \p Reason, for logs.
std::string_view reasonName(PlanReason Reason);

/// Loads `m_Load` on an engine after evicting `m_Evict`; either may be empty.
struct PlannedMove {
  InstanceId m_Engine;
  std::string m_Evict;
  std::string m_Load;
  LoadSource m_Source = LoadSource::Store;
  PlanReason m_Reason = PlanReason::DemandRose;
  double m_ServesInMs = 0; ///< Expected milliseconds until it serves.
  /// Lost work that it saves per second, as a multiple of an engine's capacity.
  double m_Gain = 0;

  bool operator==(const PlannedMove &) const = default;
};

/// What the planner decides on. Demand is work per second as a multiple of an
/// engine's capacity: 1 keeps one average engine busy.
struct PlannerInput {
  std::vector<PlannedEngine> m_Engines;
  std::map<std::string, double> m_Demand; ///< By model.
  /// Demand averaged over half a minute, by model. Tells which models are
  /// likely to be requested.
  std::map<std::string, double> m_Usual;
  /// Models that callers are waiting for.
  std::set<std::string> m_Awaited;
  std::size_t m_StoreLoads = 0; ///< Most loads from the store to start now.
  /// By what factor loads from the store are slower than when few run.
  double m_StoreSlowness = 1;
};

/// Settings of the planner. Gains, losses and worths are work per second as a
/// multiple of an engine's capacity.
struct PlannerOptions {
  /// Least gain of a load from the engine's own memory or disk, and from the
  /// weight store (docs/design/replicas.md).
  double m_LeastGainNear = 0.02;
  double m_LeastGainStore = 0.02;
  /// Preference for few moves, from 0 to 1; 1 requires four times the gain of
  /// each move.
  double m_FewMoves = 0;
  /// Milliseconds over which a move's gain is averaged; later demand is too
  /// uncertain.
  double m_HorizonMs = 12000;
  /// Worth of a model's having a replica at all, beyond its current and usual
  /// demand.
  double m_ReachableWorth = 0.02;
  /// Fraction of the usual demand that counts as the worth of a replica while
  /// others of its model serve. Keeps the first requests for rare models from
  /// evicting replicas of hot ones.
  double m_SparePart = 0.5;
  /// Worth of serving the callers that are waiting for a model. One of them
  /// needs a tenth of a second of an engine.
  double m_AwaitedWorth = 0.25;
  /// Most engines whose gain is computed for one model; computing it for all
  /// would take too long.
  std::size_t m_MaxCandidates = 12;
  /// Weight of the work that would be lost per second if the data centre with
  /// most of a model's replicas were lost: the fraction of time in which a data
  /// centre is evacuated or cut off and its models are not yet loaded
  /// elsewhere. 0 places replicas without regard to data centres.
  double m_SpreadWorth = 0;
  /// A replica is evicted to free memory when no more than this is lost by it.
  double m_ReleaseLoss = 0.002;
  /// Milliseconds until nearly all answers that run at a replica have ended.
  double m_LongAnswerMs = 4000;
};

/// \returns up to \p Most moves on different engines, the most useful first.
/// The last replica of a model with hardly any demand may be evicted for a
/// model with more, once there is any demand at all. Never plans more on an
/// engine than \p Spec lets it hold.
std::vector<PlannedMove> planReplicas(const PlannerInput &Input,
                                      const EngineSpec &Spec,
                                      const PlannerOptions &Opts,
                                      std::size_t Most);

} // namespace havenstair

#endif
