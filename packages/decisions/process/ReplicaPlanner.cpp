#include "decisions/process/ReplicaPlanner.h"

#include "decisions/process/ReplicaSnapshot.h"
#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace havenstair {

namespace {

constexpr std::array<std::string_view, 3> SourceNames{"memory", "disk",
                                                      "store"};
constexpr std::array<std::string_view, 3> ReasonNames{
    "not_resident", "demand_rose", "not_wanted"};

/// Below this demand, as a multiple of an engine's capacity, a model's replicas
/// may be evicted at any time.
constexpr double LittleDemand = 0.05;

/// Whether \p Model may be evicted from an engine that holds it.
bool mayEvict(const ReplicaSnapshot &Snapshot, std::size_t At,
              const std::string &Model) {
  const PlannedEngine &Engine = Snapshot.engines()[At];
  const bool HasDemand = Snapshot.demand(Model) >= LittleDemand;
  const bool RecentlyLoaded = Engine.m_RecentlyLoaded.contains(Model);
  if (Snapshot.servingCount(Model) >= 2)
    return !HasDemand || !RecentlyLoaded;
  // A replica that is still loading is no replacement yet.
  return Snapshot.replicas(Model) == 1 && !Engine.m_Loading.contains(Model) &&
         !HasDemand && !RecentlyLoaded;
}

/// Models that may be evicted from an engine; the empty name stands for no
/// eviction. The models that engines start with are a guess at the demand, so
/// they stay until there is any.
std::vector<std::string> evictable(const ReplicaSnapshot &Snapshot,
                                   std::size_t At) {
  std::vector<std::string> Result{""};
  if (Snapshot.demand() < LittleDemand)
    return Result;
  for (const std::string &Model : Snapshot.engines()[At].m_Models)
    if (mayEvict(Snapshot, At, Model))
      Result.push_back(Model);
  return Result;
}

/// Searches for the moves of one plan, the most useful first.
class MoveSearch {
public:
  MoveSearch(const PlannerInput &Input, const EngineSpec &Spec,
             const PlannerOptions &Opts)
      : m_Spec(Spec), m_Opts(Opts), m_Snapshot(Input, Spec, Opts),
        m_StoreLoads(Input.m_StoreLoads),
        m_StoreSlowness(Input.m_StoreSlowness) {}

  std::optional<PlannedMove> next() {
    std::optional<Scored> Best;
    for (const std::string &Model : wanted())
      if (auto Place = bestPlace(Model);
          Place && (!Best || Place->m_Move.m_Gain > Best->m_Move.m_Gain))
        Best = std::move(Place);
    if (!Best)
      return std::nullopt;
    const PlannedMove &Move = Best->m_Move;
    if (Move.m_Source == LoadSource::Store)
      --m_StoreLoads;
    apply(Best->m_At, Move.m_Evict, Move.m_Load,
          servesInMs(Move.m_Evict, Move.m_Load, Move.m_Source));
    return Move;
  }

  /// Evicts a replica of little worth from an engine without room for the
  /// largest model.
  std::optional<PlannedMove> nextRelease() {
    for (std::size_t At = 0; At < m_Snapshot.engines().size(); ++At) {
      const PlannedEngine &Engine = m_Snapshot.engines()[At];
      if (!Engine.m_Movable || Engine.m_Leaving ||
          m_Snapshot.hasRoomForLargest(At))
        continue;
      // A copy, because `apply` clears the cached victims.
      const std::vector<Victim> Candidates = victims(At);
      for (const auto &[Model, Worth] : Candidates) {
        if (Model.empty() ||
            m_Snapshot.gain(At, Model, "").m_Afterwards < -m_Opts.m_ReleaseLoss)
          continue;
        apply(At, Model, "", 0);
        return PlannedMove{.m_Engine = Engine.m_Id,
                           .m_Evict = Model,
                           .m_Load = {},
                           .m_Source = LoadSource::Disk,
                           .m_Reason = PlanReason::NotWanted};
      }
    }
    return std::nullopt;
  }

private:
  /// A model that may be evicted from an engine, or an empty name, with the
  /// approximate worth of one replica.
  struct Victim {
    std::string m_Model;
    double m_Worth = 0;
  };
  struct Scored {
    std::size_t m_At = 0;
    PlannedMove m_Move;
  };

  /// Models without a replica, and those whose replicas have the most load.
  std::vector<std::string> wanted() const {
    constexpr std::size_t MostWanted = 12;
    std::vector<std::pair<double, std::string>> Ranked;
    for (const ModelSpec &Model : m_Spec.m_Models) {
      const std::size_t Count = m_Snapshot.replicas(Model.m_Name);
      const double Demand = m_Snapshot.demand(Model.m_Name);
      if (Count == 0)
        Ranked.emplace_back(m_Snapshot.lossWithoutReplica(Model.m_Name),
                            Model.m_Name);
      else if (Demand > 0)
        Ranked.emplace_back(Demand / static_cast<double>(Count), Model.m_Name);
    }
    std::sort(Ranked.rbegin(), Ranked.rend());
    std::vector<std::string> Result;
    for (const auto &[Share, Model] : Ranked)
      if (Result.size() < MostWanted)
        Result.push_back(Model);
    return Result;
  }

  /// The victims on the engine \p At, cached until the next move.
  const std::vector<Victim> &victims(std::size_t At) const {
    m_Victims.resize(m_Snapshot.engines().size());
    std::vector<Victim> &Cached = m_Victims[At];
    if (Cached.empty())
      for (std::string &Model : evictable(m_Snapshot, At)) {
        const double Worth = worthAt(Model);
        Cached.push_back({.m_Model = std::move(Model), .m_Worth = Worth});
      }
    return Cached;
  }

  void apply(std::size_t At, const std::string &Evict, const std::string &Load,
             double LoadMs) {
    m_Snapshot.apply(At, Evict, Load, LoadMs);
    m_Victims.clear();
  }

  LoadSource sourceAt(std::size_t At, const std::string &Model) const {
    const PlannedEngine &Engine = m_Snapshot.engines()[At];
    return nearestSource(Engine.m_InMemory, Engine.m_OnDisk, Model);
  }

  /// Approximate cost of a load: the engine's current load and the worth
  /// of the cheapest victim. Empty when the model does not fit.
  std::optional<double> roughCost(std::size_t At,
                                  const std::string &Model) const {
    /// A load from the store takes about 5 s longer than one from host memory
    /// or disk.
    constexpr double StoreLoadCost = 0.1;
    std::optional<double> Cheapest;
    for (const auto &[Evict, Worth] : victims(At))
      if (Worth < Cheapest.value_or(Worth + 1) &&
          m_Snapshot.fits(At, Evict, Model))
        Cheapest = Worth;
    if (!Cheapest)
      return std::nullopt;
    return m_Snapshot.offeredWork(At) + *Cheapest -
           m_Snapshot.riskReductionOf(At, Model) +
           (sourceAt(At, Model) == LoadSource::Store ? StoreLoadCost : 0);
  }

  /// Approximate worth of one replica of \p Model.
  double worthAt(const std::string &Model) const {
    const std::size_t Count = m_Snapshot.replicas(Model);
    if (Model.empty() || Count == 0)
      return 0;
    return Count == 1 ? m_Snapshot.lossWithoutReplica(Model)
                      : m_Snapshot.demand(Model) / static_cast<double>(Count) +
                            m_Snapshot.spareWorth(Model);
  }

  /// The engines with the lowest approximate cost for a load of \p Model.
  std::vector<std::size_t> places(const std::string &Model) const {
    std::vector<std::pair<double, std::size_t>> Ranked;
    for (std::size_t At = 0; At < m_Snapshot.engines().size(); ++At) {
      const PlannedEngine &Engine = m_Snapshot.engines()[At];
      if (!Engine.m_Movable || Engine.m_Leaving ||
          Engine.m_Models.contains(Model))
        continue;
      if (m_StoreLoads == 0 && sourceAt(At, Model) == LoadSource::Store)
        continue;
      if (const auto Cost = roughCost(At, Model))
        Ranked.emplace_back(*Cost, At);
    }
    const auto Count = std::min(m_Opts.m_MaxCandidates, Ranked.size());
    std::partial_sort(Ranked.begin(),
                      Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                      Ranked.end());
    std::vector<std::size_t> Result;
    for (std::size_t Rank = 0; Rank < Count; ++Rank)
      Result.push_back(Ranked[Rank].second);
    return Result;
  }

  std::optional<Scored> bestPlace(const std::string &Model) const {
    std::optional<Scored> Best;
    for (const std::size_t At : places(Model)) {
      const PlannedEngine &Engine = m_Snapshot.engines()[At];
      const LoadSource Source = sourceAt(At, Model);
      for (const auto &[Evict, Worth] : victims(At)) {
        if (!m_Snapshot.fits(At, Evict, Model))
          continue;
        const double Gain = gain(At, Evict, Model, Source);
        if (Gain >= minimumGain(Model, Source) &&
            (!Best || Gain > Best->m_Move.m_Gain))
          Best = Scored{
              .m_At = At,
              .m_Move = {.m_Engine = Engine.m_Id,
                         .m_Evict = Evict,
                         .m_Load = Model,
                         .m_Source = Source,
                         .m_Reason = m_Snapshot.replicas(Model) == 0
                                         ? PlanReason::NotResident
                                         : PlanReason::DemandRose,
                         .m_ServesInMs = servesInMs(Evict, Model, Source),
                         .m_Gain = Gain}};
        // With enough free memory no victim is needed.
        if (Evict.empty())
          break;
      }
    }
    return Best;
  }

  double servesInMs(const std::string &Evict, const std::string &Model,
                    LoadSource Source) const {
    const double Slowness = Source == LoadSource::Store ? m_StoreSlowness : 1;
    return m_Snapshot.drainMs(Evict) +
           Slowness * inMillis(loadTime(m_Snapshot.specOf(Model), Source));
  }

  /// Work saved per second, averaged until the horizon.
  double gain(std::size_t At, const std::string &Evict,
              const std::string &Model, LoadSource Source) const {
    const ReplicaSnapshot::Change Change = m_Snapshot.gain(At, Evict, Model);
    const double Horizon = m_Opts.m_HorizonMs;
    const double Until = std::min(Horizon, servesInMs(Evict, Model, Source));
    double Saved =
        Change.m_WhileLoading * Until + Change.m_Afterwards * (Horizon - Until);
    // Until the first replica serves, all demand for the model is lost.
    if (const auto First = m_Snapshot.firstServesInMs(Model))
      Saved += m_Snapshot.demand(Model) *
               std::max(0.0, std::min(Horizon, *First) - Until);
    return Saved / Horizon;
  }

  double minimumGain(const std::string &Model, LoadSource Source) const {
    if (m_Snapshot.replicas(Model) == 0)
      return 0;
    const double Scale = 1 + 3 * m_Opts.m_FewMoves;
    return Scale * (Source == LoadSource::Store ? m_Opts.m_LeastGainStore
                                                : m_Opts.m_LeastGainNear);
  }

  const EngineSpec &m_Spec;
  const PlannerOptions &m_Opts;
  ReplicaSnapshot m_Snapshot;
  std::size_t m_StoreLoads;
  double m_StoreSlowness;
  mutable std::vector<std::vector<Victim>> m_Victims; ///< By engine.
};

} // namespace

std::string_view sourceName(LoadSource Source) {
  return SourceNames.at(static_cast<std::size_t>(Source));
}

LoadSource nearestSource(const std::set<std::string> &InMemory,
                         const std::set<std::string> &OnDisk,
                         const std::string &Model) {
  if (InMemory.contains(Model))
    return LoadSource::HostMemory;
  return OnDisk.contains(Model) ? LoadSource::Disk : LoadSource::Store;
}

Duration loadTime(const ModelSpec *Model, LoadSource Source) {
  if (Model == nullptr)
    return 1s;
  switch (Source) {
  case LoadSource::HostMemory:
    return Model->m_MemoryLoad;
  case LoadSource::Disk:
    return Model->m_DiskLoad;
  case LoadSource::Store:
    return Model->m_StoreLoad;
  }
  return Model->m_StoreLoad;
}

std::string_view reasonName(PlanReason Reason) {
  return ReasonNames.at(static_cast<std::size_t>(Reason));
}

std::vector<PlannedMove> planReplicas(const PlannerInput &Input,
                                      const EngineSpec &Spec,
                                      const PlannerOptions &Opts,
                                      std::size_t Most) {
  MoveSearch Search(Input, Spec, Opts);
  std::vector<PlannedMove> Moves;
  while (Moves.size() < Most) {
    const auto Move = Search.next();
    if (!Move)
      break;
    Moves.push_back(*Move);
  }
  while (Moves.size() < Most) {
    const auto Move = Search.nextRelease();
    if (!Move)
      break;
    Moves.push_back(*Move);
  }
  return Moves;
}

} // namespace havenstair
