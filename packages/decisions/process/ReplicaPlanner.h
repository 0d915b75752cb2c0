/// \file
/// Which models are on which engines: the next moves towards demand.
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

/// An engine as the plan sees it: with what is under way counted as done.
struct PlannedEngine {
  InstanceId m_Id;
  std::set<std::string> m_Models;
  /// Those of them that are not there yet, with the milliseconds until then.
  std::map<std::string, double> m_Coming;
  /// Came a short while ago: they stay while they are wanted.
  std::set<std::string> m_Fresh;
  std::set<std::string> m_InMemory;
  std::set<std::string> m_OnDisk;
  double m_Slowness = 1;
  bool m_Movable = true; ///< Nothing is under way, and it stays.
  bool m_Leaving = false;
  DataCentreName m_DataCentre;
};

/// Where the weights of a load come from; the nearer the sooner.
enum class LoadSource { HostMemory, Disk, Store };

std::string_view sourceName(LoadSource Source);

/// The nearest place from which an engine with these copies loads \p Model.
LoadSource nearestSource(const std::set<std::string> &InMemory,
                         const std::set<std::string> &OnDisk,
                         const std::string &Model);

/// How long a load takes; a guess for a model that is not known (null).
Duration loadTime(const ModelSpec *Model, LoadSource Source);

/// Why a model is loaded.
enum class PlanReason {
  NotResident, ///< No engine that stays holds it.
  DemandRose,  ///< Its engines have more to do than others.
  NotWanted    ///< A replica leaves, so that the next load finds its place.
};

std::string_view reasonName(PlanReason Reason);

/// Load a model, after another has made way for it; either may be empty.
struct PlannedMove {
  InstanceId m_Engine;
  std::string m_Evict;
  std::string m_Load;
  LoadSource m_Source = LoadSource::Store;
  PlanReason m_Reason = PlanReason::DemandRose;
  double m_ServesInMs = 0; ///< Expected time until the model serves.
  double m_Gain = 0;       ///< Work saved each second, in engines' worth.

  bool operator==(const PlannedMove &) const = default;
};

/// What the plan is made from. Demand is in engines' worth of work: 1 keeps
/// one average engine busy.
struct PlannerInput {
  std::vector<PlannedEngine> m_Engines;
  std::map<std::string, double> m_Demand;
  /// The same over half a minute: which models are likely to be asked for.
  std::map<std::string, double> m_Usual;
  /// Models that callers wait for now.
  std::set<std::string> m_Awaited;
  std::size_t m_StoreLoads = 0; ///< That may begin from the store now.
  /// How much longer loads from the store take than when few run.
  double m_StoreSlowness = 1;
};

/// Gains are in engines' worth of work saved each second.
struct PlannerOptions {
  /// Least gain of a load from the engine's own memory or disk, and from the
  /// store of weights (docs/design/replicas.md).
  double m_LeastGainNear = 0.02;
  double m_LeastGainStore = 0.02;
  /// From 0 to 1; 1 asks four times the gain of each move.
  double m_FewMoves = 0;
  /// Time for which a move is judged: demand has moved on afterwards.
  double m_HorizonMs = 12000;
  /// What it is worth that a model has a replica at all, beyond its demand and
  /// what it is usually asked for.
  double m_ReachableWorth = 0.02;
  /// Part of its usual demand that a replica keeps as its worth while others of
  /// its model serve, so that rare models which are asked for first do not take
  /// the places of hot ones.
  double m_SparePart = 0.5;
  /// What it is worth that callers who wait for a model are served: one of them
  /// asks for a tenth of a second of an engine.
  double m_AwaitedWorth = 0.25;
  /// Engines that are looked at closely for one model; all would take too long.
  std::size_t m_ClosePlaces = 12;
  /// Weight of the work that the loss of the data centre that holds most of a
  /// model would cost each second: the part of the time in which one is
  /// evacuated or cut off and its models are not yet loaded elsewhere. 0 places
  /// replicas without regard to data centres.
  double m_SpreadWorth = 0;
  /// A replica leaves when no more than this is lost by it.
  double m_ReleaseLoss = 0.002;
  /// Time until nearly all answers that run at a replica have ended.
  double m_LongAnswerMs = 4000;
};

/// Up to \p Most moves, the most useful first, on different engines. The last
/// replica of a model that hardly anybody asks for may make way for a model
/// that is wanted more, once there is any demand. Never plans more on an engine
/// than \p Spec lets it hold.
std::vector<PlannedMove> planReplicas(const PlannerInput &Input,
                                      const EngineSpec &Spec,
                                      const PlannerOptions &Opts,
                                      std::size_t Most);

} // namespace havenstair

#endif
