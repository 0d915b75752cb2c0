/// \file
/// Plans which adapters are loaded on which engines.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_ADAPTERPLANNER_H
#define HAVENSTAIR_DECISIONS_PROCESS_ADAPTERPLANNER_H

#include "decisions/process/EngineLedger.h"
#include "decisions/process/ResidencyOrder.h"
#include "decisions/version/ServingConfig.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace havenstair {

/// The name of a model and the name of an adapter of it.
using AdapterKey = std::pair<std::string, std::string>;

/// An engine whose adapters may be changed now.
struct AdapterEngine {
  InstanceId m_Id;
  /// What the engine holds; never null when planned with.
  const EngineLedger *m_Ledger = nullptr;
  /// Fraction of its time for which the engine is busy. Of several engines the
  /// least busy one is used.
  double m_Busy = 0;
  /// Models that are about to be unloaded.
  std::set<std::string> m_Retiring;
  /// Adapters loaded a moment ago; they are not evicted, as requests wait for
  /// them.
  std::set<AdapterKey> m_RecentlyLoaded;
};

/// An order to load or unload an adapter on one engine.
struct AdapterMove {
  InstanceId m_Engine;
  ResidencyOrder m_Order;

  bool operator==(const AdapterMove &) const = default;
};

/// When another copy of an adapter is loaded, and when one is evicted for it.
struct AdapterOptions {
  /// Requests per second and copy above which another copy may evict an
  /// adapter.
  double m_RatePerCopy = 1.2;
  /// Requests per second and copy above which another copy is loaded where an
  /// adapter slot is free.
  double m_RateWhenFree = 0.05;
  /// An adapter is evicted only for one whose rate per copy is more than this
  /// many times as high.
  double m_SwapFactor = 3;
  /// Whether further copies are planned beside the adapters that requests wait
  /// for.
  bool m_Copies = true;
};

/// Plans at most one order for each engine. Adapters in \p Missing have
/// requests that wait for them; they come first, in this order. \p Rates are in
/// requests per second.
std::vector<AdapterMove> planAdapters(const std::vector<AdapterEngine> &Engines,
                                      const std::vector<AdapterKey> &Missing,
                                      const std::map<AdapterKey, double> &Rates,
                                      const EngineSpec &Spec,
                                      const AdapterOptions &Opts);

} // namespace havenstair

#endif
