/// \file
/// Plans placement for the data centre, on one box at a time.
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

/// Collects demand, runs the policy and sends moves to the owners. Two boxes
/// that plan at the same time can cause needless moves but cannot overcommit
/// memory, as owners decide what fits.
class Planner {
public:
  struct Options {
    std::unique_ptr<PlacementPolicy> m_Policy;
    const UpstreamDirectory *m_Directory = nullptr;
    std::function<const Table &()> m_Table;
    /// Returns whether this box plans now.
    std::function<bool()> m_IsPlanner;
    /// Returns whether the owner of an upstream can be reached.
    std::function<bool(const UpstreamName &)> m_OwnerReachable;
    std::function<void(const Move &)> m_Order;
    Duration m_Every = 500ms;
  };

  Planner(EventLoop &Loop, Options Opts);

  /// Records the demand at the upstreams of \p Box that it has reported.
  void recordDemand(const BoxName &Box, const DemandByArtifact &Demand);
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
