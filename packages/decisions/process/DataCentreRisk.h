/// \file
/// Estimates the work that each model would lose with one data centre.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_DATACENTRERISK_H
#define HAVENSTAIR_DECISIONS_PROCESS_DATACENTRERISK_H

#include "decisions/process/ReplicaPlanner.h"
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace havenstair {

/// Counts the replicas of each model by data centre. Nothing is at risk when
/// all engines are in one data centre or the weight is 0.
class DataCentreRisk {
public:
  /// The work that is requested of a model, as a number of fully busy engines.
  struct Work {
    /// Number of engines that the requested work would keep busy.
    double m_Demand = 0;
    /// Work lost per second when no engine holds the model.
    double m_Unreachable = 0;
  };
  /// Indexes of the engines that gain and lose a replica of the model; empty
  /// for none.
  struct Change {
    std::optional<std::size_t> m_More;
    std::optional<std::size_t> m_Less;
  };

  /// See PlannerOptions::m_SpreadWorth for \p Weight.
  DataCentreRisk(const std::vector<PlannedEngine> &Engines, double Weight);

  /// Records that engine number \p Engine holds \p Model.
  void add(std::size_t Engine, const std::string &Model);
  /// Records that engine number \p Engine no longer holds \p Model. \throws
  /// std::out_of_range when the model was never added.
  void remove(std::size_t Engine, const std::string &Model);
  /// How much less work is expected to be lost per second after the change \p
  /// To, as a number of fully busy engines.
  double reduction(const std::string &Model, const Work &Requested,
                   const Change &To) const;

private:
  /// Number of replicas by number of the data centre.
  using Counts = std::vector<int>;

  /// The additional work lost per second when the data centre with most
  /// replicas fails.
  double additionalLoss(const Counts &Replicas, const Work &Requested) const;

  double m_Weight;
  /// Number of the data centre by number of the engine.
  std::vector<std::size_t> m_DataCentre;
  std::size_t m_DataCentres = 0;
  /// Replicas by model.
  std::unordered_map<std::string, Counts> m_Replicas;
};

} // namespace havenstair

#endif
