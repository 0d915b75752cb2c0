/// \file
/// Plans placement for the data centre, on the one box whose turn it is.
#ifndef HAVENSTAIR_HAVENSTAIRD_PROCESS_PLANNER_H
#define HAVENSTAIR_HAVENSTAIRD_PROCESS_PLANNER_H

#include "decisions/process/Placement.h"
#include "decisions/process/UpstreamDirectory.h"
#include "decisions/version/Assignment.h"
#include "wire/common/EventLoop.h"
#include <functional>
#include <map>
#include <memory>

namespace havenstair {

/// Gathers demand, runs the policy and hands moves to the owners. Two planners
/// at once can cost moves, but never memory: owners decide what fits.
class Planner {
public:
  struct Options {
    std::unique_ptr<PlacementPolicy> m_Policy;
    const UpstreamDirectory *m_Directory = nullptr;
    std::function<const Table &()> m_Table;
    /// Whether this box plans now.
    std::function<bool()> m_MyTurn;
    /// Whether the owner of an upstream can be reached.
    std::function<bool(const UpstreamName &)> m_OwnerReachable;
    std::function<void(const Move &)> m_Order;
    Duration m_Every = 500ms;
  };

  Planner(EventLoop &Loop, Options Opts);

  /// Demand at the upstreams of \p Box, as it says.
  void noteDemand(const BoxName &Box, const DemandByArtifact &Demand);
  void forget(const BoxName &Box) { m_DemandOf.erase(Box); }

private:
  void planOnce();
  std::vector<EngineView> engines() const;
  void smoothDemand();

  Options m_Opts;
  std::map<BoxName, DemandByArtifact> m_DemandOf;
  DemandByArtifact m_Smoothed;
  Timer m_Timer;
};

} // namespace havenstair

#endif
