#include "decisions/process/ReplicaPlanner.h"

#include <algorithm>
#include <array>
#include <optional>

namespace havenstair {

namespace {

constexpr std::array<std::string_view, 3> SourceNames{"memory", "disk",
                                                      "store"};
constexpr std::array<std::string_view, 2> ReasonNames{"not_resident",
                                                      "demand_rose"};

/// Below this a model's replicas may go at any time, in engines' worth of work.
constexpr double LittleDemand = 0.05;

/// Requests that wait, on average, at an engine that is busy for the part \p U
/// of its time: M/M/1 queue length (Kleinrock, Queueing Systems, volume 1,
/// section 3.2), continued as a line where it has no value.
double waiting(double U) {
  constexpr double Knee = 0.9;
  constexpr double AtKnee = Knee * Knee / (1 - Knee);
  constexpr double Slope = (2 * Knee - Knee * Knee) / ((1 - Knee) * (1 - Knee));
  return U < Knee ? U * U / (1 - U) : AtKnee + Slope * (U - Knee);
}

/// The engines with their busy parts, under the assumption that a model's
/// demand is spread evenly over its replicas.
class Picture {
public:
  Picture(const PlannerInput &Input, const EngineSpec &Spec)
      : m_Engines(Input.m_Engines), m_Demand(Input.m_Demand), m_Spec(Spec) {
    for (std::size_t At = 0; At < m_Engines.size(); ++At)
      if (!m_Engines[At].m_Leaving)
        for (const std::string &Model : m_Engines[At].m_Models)
          m_Holders[Model].insert(At);
    m_Busy.resize(m_Engines.size());
    for (std::size_t At = 0; At < m_Engines.size(); ++At)
      m_Busy[At] = busy(At);
  }

  const std::vector<PlannedEngine> &engines() const { return m_Engines; }

  std::size_t replicas(const std::string &Model) const {
    const auto Found = m_Holders.find(Model);
    return Found == m_Holders.end() ? 0 : Found->second.size();
  }

  /// Replicas that serve now.
  std::size_t present(const std::string &Model) const {
    const std::set<std::size_t> &Holders = holders(Model);
    return static_cast<std::size_t>(
        std::count_if(Holders.begin(), Holders.end(), [&](std::size_t At) {
          return !m_Engines[At].m_Coming.contains(Model);
        }));
  }

  double demand(const std::string &Model) const {
    const auto Found = m_Demand.find(Model);
    return Found == m_Demand.end() ? 0 : Found->second;
  }

  bool fits(std::size_t At, const std::string &Evict,
            const std::string &Load) const {
    double Sum = sizeMb(Load);
    double LargestAdapter = adapterMb(Load);
    for (const std::string &Model : m_Engines[At].m_Models) {
      if (Model == Evict)
        continue;
      Sum += sizeMb(Model);
      LargestAdapter = std::max(LargestAdapter, adapterMb(Model));
    }
    return Sum + m_Spec.m_AdapterCapacity * LargestAdapter <=
           m_Spec.m_WeightsMb;
  }

  /// How much fewer requests wait when \p Load takes the place of \p Evict.
  double gain(std::size_t At, const std::string &Evict,
              const std::string &Load) const {
    const double LoadDemand = demand(Load);
    const auto LoadCount = static_cast<double>(replicas(Load));
    const double LoadBefore = LoadCount > 0 ? LoadDemand / LoadCount : 0;
    const double LoadAfter = LoadDemand / (LoadCount + 1);
    std::map<std::size_t, double> Change;
    for (std::size_t Holder : holders(Load))
      Change[Holder] += LoadAfter - LoadBefore;
    Change[At] += LoadAfter;
    if (!Evict.empty()) {
      const double EvictDemand = demand(Evict);
      const auto EvictCount = static_cast<double>(replicas(Evict));
      for (std::size_t Holder : holders(Evict))
        if (Holder != At)
          Change[Holder] +=
              EvictDemand / (EvictCount - 1) - EvictDemand / EvictCount;
      Change[At] -= EvictDemand / EvictCount;
    }
    double Gain = 0;
    for (const auto &[Engine, Difference] : Change)
      Gain +=
          waiting(m_Busy[Engine]) -
          waiting(std::max(0.0, m_Busy[Engine] +
                                    Difference * m_Engines[Engine].m_Slowness));
    return Gain;
  }

  void apply(std::size_t At, const std::string &Evict,
             const std::string &Load) {
    std::set<std::size_t> Touched = holders(Load);
    Touched.insert(At);
    if (!Evict.empty()) {
      Touched.merge(std::set<std::size_t>(holders(Evict)));
      m_Engines[At].m_Models.erase(Evict);
      m_Holders[Evict].erase(At);
    }
    m_Engines[At].m_Models.insert(Load);
    m_Engines[At].m_Coming.insert(Load);
    m_Engines[At].m_Movable = false;
    m_Holders[Load].insert(At);
    for (std::size_t Each : Touched)
      m_Busy[Each] = busy(Each);
  }

  double busyPart(std::size_t At) const { return m_Busy[At]; }

private:
  const std::set<std::size_t> &holders(const std::string &Model) const {
    static const std::set<std::size_t> None;
    const auto Found = m_Holders.find(Model);
    return Found == m_Holders.end() ? None : Found->second;
  }

  double busy(std::size_t At) const {
    double Sum = 0;
    for (const std::string &Model : m_Engines[At].m_Models)
      if (const std::size_t Count = replicas(Model); Count > 0)
        Sum += demand(Model) / static_cast<double>(Count);
    return Sum * m_Engines[At].m_Slowness;
  }

  double sizeMb(const std::string &Model) const {
    const ModelSpec *Found = m_Spec.model(Model);
    return Found == nullptr ? m_Spec.m_WeightsMb : Found->m_SizeMb;
  }

  double adapterMb(const std::string &Model) const {
    const ModelSpec *Found = m_Spec.model(Model);
    return Found == nullptr || Found->m_Adapters == 0 ? 0 : Found->m_AdapterMb;
  }

  std::vector<PlannedEngine> m_Engines;
  const std::map<std::string, double> &m_Demand;
  const EngineSpec &m_Spec;
  std::map<std::string, std::set<std::size_t>> m_Holders;
  std::vector<double> m_Busy;
};

LoadSource sourceOf(const PlannedEngine &At, const std::string &Model) {
  if (At.m_InMemory.contains(Model))
    return LoadSource::HostMemory;
  return At.m_OnDisk.contains(Model) ? LoadSource::Disk : LoadSource::Store;
}

/// Models that may make way on an engine; the empty name stands for none.
std::vector<std::string> evictable(const Picture &Now, std::size_t At) {
  std::vector<std::string> Result{""};
  for (const std::string &Model : Now.engines()[At].m_Models)
    if (Now.present(Model) >= 2 && (Now.demand(Model) < LittleDemand ||
                                    !Now.engines()[At].m_Fresh.contains(Model)))
      Result.push_back(Model);
  return Result;
}

struct Scored {
  std::size_t m_At = 0;
  PlannedMove m_Move;
  double m_Score = 0;
};

/// The best way to load \p Model; \p Accept judges gain and source.
template <typename Judge>
std::optional<Scored> bestPlace(const Picture &Now, const std::string &Model,
                                bool StoreLoads, Judge ScoreOf) {
  std::optional<Scored> Best;
  for (std::size_t At = 0; At < Now.engines().size(); ++At) {
    const PlannedEngine &Engine = Now.engines()[At];
    if (!Engine.m_Movable || Engine.m_Leaving ||
        Engine.m_Models.contains(Model))
      continue;
    const LoadSource Source = sourceOf(Engine, Model);
    if (Source == LoadSource::Store && !StoreLoads)
      continue;
    for (const std::string &Evict : evictable(Now, At)) {
      if (!Now.fits(At, Evict, Model))
        continue;
      const double Gain = Now.gain(At, Evict, Model);
      const std::optional<double> Score = ScoreOf(At, Evict, Source, Gain);
      if (Score && (!Best || *Score > Best->m_Score))
        Best = Scored{.m_At = At,
                      .m_Move = {.m_Engine = Engine.m_Id,
                                 .m_Evict = Evict,
                                 .m_Load = Model,
                                 .m_Source = Source,
                                 .m_Gain = Gain},
                      .m_Score = *Score};
      // A free place needs no victim.
      if (Evict.empty())
        break;
    }
  }
  return Best;
}

/// Models that no engine holds which stays, the most wanted first.
std::vector<std::string> notResident(const Picture &Now,
                                     const EngineSpec &Spec) {
  std::vector<std::string> Result;
  for (const ModelSpec &Model : Spec.m_Models)
    if (Now.replicas(Model.m_Name) == 0)
      Result.push_back(Model.m_Name);
  std::stable_sort(Result.begin(), Result.end(),
                   [&](const std::string &A, const std::string &B) {
                     return Now.demand(A) > Now.demand(B);
                   });
  return Result;
}

/// Models worth another replica, those with the busiest replicas first.
std::vector<std::string> wanted(const Picture &Now,
                                const std::map<std::string, double> &Demand) {
  constexpr std::size_t MostWanted = 12;
  std::vector<std::pair<double, std::string>> Ranked;
  for (const auto &[Model, Work] : Demand)
    if (const std::size_t Count = Now.replicas(Model); Count > 0 && Work > 0)
      Ranked.emplace_back(Work / static_cast<double>(Count), Model);
  std::sort(Ranked.rbegin(), Ranked.rend());
  std::vector<std::string> Result;
  for (const auto &[Share, Model] : Ranked)
    if (Result.size() < MostWanted)
      Result.push_back(Model);
  return Result;
}

} // namespace

std::string_view sourceName(LoadSource Source) {
  return SourceNames.at(static_cast<std::size_t>(Source));
}

std::string_view reasonName(PlanReason Reason) {
  return ReasonNames.at(static_cast<std::size_t>(Reason));
}

std::vector<PlannedMove> planReplicas(const PlannerInput &Input,
                                      const EngineSpec &Spec,
                                      const PlannerOptions &Opts,
                                      std::size_t Most) {
  Picture Now(Input, Spec);
  std::vector<PlannedMove> Moves;
  std::size_t StoreLoads = Input.m_StoreLoads;
  const auto Take = [&](const Scored &Chosen, PlanReason Reason) {
    Moves.push_back(Chosen.m_Move);
    Moves.back().m_Reason = Reason;
    if (Chosen.m_Move.m_Source == LoadSource::Store)
      --StoreLoads;
    Now.apply(Chosen.m_At, Chosen.m_Move.m_Evict, Chosen.m_Move.m_Load);
  };
  // Nearness decides: what is not resident is not reachable.
  const auto Nearest = [&](std::size_t At, const std::string &, LoadSource From,
                           double Gain) -> std::optional<double> {
    return Gain - Now.busyPart(At) - 10.0 * static_cast<double>(From);
  };
  for (const std::string &Model : notResident(Now, Spec))
    if (Moves.size() < Most)
      if (const auto Place = bestPlace(Now, Model, StoreLoads > 0, Nearest))
        Take(*Place, PlanReason::NotResident);

  const double Scale = 1 + 3 * Opts.m_FewMoves;
  const auto Useful = [&](std::size_t, const std::string &, LoadSource From,
                          double Gain) -> std::optional<double> {
    const double Least =
        Scale * (From == LoadSource::Store ? Opts.m_LeastGainStore
                                           : Opts.m_LeastGainNear);
    if (Gain < Least)
      return std::nullopt;
    return Gain - Least;
  };
  while (Moves.size() < Most) {
    std::optional<Scored> Best;
    for (const std::string &Model : wanted(Now, Input.m_Demand)) {
      const auto Place = bestPlace(Now, Model, StoreLoads > 0, Useful);
      if (Place && (!Best || Place->m_Score > Best->m_Score))
        Best = Place;
    }
    if (!Best)
      break;
    Take(*Best, PlanReason::DemandRose);
  }
  return Moves;
}

} // namespace havenstair
