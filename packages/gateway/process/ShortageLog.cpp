#include "gateway/process/ShortageLog.h"

#include "gateway/common/DecisionLog.h"
#include <algorithm>

namespace havenstair {

namespace {

/// A model has too few replicas when each would be busy for more than this
/// share of its time.
constexpr double MinShortageShare = 0.7;
/// Shortest time between two log lines.
constexpr Duration LogInterval = 500ms;

} // namespace

void ShortageLog::log(const PlannerInput &Input,
                      const std::map<std::string, std::size_t> &Replicas,
                      TimePoint Now) {
  if (Now < m_NextLine)
    return;
  const auto Serving = [&](const std::string &Model) {
    const auto Entry = Replicas.find(Model);
    return Entry == Replicas.end() ? 0 : Entry->second;
  };
  std::string Worst;
  double WorstShare = MinShortageShare;
  for (const auto &[Model, Demand] : Input.m_Demand) {
    const auto Count =
        static_cast<double>(std::max<std::size_t>(1, Serving(Model)));
    if (Demand / Count < WorstShare)
      continue;
    WorstShare = Demand / Count;
    Worst = Model;
  }
  if (Worst.empty())
    return;
  m_NextLine = Now + LogInterval;
  const auto Movable =
      std::count_if(Input.m_Engines.begin(), Input.m_Engines.end(),
                    [](const PlannedEngine &Each) {
                      return Each.m_Movable && !Each.m_Leaving;
                    });
  const auto Planned = std::count_if(
      Input.m_Engines.begin(), Input.m_Engines.end(),
      [&](const PlannedEngine &Each) { return Each.m_Models.contains(Worst); });
  m_Log.write("shortage", {{"model", Worst},
                           {"demand", Input.m_Demand.at(Worst)},
                           {"replicas", Serving(Worst)},
                           {"planned", Planned},
                           {"engines", Input.m_Engines.size()},
                           {"movable", Movable},
                           {"store_loads_left", Input.m_StoreLoads}});
}

} // namespace havenstair
