/// \file
/// Which adapters are on which engines.
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

/// An adapter of a model.
using AdapterKey = std::pair<std::string, std::string>;

/// An engine whose adapters may be changed now.
struct AdapterEngine {
  InstanceId m_Id;
  const EngineLedger *m_Ledger = nullptr;
  double m_Busy = 0; ///< Part of its time; the less busy one is chosen.
  /// Models that are about to make way.
  std::set<std::string> m_Retiring;
  /// Adapters that came a moment ago; requests wait for them.
  std::set<AdapterKey> m_Fresh;
};

struct AdapterMove {
  InstanceId m_Engine;
  ResidencyOrder m_Order;

  bool operator==(const AdapterMove &) const = default;
};

struct AdapterOptions {
  /// Requests a second by copy above which another copy is worth its order.
  double m_RatePerCopy = 1.2;
  /// The same where a planLoad is free.
  double m_RateWhenFree = 0.05;
  /// An adapter makes way only for one that is wanted this many times more.
  double m_SwapFactor = 3;
  /// Whether more copies are planned than what requests wait for.
  bool m_Copies = true;
};

/// The next order for each engine at most. Adapters in \p Missing are waited
/// for and come first, in their order. \p Rates: requests a second.
std::vector<AdapterMove> planAdapters(const std::vector<AdapterEngine> &Engines,
                                      const std::vector<AdapterKey> &Missing,
                                      const std::map<AdapterKey, double> &Rates,
                                      const EngineSpec &Spec,
                                      const AdapterOptions &Opts);

} // namespace havenstair

#endif
