#include "havenstaird/process/Planner.h"

namespace havenstair {

namespace {

/// Weight of the newest demand in the exponential moving average.
constexpr double DemandGain = 0.3;
/// Smaller averages are dropped.
constexpr double MinDemand = 0.001;

} // namespace

Planner::Planner(EventLoop &Loop, Options Opts)
    : m_Opts(std::move(Opts)),
      m_Timer(Loop.every(m_Opts.m_Every, [this] { planOnce(); })) {}

void Planner::recordDemand(const BoxName &Box, const DemandByArtifact &Demand) {
  m_DemandOf[Box] = Demand;
}

void Planner::smoothDemand() {
  DemandByArtifact Sum;
  for (const auto &[Box, Demand] : m_DemandOf)
    for (const auto &[Artifact, Count] : Demand)
      Sum[Artifact] += Count;
  for (auto &[Artifact, Mean] : m_Smoothed)
    Mean *= 1 - DemandGain;
  for (const auto &[Artifact, Count] : Sum)
    m_Smoothed[Artifact] += DemandGain * Count;
  std::erase_if(m_Smoothed,
                [](const auto &Item) { return Item.second < MinDemand; });
}

std::vector<EngineView> Planner::engines() const {
  std::vector<EngineView> Result;
  for (const UpstreamSpec &Spec : m_Opts.m_Directory->upstreams()) {
    if (Spec.m_Kind != UpstreamKind::Engine)
      continue;
    EngineView View;
    View.m_Upstream = Spec.m_Name;
    View.m_Leaving = Spec.m_Leaving;
    const UpstreamDigest *Digest = m_Opts.m_Directory->digestOf(Spec.m_Name);
    if (Digest != nullptr) {
      View.m_Ready = Digest->m_Ready && m_Opts.m_OwnerReachable(Spec.m_Name);
      View.m_Available = Digest->m_Available;
      View.m_Held = Digest->m_Held;
      View.m_Serving = Digest->m_Serving;
      View.m_Pressure = Digest->m_Load.offered();
    }
    Result.push_back(std::move(View));
  }
  return Result;
}

void Planner::planOnce() {
  smoothDemand();
  if (!m_Opts.m_IsPlanner())
    return;
  const Table &Current = m_Opts.m_Table();
  PlacementInput Input;
  Input.m_Engines = engines();
  Input.m_Demand = m_Smoothed;
  Input.m_Callable = Current.callableArtifacts();
  Input.m_Catalogue = &Current.catalogue();
  for (const Move &Wanted : m_Opts.m_Policy->plan(Input, EventLoop::now()))
    m_Opts.m_Order(Wanted);
}

} // namespace havenstair
