/// \file
/// What the loss of one data centre would cost each model.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_DATACENTRERISK_H
#define HAVENSTAIR_DECISIONS_PROCESS_DATACENTRERISK_H

#include "decisions/process/ReplicaPlanner.h"
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace havenstair {

/// Counts the replicas of each model by data centre. With engines in one data
/// centre only, or a weight of 0, nothing is at risk.
class DataCentreRisk {
public:
  /// Work that is asked of a model, in engines' worth.
  struct Work {
    double m_Demand = 0;
    /// Lost each second when no engine holds it.
    double m_Unreachable = 0;
  };
  /// Engines that gain, and lose, a replica of the model that is asked for.
  struct Change {
    std::optional<std::size_t> m_More;
    std::optional<std::size_t> m_Less;
  };

  /// \p Weight: see PlannerOptions::m_SpreadWorth.
  DataCentreRisk(const std::vector<PlannedEngine> &Engines, double Weight);

  void add(std::size_t Engine, const std::string &Model);
  void remove(std::size_t Engine, const std::string &Model);
  /// By how much the expected loss of work each second falls with \p To, in
  /// engines' worth.
  double reduction(const std::string &Model, const Work &Of,
                   const Change &To) const;

private:
  using Counts = std::vector<int>; ///< By data centre.

  double at(const Counts &Replicas, const Work &Of) const;

  double m_Weight;
  std::vector<std::size_t> m_DataCentre; ///< By engine.
  std::size_t m_DataCentres = 0;
  std::unordered_map<std::string, Counts> m_Replicas;
};

} // namespace havenstair

#endif
