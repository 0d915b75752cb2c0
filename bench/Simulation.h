/// \file
/// Drives the decisions with a seeded list of events and a clock that is an
/// argument. No sockets, no time of its own.
#ifndef HAVENSTAIR_BENCH_SIMULATION_H
#define HAVENSTAIR_BENCH_SIMULATION_H

#include "FakeEngine.h"
#include "Workload.h"
#include "decisions/process/Placement.h"
#include "decisions/process/UpstreamDirectory.h"
#include "decisions/request/Router.h"
#include "decisions/request/UpstreamAdmission.h"
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace havenstair::bench {

/// A policy as a set of hooks; baselines fill the same hooks differently.
struct Policy {
  std::string m_Name;
  RoutingHook m_Routing;
  std::function<std::unique_ptr<PlacementPolicy>()> m_Placement;
  bool m_Fair = true; ///< Queue by group and weight; else first come first.
  /// Latest start of a request, as a factor of its first-token target.
  double m_Deadline = 1;
  /// Placement counts refused requests as load.
  bool m_OfferedLoad = false;
  bool m_LoadOnDemand = false;
  bool m_Spill = true;
  Duration m_PlanEvery = 500ms;
};

/// What one run measured.
struct Outcome {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Met = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Cached = 0;
  std::map<MoveReason, int> m_Moves;
  std::map<GroupName, std::uint64_t> m_RequestsOf;
  std::map<GroupName, std::uint64_t> m_MetOf;
  std::vector<double> m_RefusedAfterMs;

  int moves() const;
  double attainment() const;
  /// Least attainment of any group but the first, which may be greedy.
  double leastPolite() const;
};

/// Runs \p Of under \p Rules, in a deployment like \p Size.
Outcome simulate(const Workload &Of, const Deployment &Size,
                 const Policy &Rules);

} // namespace havenstair::bench

#endif
