#include "decisions/process/ReplicaSnapshot.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace havenstair {

namespace {

/// Offered work of an engine above which all additional work is lost.
constexpr double Knee = 1.2;

/// Passes over all models until the loads of their replicas have evened out.
constexpr int SettlePasses = 3;

/// Empty when there is no model.
std::string largestModel(const EngineSpec &Spec) {
  const auto Larger = [](const ModelSpec &A, const ModelSpec &B) {
    return A.m_SizeMb < B.m_SizeMb;
  };
  const auto Largest =
      std::max_element(Spec.m_Models.begin(), Spec.m_Models.end(), Larger);
  return Largest == Spec.m_Models.end() ? "" : Largest->m_Name;
}

double sum(const std::map<std::string, double> &Demand) {
  double Sum = 0;
  for (const auto &[Model, Each] : Demand)
    Sum += Each;
  return Sum;
}

} // namespace

double lostWork(double Offered) {
  if (Offered <= Knee)
    return Offered * Offered * Offered / (3 * Knee * Knee);
  return Knee / 3 + Offered - Knee;
}

ReplicaSnapshot::ReplicaSnapshot(const PlannerInput &Input,
                                 const EngineSpec &Spec,
                                 const PlannerOptions &Opts)
    : m_Engines(Input.m_Engines), m_Input(Input), m_Spec(Spec), m_Opts(Opts),
      m_Largest(largestModel(Spec)), m_AllDemand(sum(Input.m_Demand)),
      m_Demand(Input.m_Demand.begin(), Input.m_Demand.end()),
      m_Usual(Input.m_Usual.begin(), Input.m_Usual.end()),
      m_Risk(Input.m_Engines, Opts.m_SpreadWorth) {
  for (const ModelSpec &Model : Spec.m_Models)
    m_Specs[Model.m_Name] = &Model;
  for (std::size_t At = 0; At < m_Engines.size(); ++At)
    if (!m_Engines[At].m_Leaving)
      for (const std::string &Model : m_Engines[At].m_Models)
        addHolder(At, Model);
  m_Offered.resize(m_Engines.size());
  rebalance();
}

std::size_t ReplicaSnapshot::servingCount(const std::string &Model) const {
  const std::set<std::size_t> &Holders = holders(Model);
  return static_cast<std::size_t>(
      std::count_if(Holders.begin(), Holders.end(), [&](std::size_t At) {
        return !m_Engines[At].m_Loading.contains(Model);
      }));
}

double ReplicaSnapshot::demand(const std::string &Model) const {
  const auto Found = m_Demand.find(Model);
  return Found == m_Demand.end() ? 0 : Found->second;
}

std::optional<double>
ReplicaSnapshot::firstServesInMs(const std::string &Model) const {
  std::optional<double> First;
  for (std::size_t At : holders(Model)) {
    const auto Coming = m_Engines[At].m_Loading.find(Model);
    if (Coming == m_Engines[At].m_Loading.end())
      return std::nullopt;
    First = std::min(First.value_or(Coming->second), Coming->second);
  }
  return First;
}

bool ReplicaSnapshot::fits(std::size_t At, const std::string &Evict,
                           const std::string &Load) const {
  double Sum = sizeMb(Load);
  double LargestAdapter = adapterMb(Load);
  for (const std::string &Model : m_Engines[At].m_Models) {
    if (Model == Evict)
      continue;
    Sum += sizeMb(Model);
    LargestAdapter = std::max(LargestAdapter, adapterMb(Model));
  }
  return Sum + m_Spec.m_AdapterCapacity * LargestAdapter <= m_Spec.m_WeightsMb;
}

bool ReplicaSnapshot::hasRoomForLargest(std::size_t At) const {
  return m_Largest.empty() || fits(At, "", m_Largest);
}

double ReplicaSnapshot::drainMs(const std::string &Model) const {
  if (Model.empty())
    return 0;
  // Most of a request's work is to occupy a slot while its answer runs.
  const double Running =
      demand(Model) * m_Spec.m_Slots /
      static_cast<double>(std::max<std::size_t>(1, replicas(Model)));
  return m_Opts.m_LongAnswerMs * (1 - std::exp(-Running));
}

/// Water-filling: raises the least loaded engines up to one common level.
ReplicaSnapshot::Work
ReplicaSnapshot::spread(double Demand, const std::set<std::size_t> &Holders,
                        const Work &Others) const {
  std::vector<std::pair<double, std::size_t>> Rising;
  for (std::size_t At : Holders)
    Rising.emplace_back(Others.at(At), At);
  std::sort(Rising.begin(), Rising.end());
  // Work that raises all engines below the level by one.
  double PerLevel = 0;
  double Level = 0;
  double Left = Demand;
  for (std::size_t Next = 0; Next < Rising.size(); ++Next) {
    const auto [Height, At] = Rising[Next];
    if (PerLevel > 0 && (Height - Level) * PerLevel >= Left)
      break;
    Left -= PerLevel * (Height - Level);
    Level = Height;
    PerLevel += 1 / m_Engines[At].m_Slowness;
  }
  if (PerLevel > 0)
    Level += Left / PerLevel;
  Work Result;
  for (const auto &[Height, At] : Rising)
    Result[At] = std::max(0.0, Level - Height);
  return Result;
}

ReplicaSnapshot::Work
ReplicaSnapshot::othersWork(const std::string &Model,
                            const std::set<std::size_t> &Holders,
                            const Work &Changed) const {
  const auto Placed = m_Placed.find(Model);
  Work Result;
  for (std::size_t At : Holders) {
    const auto New = Changed.find(At);
    double Others = New == Changed.end() ? m_Offered[At] : New->second;
    if (Placed != m_Placed.end())
      if (const auto Own = Placed->second.find(At); Own != Placed->second.end())
        Others -= Own->second;
    Result[At] = std::max(0.0, Others);
  }
  return Result;
}

void ReplicaSnapshot::assignDemand(const std::string &Model) {
  const std::set<std::size_t> &Holders = holders(Model);
  const Work Others = othersWork(Model, Holders, {});
  Work Placed = spread(demand(Model), Holders, Others);
  for (const auto &[At, Before] : m_Placed[Model])
    m_Offered[At] = std::max(0.0, m_Offered[At] - Before);
  for (const auto &[At, Own] : Placed)
    m_Offered[At] += Own;
  m_Placed[Model] = std::move(Placed);
}

void ReplicaSnapshot::rebalance() {
  for (int Pass = 0; Pass < SettlePasses; ++Pass)
    for (const auto &[Model, Demand] : m_Input.m_Demand)
      if (Demand > 0)
        assignDemand(Model);
}

double ReplicaSnapshot::workSaved(const Work &Changed) const {
  double Sum = 0;
  for (const auto &[At, Offered] : Changed)
    Sum += lostWork(m_Offered[At]) - lostWork(Offered);
  return Sum;
}

ReplicaSnapshot::Change ReplicaSnapshot::gain(std::size_t At,
                                              const std::string &Evict,
                                              const std::string &Load) const {
  Work Changed;
  const auto Replace = [&](const std::string &Model,
                           const std::set<std::size_t> &Holders) {
    std::set<std::size_t> Touched = holders(Model);
    Touched.insert(Holders.begin(), Holders.end());
    const Work Others = othersWork(Model, Touched, Changed);
    for (const auto &[Engine, Other] : Others)
      Changed[Engine] = Other;
    for (const auto &[Engine, Own] : spread(demand(Model), Holders, Others))
      Changed[Engine] += Own;
  };
  Change Result;
  double Missed = 0;
  if (!Evict.empty()) {
    std::set<std::size_t> Rest = holders(Evict);
    Rest.erase(At);
    Replace(Evict, Rest);
    Missed = Rest.empty() ? lossWithoutReplica(Evict) : spareWorth(Evict);
    Missed -= m_Risk.reduction(Evict, workOf(Evict),
                               {.m_More = std::nullopt, .m_Less = At});
    Result.m_WhileLoading = workSaved(Changed) - Missed;
  }
  Result.m_Afterwards = Result.m_WhileLoading;
  if (Load.empty())
    return Result;
  std::set<std::size_t> More = holders(Load);
  const bool First = More.empty();
  // The worth of being reachable at all does not justify evicting another
  // model.
  const double ReachableWorth = Evict.empty() ? 0 : m_Opts.m_ReachableWorth;
  More.insert(At);
  Replace(Load, More);
  Result.m_Afterwards =
      workSaved(Changed) - Missed +
      (First ? lossWithoutReplica(Load) - ReachableWorth : 0) +
      riskReductionOf(At, Load);
  return Result;
}

void ReplicaSnapshot::apply(std::size_t At, const std::string &Evict,
                            const std::string &Load, double LoadMs) {
  if (!Evict.empty()) {
    m_Engines[At].m_Models.erase(Evict);
    m_Holders[Evict].erase(At);
    m_Risk.remove(At, Evict);
  }
  m_Engines[At].m_Movable = false;
  if (!Load.empty()) {
    m_Engines[At].m_Models.insert(Load);
    m_Engines[At].m_Loading[Load] = LoadMs;
    addHolder(At, Load);
  }
  rebalance();
}

const std::set<std::size_t> &
ReplicaSnapshot::holders(const std::string &Model) const {
  static const std::set<std::size_t> None;
  const auto Found = m_Holders.find(Model);
  return Found == m_Holders.end() ? None : Found->second;
}

void ReplicaSnapshot::addHolder(std::size_t At, const std::string &Model) {
  m_Holders[Model].insert(At);
  m_Risk.add(At, Model);
}

double ReplicaSnapshot::riskReductionOf(std::size_t At,
                                        const std::string &Model) const {
  return m_Risk.reduction(Model, workOf(Model),
                          {.m_More = At, .m_Less = std::nullopt});
}

DataCentreRisk::Work ReplicaSnapshot::workOf(const std::string &Model) const {
  return {.m_Demand = demand(Model),
          .m_Unreachable = lossWithoutReplica(Model)};
}

double ReplicaSnapshot::usual(const std::string &Model) const {
  const auto Found = m_Usual.find(Model);
  return Found == m_Usual.end() ? 0 : Found->second;
}

double ReplicaSnapshot::lossWithoutReplica(const std::string &Model) const {
  return demand(Model) + m_Opts.m_ReachableWorth + usual(Model) +
         (m_Input.m_Awaited.contains(Model) ? m_Opts.m_AwaitedWorth : 0);
}

double ReplicaSnapshot::spareWorth(const std::string &Model) const {
  return m_Opts.m_SparePart * usual(Model) /
         static_cast<double>(std::max<std::size_t>(1, replicas(Model)));
}

const ModelSpec *ReplicaSnapshot::specOf(const std::string &Model) const {
  const auto Found = m_Specs.find(Model);
  return Found == m_Specs.end() ? nullptr : Found->second;
}

double ReplicaSnapshot::sizeMb(const std::string &Model) const {
  const ModelSpec *Found = specOf(Model);
  return Found == nullptr ? m_Spec.m_WeightsMb : Found->m_SizeMb;
}

double ReplicaSnapshot::adapterMb(const std::string &Model) const {
  const ModelSpec *Found = specOf(Model);
  return Found == nullptr || Found->m_Adapters == 0 ? 0 : Found->m_AdapterMb;
}

} // namespace havenstair
