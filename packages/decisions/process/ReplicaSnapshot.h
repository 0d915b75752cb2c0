/// \file
/// Estimates how much work engines lose, given which models they hold.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_REPLICASNAPSHOT_H
#define HAVENSTAIR_DECISIONS_PROCESS_REPLICASNAPSHOT_H

#include "decisions/process/DataCentreRisk.h"
#include "decisions/process/ReplicaPlanner.h"
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace havenstair {

/// Work per second that is late or refused at an engine with \p Offered work
/// per second, both as a multiple of an engine's capacity. An engine with
/// little load loses next to nothing; a badly overloaded one loses all that
/// exceeds its capacity.
double lostWork(double Offered);

/// The engines of a plan with their offered work. Assumes that a model's demand
/// goes to the replicas with the least load, so that their loads even out. An
/// engine is identified by its index in `engines()`; work is a multiple of an
/// engine's capacity.
class ReplicaSnapshot {
public:
  /// By how much a move lowers the lost work per second.
  struct Change {
    /// While the old model is gone and the new one does not serve yet.
    double m_WhileLoading = 0;
    double m_Afterwards = 0; ///< Once the new model serves.
  };

  ReplicaSnapshot(const PlannerInput &Input, const EngineSpec &Spec,
                  const PlannerOptions &Opts);

  const std::vector<PlannedEngine> &engines() const { return m_Engines; }
  /// Replicas of \p Model that serve now or are being loaded.
  std::size_t replicas(const std::string &Model) const {
    return holders(Model).size();
  }
  /// Replicas of \p Model that serve now.
  std::size_t servingCount(const std::string &Model) const;
  /// Work per second that callers ask of \p Model.
  double demand(const std::string &Model) const;
  /// Null for an unknown model.
  const ModelSpec *specOf(const std::string &Model) const;
  /// Demand of all models. Computed once, as a plan reads it for each engine
  /// and model.
  double demand() const { return m_AllDemand; }
  /// Work that is lost per second while \p Model has no replica.
  double lossWithoutReplica(const std::string &Model) const;
  /// What one of several replicas of \p Model is worth besides the work that it
  /// takes now, as demand that has fallen may rise again.
  double spareWorth(const std::string &Model) const;
  /// Work per second that the engine \p At is offered.
  double offeredWork(std::size_t At) const { return m_Offered[At]; }
  /// Milliseconds until the first replica of \p Model serves; empty when one
  /// serves already or none is being loaded.
  std::optional<double> firstServesInMs(const std::string &Model) const;

  /// Whether the engine \p At has room for \p Load once \p Evict (may be empty)
  /// is gone.
  bool fits(std::size_t At, const std::string &Evict,
            const std::string &Load) const;
  /// Whether the engine \p At has room for the largest model.
  bool hasRoomForLargest(std::size_t At) const;
  /// Expected milliseconds until the answers that run at a replica of \p Model
  /// have ended.
  double drainMs(const std::string &Model) const;
  /// By how much lost work falls when \p Load replaces \p Evict on the engine
  /// \p At; either may be empty.
  Change gain(std::size_t At, const std::string &Evict,
              const std::string &Load) const;
  /// By how much a replica of \p Model on the engine \p At lowers the expected
  /// cost of losing a data centre.
  double riskReductionOf(std::size_t At, const std::string &Model) const;
  /// Carries out a move in this snapshot. \p LoadMs: milliseconds until the
  /// loaded model serves.
  void apply(std::size_t At, const std::string &Evict, const std::string &Load,
             double LoadMs);

private:
  double usual(const std::string &Model) const;
  DataCentreRisk::Work workOf(const std::string &Model) const;
  using Work = std::map<std::size_t, double>; ///< By index of the engine.

  /// How \p Demand spreads over \p Holders in addition to \p Others, the work
  /// of other models.
  Work spread(double Demand, const std::set<std::size_t> &Holders,
              const Work &Others) const;
  /// Work of other models on \p Holders. \p Changed overrides the offered work.
  Work othersWork(const std::string &Model,
                  const std::set<std::size_t> &Holders,
                  const Work &Changed) const;
  void addHolder(std::size_t At, const std::string &Model);
  /// Spreads the demand of \p Model over its replicas anew.
  void assignDemand(const std::string &Model);
  void rebalance();
  /// By how much lost work falls when engines are offered \p Changed instead.
  double workSaved(const Work &Changed) const;
  const std::set<std::size_t> &holders(const std::string &Model) const;
  double sizeMb(const std::string &Model) const;
  double adapterMb(const std::string &Model) const;

  std::vector<PlannedEngine> m_Engines;
  const PlannerInput &m_Input;
  const EngineSpec &m_Spec;
  const PlannerOptions &m_Opts;
  std::string m_Largest; ///< Empty when there is no model.
  double m_AllDemand = 0;
  /// These maps are by model, and hashed because a plan reads them for each
  /// engine and model.
  std::unordered_map<std::string, const ModelSpec *> m_Specs;
  std::unordered_map<std::string, double> m_Demand;
  std::unordered_map<std::string, double> m_Usual;
  std::unordered_map<std::string, std::set<std::size_t>> m_Holders;
  std::unordered_map<std::string, Work> m_Placed;
  std::vector<double> m_Offered; ///< By index of the engine.
  DataCentreRisk m_Risk;
};

} // namespace havenstair

#endif
