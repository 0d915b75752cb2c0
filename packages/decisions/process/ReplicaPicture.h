/// \file
/// How much work engines lose, given which models they hold.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_REPLICAPICTURE_H
#define HAVENSTAIR_DECISIONS_PROCESS_REPLICAPICTURE_H

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

/// Work that is late or refused each second at an engine with \p Offered work
/// a second, both in engines' worth. An engine that has little to do loses
/// next to nothing; one that has far too much loses what lies beyond it.
double lostWork(double Offered);

/// The engines with their offered work, under the assumption that a model's
/// demand goes where its replicas have the least to do, up to one level.
class ReplicaPicture {
public:
  /// What a move changes, in engines' worth of work lost each second.
  struct Change {
    double m_WhileLoading = 0; ///< The old model is gone, the new not there.
    double m_Afterwards = 0;
  };

  ReplicaPicture(const PlannerInput &Input, const EngineSpec &Spec,
                 const PlannerOptions &Opts);

  const std::vector<PlannedEngine> &engines() const { return m_Engines; }
  std::size_t replicas(const std::string &Model) const {
    return holders(Model).size();
  }
  /// Replicas that serve now.
  std::size_t present(const std::string &Model) const;
  double demand(const std::string &Model) const;
  /// Null for a model that is not known.
  const ModelSpec *specOf(const std::string &Model) const;
  /// For all models; asked for at each engine and model of a plan.
  double demand() const { return m_AllDemand; }
  /// Lost work when \p Model has no engine.
  double unreachable(const std::string &Model) const;
  /// What one of several replicas of \p Model is worth beside the work that it
  /// takes now: demand that has gone elsewhere comes back.
  double spareWorth(const std::string &Model) const;
  /// Work that \p At is offered.
  double offered(std::size_t At) const { return m_Offered[At]; }
  /// Milliseconds until a first replica of \p Model serves; none when one
  /// does, or when none comes.
  std::optional<double> firstComesInMs(const std::string &Model) const;

  /// Whether \p Load has room once \p Evict (may be empty) is gone.
  bool fits(std::size_t At, const std::string &Evict,
            const std::string &Load) const;
  /// Whether a model of the largest size has room.
  bool hasFreePlace(std::size_t At) const;
  /// Milliseconds until the answers of \p Model that run at one replica have
  /// ended.
  double drainMs(const std::string &Model) const;
  /// Less lost work when \p Load takes the place of \p Evict; either may be
  /// empty.
  Change gain(std::size_t At, const std::string &Evict,
              const std::string &Load) const;
  /// By how much a replica of \p Model at \p At lowers what the loss of a data
  /// centre is expected to cost.
  double riskReductionOf(std::size_t At, const std::string &Model) const;
  /// \p LoadMs: time until the loaded model serves.
  void apply(std::size_t At, const std::string &Evict, const std::string &Load,
             double LoadMs);

private:
  double usual(const std::string &Model) const;
  DataCentreRisk::Work workOf(const std::string &Model) const;
  using Work = std::map<std::size_t, double>; ///< By engine.

  /// How \p Demand spreads over \p Holders beside the work of other models.
  Work spread(double Demand, const std::set<std::size_t> &Holders,
              const Work &Others) const;
  Work othersWork(const std::string &Model,
                  const std::set<std::size_t> &Holders,
                  const Work &Changed) const;
  void hold(std::size_t At, const std::string &Model);
  void place(const std::string &Model);
  void settle();
  double less(const Work &Changed) const;
  const std::set<std::size_t> &holders(const std::string &Model) const;
  double sizeMb(const std::string &Model) const;
  double adapterMb(const std::string &Model) const;

  std::vector<PlannedEngine> m_Engines;
  const PlannerInput &m_Input;
  const EngineSpec &m_Spec;
  const PlannerOptions &m_Opts;
  std::string m_Largest; ///< Empty when there is no model.
  double m_AllDemand = 0;
  /// By model. Hashed, as each engine and model of a plan asks for them.
  std::unordered_map<std::string, const ModelSpec *> m_Specs;
  std::unordered_map<std::string, double> m_Demand;
  std::unordered_map<std::string, double> m_Usual;
  std::unordered_map<std::string, std::set<std::size_t>> m_Holders;
  std::unordered_map<std::string, Work> m_Placed;
  std::vector<double> m_Offered;
  DataCentreRisk m_Risk;
};

} // namespace havenstair

#endif
