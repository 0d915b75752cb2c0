#include "decisions/process/AdapterPlanner.h"

#include <algorithm>

namespace havenstair {

namespace {

class AdapterPlan {
public:
  AdapterPlan(const std::vector<AdapterEngine> &Engines,
              const std::map<AdapterKey, double> &Rates, const EngineSpec &Spec)
      : m_Rates(Rates), m_Spec(Spec) {
    for (const AdapterEngine &Engine : Engines)
      for (const ResidentModel &Model : Engine.m_Ledger->models()) {
        m_Holders[Model.m_Name].push_back(&Engine);
        for (const std::string &Adapter : Model.m_Adapters)
          ++m_Copies[{Model.m_Name, Adapter}];
      }
  }

  double rate(const AdapterKey &Key) const {
    const auto Found = m_Rates.find(Key);
    return Found == m_Rates.end() ? 0 : Found->second;
  }

  int copies(const AdapterKey &Key) const {
    const auto Found = m_Copies.find(Key);
    return Found == m_Copies.end() ? 0 : Found->second;
  }

  /// Whether a copy is being loaded on any engine.
  bool isLoading(const AdapterKey &Key) const {
    const Holders &Engines = holders(Key.first);
    return std::any_of(
        Engines.begin(), Engines.end(), [&](const AdapterEngine *Each) {
          return Each->m_Ledger->isLoading(Key.first, Key.second);
        });
  }

  /// Plans the load of \p Key, or the unload that frees a slot for it. \p
  /// MayEvict decides whether a given adapter may be evicted.
  template <typename EvictionTest>
  bool planLoad(const AdapterKey &Key, EvictionTest MayEvict) {
    const ResidencyOrder Load{
        .m_Load = true, .m_Model = Key.first, .m_Adapter = Key.second};
    const AdapterEngine *Free = nullptr;
    const AdapterEngine *Full = nullptr;
    for (const AdapterEngine *Each : holders(Key.first)) {
      if (m_Planned.contains(Each->m_Id) ||
          Each->m_Retiring.contains(Key.first) ||
          Each->m_Ledger->holds(Key.first, Key.second))
        continue;
      const bool Fits = Each->m_Ledger->allows(Load, m_Spec);
      const AdapterEngine *&Best = Fits ? Free : Full;
      if (Best == nullptr || Each->m_Busy < Best->m_Busy)
        Best = Each;
    }
    if (Free != nullptr)
      return addMove(*Free, Load);
    return Full != nullptr && planUnload(*Full, MayEvict);
  }

  std::vector<AdapterMove> moves() && { return std::move(m_Moves); }

private:
  using Holders = std::vector<const AdapterEngine *>;

  /// Engines that hold \p Model, in their order. An adapter can be loaded only
  /// where its model is.
  const Holders &holders(const std::string &Model) const {
    static const Holders None;
    const auto Found = m_Holders.find(Model);
    return Found == m_Holders.end() ? None : Found->second;
  }

  bool addMove(const AdapterEngine &At, ResidencyOrder Order) {
    m_Planned.insert(At.m_Id);
    m_Moves.push_back({.m_Engine = At.m_Id, .m_Order = std::move(Order)});
    return true;
  }

  /// Plans to unload the adapter on \p At with the lowest rate per copy.
  template <typename EvictionTest>
  bool planUnload(const AdapterEngine &At, EvictionTest MayEvict) {
    std::optional<AdapterKey> LeastWanted;
    for (const ResidentModel &Model : At.m_Ledger->models())
      for (const std::string &Adapter : Model.m_Adapters) {
        const AdapterKey Key{Model.m_Name, Adapter};
        if (At.m_RecentlyLoaded.contains(Key))
          continue;
        if (!LeastWanted || ratePerCopy(Key) < ratePerCopy(*LeastWanted))
          LeastWanted = Key;
      }
    if (!LeastWanted || !MayEvict(*LeastWanted))
      return false;
    const ResidencyOrder Unload{.m_Load = false,
                                .m_Model = LeastWanted->first,
                                .m_Adapter = LeastWanted->second};
    return At.m_Ledger->allows(Unload, m_Spec) && addMove(At, Unload);
  }

  double ratePerCopy(const AdapterKey &Key) const {
    return rate(Key) / std::max(1, copies(Key));
  }

  std::map<std::string, Holders> m_Holders;
  const std::map<AdapterKey, double> &m_Rates;
  const EngineSpec &m_Spec;
  std::map<AdapterKey, int> m_Copies;
  std::set<InstanceId> m_Planned;
  std::vector<AdapterMove> m_Moves;
};

} // namespace

std::vector<AdapterMove> planAdapters(const std::vector<AdapterEngine> &Engines,
                                      const std::vector<AdapterKey> &Missing,
                                      const std::map<AdapterKey, double> &Rates,
                                      const EngineSpec &Spec,
                                      const AdapterOptions &Opts) {
  AdapterPlan Plan(Engines, Rates, Spec);
  for (const AdapterKey &Key : Missing)
    if (Plan.copies(Key) == 0 && !Plan.isLoading(Key))
      Plan.planLoad(Key, [](const AdapterKey &) { return true; });
  if (!Opts.m_Copies)
    return std::move(Plan).moves();
  std::vector<std::pair<double, AdapterKey>> Wanted;
  for (const auto &[Key, Rate] : Rates) {
    const double PerCopy = Rate / std::max(1, Plan.copies(Key));
    if (PerCopy > Opts.m_RateWhenFree && !Plan.isLoading(Key))
      Wanted.emplace_back(PerCopy, Key);
  }
  std::sort(Wanted.rbegin(), Wanted.rend());
  for (const auto &[PerCopy, Key] : Wanted) {
    const double After = Plan.rate(Key) / (Plan.copies(Key) + 1);
    const bool Hot = PerCopy > Opts.m_RatePerCopy;
    Plan.planLoad(Key, [&](const AdapterKey &Victim) {
      return Hot && Plan.rate(Victim) * Opts.m_SwapFactor < After;
    });
  }
  return std::move(Plan).moves();
}

} // namespace havenstair
