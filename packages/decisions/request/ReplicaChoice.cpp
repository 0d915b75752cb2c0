#include "decisions/request/ReplicaChoice.h"

#include "decisions/common/StableHash.h"
#include <algorithm>
#include <string>

namespace havenstair {

namespace {

/// Costs that differ by less count as equal, and one of the upstreams is drawn,
/// so that boxes which see the same loads do not all choose the same one.
constexpr double EqualMs = 2;

/// The engine that every box prefers for the shared start of a prompt, by
/// rendezvous hashing.
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

/// Tokens of all parts of the prompt but the last, which is the request's own.
double sharedTokens(const RequestDescriptor &Request) {
  double Sum = 0;
  for (std::size_t Index = 0; Index + 1 < Request.m_Prompt.size(); ++Index)
    Sum += Request.m_Prompt[Index].m_Tokens;
  return Sum;
}

/// Prompt tokens that \p Candidate still has to process, without those in its
/// prefix cache.
double tokensToProcess(const UpstreamInstance &Candidate, bool Preferred,
                       const RequestDescriptor &Request,
                       const ReplicaStatistics &Stats,
                       const ReplicaWeights &Weights) {
  double Cached = Stats.m_Prefixes.cachedTokens(Candidate.m_Id, Request);
  if (Preferred)
    Cached = std::max(Cached, Weights.m_PreferredCachedFraction *
                                  sharedTokens(Request));
  return std::max(1.0, Request.m_PromptTokens - Cached);
}

/// Surcharge of an upstream that needs permits. A cold one takes one request
/// after the other, at its rate. One with a rate limit is as fast as others as
/// long as permits are available.
double boundMs(const SendBound &Bound, const ReplicaWeights &Weights) {
  return Bound.m_Cold ? 1000 / Bound.m_Cold->m_RequestsPerSecond
                      : Weights.m_PermitMs;
}

/// Surcharge for the distance. A data centre without a known region counts as
/// one of the same region.
double distanceMs(const UpstreamInstance &Upstream, const std::string &OwnZone,
                  const DataCentreMap &Map, const ReplicaWeights &Weights) {
  if (Upstream.m_Zone == OwnZone)
    return 0;
  const RegionName Own = Map.regionOf(DataCentreName(OwnZone));
  const RegionName Other = Map.regionOf(DataCentreName(Upstream.m_Zone));
  return Own.empty() || Other.empty() || Own == Other ? Weights.m_OtherZoneMs
                                                      : Weights.m_OtherRegionMs;
}

} // namespace

std::optional<ChosenReplica>
chooseReplica(const std::vector<const UpstreamInstance *> &Candidates,
              const RequestDescriptor &Request, const std::string &OwnZone,
              const ReplicaStatistics &Stats, const ReplicaWeights &Weights,
              double Tie, TimePoint Now) {
  if (Candidates.empty())
    return std::nullopt;
  const bool Engines = !Request.m_Model.empty();
  const UpstreamInstance *Preferred =
      Engines ? preferredFor(Candidates, Request) : nullptr;
  std::vector<ChosenReplica> Scored;
  std::optional<double> CheapestUnlimited; // Among those that need no permit.
  for (const UpstreamInstance *Candidate : Candidates) {
    const InstanceLoad Load = Stats.m_Loads.load(Candidate->m_Id, Now);
    ChosenReplica Score{.m_Instance = Candidate,
                        .m_PendingMs = Load.m_PendingMs};
    Score.m_WorkMs = Weights.m_PlainWorkMs;
    // A plain service works on all its slots at once.
    if (!Engines)
      Score.m_PendingMs = Load.m_PendingMs / std::max(1, Candidate->m_Slots);
    else
      Score.m_WorkMs = Stats.m_Latency.workMs(
          Request.m_Model, tokensToProcess(*Candidate, Candidate == Preferred,
                                           Request, Stats, Weights));
    const int Excess = std::max(0, Load.m_Running + 1 - Candidate->m_Slots);
    // A slot becomes free each time that one of the running answers ends.
    const double SlotMs = Engines ? Stats.m_Latency.holdMs(Request.m_Model) /
                                        std::max(1, Candidate->m_Slots)
                                  : Weights.m_OverloadMs;
    const double Queue = Excess * SlotMs + Load.m_Running * Weights.m_RunningMs;
    Score.m_ExpectedMs =
        Stats.m_Latency.expectedMs(Candidate->m_Id, Score.m_PendingMs,
                                   Score.m_WorkMs) +
        Queue;
    const std::optional<SendBound> Bound =
        Stats.m_Bounds == nullptr ? std::nullopt
                                  : Stats.m_Bounds->of(Candidate->m_Id, Now);
    if (Bound)
      Score.m_ExpectedMs +=
          inMillis(Stats.m_Bounds->permitWait(Candidate->m_Id, Now));
    Score.m_Limited = Bound && Bound->m_LimitPerSecond;
    const double Burst = std::max(0.0, Score.m_PendingMs + Score.m_WorkMs -
                                           Weights.m_InterferenceThresholdMs);
    Score.m_CostMs =
        Score.m_ExpectedMs +
        (Engines ? Weights.m_InterferenceFactor * Burst * Load.m_Running : 0) +
        (Bound ? boundMs(*Bound, Weights) : 0) +
        distanceMs(*Candidate, OwnZone, Stats.m_DataCentres, Weights) +
        Stats.m_Failures.rate(Candidate->m_Id, Now) * Weights.m_FailureMs;
    if (!Bound)
      CheapestUnlimited =
          std::min(CheapestUnlimited.value_or(Score.m_CostMs), Score.m_CostMs);
    Scored.push_back(Score);
  }
  const auto Cheaper = [](const ChosenReplica &A, const ChosenReplica &B) {
    return A.m_CostMs < B.m_CostMs;
  };
  const double Least =
      std::min_element(Scored.begin(), Scored.end(), Cheaper)->m_CostMs;
  std::erase_if(Scored, [&](const ChosenReplica &Candidate) {
    return Candidate.m_CostMs > Least + EqualMs;
  });
  const auto Index =
      static_cast<std::size_t>(Tie * static_cast<double>(Scored.size()));
  ChosenReplica Chosen = Scored[std::min(Index, Scored.size() - 1)];
  if (CheapestUnlimited)
    Chosen.m_PermitSavingMs =
        std::max(0.0, *CheapestUnlimited - Chosen.m_CostMs);
  return Chosen;
}

} // namespace havenstair
