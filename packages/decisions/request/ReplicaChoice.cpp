#include "decisions/request/ReplicaChoice.h"

#include "decisions/common/StableHash.h"
#include <algorithm>
#include <string>

namespace havenstair {

namespace {

/// Differences below this are left to chance, so that boxes which see the same
/// loads do not all pick the same upstream.
constexpr double EqualMs = 2;

/// The engine that every box prefers for a shared beginning.
const UpstreamInstance *
preferredFor(const std::vector<const UpstreamInstance *> &Candidates,
             const RequestDescriptor &Request) {
  const std::string Key = std::to_string(PrefixIndex::sharedKey(Request));
  const auto Best = std::max_element(
      Candidates.begin(), Candidates.end(), [&](const auto *A, const auto *B) {
        return stableHash(A->m_Id, Key) < stableHash(B->m_Id, Key);
      });
  return *Best;
}

double sharedTokens(const RequestDescriptor &Request) {
  double Sum = 0;
  for (std::size_t Index = 0; Index + 1 < Request.m_Prompt.size(); ++Index)
    Sum += Request.m_Prompt[Index].m_Tokens;
  return Sum;
}

double tokensToRead(const UpstreamInstance &At, bool Preferred,
                    const RequestDescriptor &Request,
                    const ReplicaKnowledge &Known,
                    const ReplicaWeights &Weights) {
  double Cached = Known.m_Prefixes.cachedTokens(At.m_Id, Request);
  if (Preferred)
    Cached =
        std::max(Cached, Weights.m_PreferredCached * sharedTokens(Request));
  return std::max(1.0, Request.m_PromptTokens - Cached);
}

/// A cold server takes one request after the other, at its rate. One that names
/// a limit is as fast as others while a permit is to be had.
double boundMs(const SendBound &Bound, const ReplicaWeights &Weights) {
  return Bound.m_Cold ? 1000 / Bound.m_Cold->m_RequestsPerSecond
                      : Weights.m_PermitMs;
}

/// Data centres that no region is known of count as neighbours.
double distanceMs(const UpstreamInstance &To, const std::string &OwnZone,
                  const DataCentreMap &Map, const ReplicaWeights &Weights) {
  if (To.m_Zone == OwnZone)
    return 0;
  const RegionName Own = Map.regionOf(DataCentreName(OwnZone));
  const RegionName Other = Map.regionOf(DataCentreName(To.m_Zone));
  return Own.empty() || Other.empty() || Own == Other ? Weights.m_OtherZoneMs
                                                      : Weights.m_OtherRegionMs;
}

} // namespace

std::optional<ChosenReplica>
chooseReplica(const std::vector<const UpstreamInstance *> &Candidates,
              const RequestDescriptor &Request, const std::string &OwnZone,
              const ReplicaKnowledge &Known, const ReplicaWeights &Weights,
              double Tie, TimePoint Now) {
  if (Candidates.empty())
    return std::nullopt;
  const bool Engines = !Request.m_Model.empty();
  const UpstreamInstance *Preferred =
      Engines ? preferredFor(Candidates, Request) : nullptr;
  std::vector<ChosenReplica> Judged;
  std::optional<double> LeastFree; // Of those that need no permit.
  for (const UpstreamInstance *Each : Candidates) {
    const InstanceLoad Load = Known.m_Loads.load(Each->m_Id, Now);
    ChosenReplica Item{.m_Instance = Each, .m_PendingMs = Load.m_PendingMs};
    Item.m_WorkMs = Weights.m_PlainMs;
    // A plain server works on all its slots at once.
    if (!Engines)
      Item.m_PendingMs = Load.m_PendingMs / std::max(1, Each->m_Slots);
    else
      Item.m_WorkMs = Known.m_Latency.workMs(
          Request.m_Model,
          tokensToRead(*Each, Each == Preferred, Request, Known, Weights));
    const int Over = std::max(0, Load.m_Running + 1 - Each->m_Slots);
    // A slot becomes free each time that one of the answers ends.
    const double SlotMs = Engines ? Known.m_Latency.holdMs(Request.m_Model) /
                                        std::max(1, Each->m_Slots)
                                  : Weights.m_OverfullMs;
    const double Queue = Over * SlotMs + Load.m_Running * Weights.m_RunningMs;
    Item.m_ExpectedMs = Known.m_Latency.expectedMs(Each->m_Id, Item.m_PendingMs,
                                                   Item.m_WorkMs) +
                        Queue;
    const std::optional<SendBound> Bound =
        Known.m_Bounds == nullptr ? std::nullopt
                                  : Known.m_Bounds->of(Each->m_Id, Now);
    if (Bound)
      Item.m_ExpectedMs +=
          inMillis(Known.m_Bounds->permitWait(Each->m_Id, Now));
    Item.m_Limited = Bound && Bound->m_LimitPerS;
    const double Burst =
        std::max(0.0, Item.m_PendingMs + Item.m_WorkMs - Weights.m_QuietMs);
    Item.m_CostMs =
        Item.m_ExpectedMs +
        (Engines ? Weights.m_Disturbance * Burst * Load.m_Running : 0) +
        (Bound ? boundMs(*Bound, Weights) : 0) +
        distanceMs(*Each, OwnZone, Known.m_DataCentres, Weights) +
        Known.m_Failures.rate(Each->m_Id, Now) * Weights.m_FailureMs;
    if (!Bound)
      LeastFree = std::min(LeastFree.value_or(Item.m_CostMs), Item.m_CostMs);
    Judged.push_back(Item);
  }
  const auto Cheaper = [](const ChosenReplica &A, const ChosenReplica &B) {
    return A.m_CostMs < B.m_CostMs;
  };
  const double Least =
      std::min_element(Judged.begin(), Judged.end(), Cheaper)->m_CostMs;
  std::erase_if(Judged, [&](const ChosenReplica &Each) {
    return Each.m_CostMs > Least + EqualMs;
  });
  const auto Index =
      static_cast<std::size_t>(Tie * static_cast<double>(Judged.size()));
  ChosenReplica Chosen = Judged[std::min(Index, Judged.size() - 1)];
  if (LeastFree)
    Chosen.m_SpareMs = std::max(0.0, *LeastFree - Chosen.m_CostMs);
  return Chosen;
}

} // namespace havenstair
