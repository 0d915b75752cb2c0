/// \file
/// Log lines on models that lack replicas.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_SHORTAGELOG_H
#define HAVENSTAIR_GATEWAY_PROCESS_SHORTAGELOG_H

#include "decisions/process/ReplicaPlanner.h"
#include <cstddef>
#include <map>
#include <string>

namespace havenstair {

class DecisionLog;

/// Says what a plan has to work with while a model lacks replicas.
class ShortageLog {
public:
  explicit ShortageLog(DecisionLog &Log) : m_Log(Log) {}

  /// \p Replicas: engines that hold each model.
  void log(const PlannerInput &Input,
           const std::map<std::string, std::size_t> &Replicas, TimePoint Now);

private:
  DecisionLog &m_Log;
  TimePoint m_NextLine{};
};

} // namespace havenstair

#endif
