/// \file
/// Log lines about models that have too few replicas.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_SHORTAGELOG_H
#define HAVENSTAIR_GATEWAY_PROCESS_SHORTAGELOG_H

#include "decisions/process/ReplicaPlanner.h"
#include <cstddef>
#include <map>
#include <string>

namespace havenstair {

class DecisionLog;

/// Logs the inputs of a plan while a model has too few replicas.
class ShortageLog {
public:
  explicit ShortageLog(DecisionLog &Log) : m_Log(Log) {}

  /// Logs the most overloaded model, if any, at most twice a second. \p
  /// Replicas is the number of engines that hold each model.
  void log(const PlannerInput &Input,
           const std::map<std::string, std::size_t> &Replicas, TimePoint Now);

private:
  DecisionLog &m_Log;
  TimePoint m_NextLine{};
};

} // namespace havenstair

#endif
