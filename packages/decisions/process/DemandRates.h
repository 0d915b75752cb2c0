/// \file
/// Demand by model as a rate, with the direction in which it moves.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_DEMANDRATES_H
#define HAVENSTAIR_DECISIONS_PROCESS_DEMANDRATES_H

#include "decisions/common/Time.h"
#include "decisions/process/ModelDemand.h"
#include <map>

namespace havenstair {

/// Two exponentially weighted rates for each key, a fast and a slow one. Their
/// difference tells whether demand rises, so that a replica is ordered before
/// it is missed: a load takes as long as demand takes to move.
class DemandRates {
public:
  struct Options {
    Duration m_Fast = 1s; ///< Time constants.
    Duration m_Slow = 4s;
    /// Of the rate that tells which models are usually asked for.
    Duration m_Baseline = 30s;
    /// How far ahead demand is told, in seconds, by the difference of the two
    /// rates.
    double m_LookaheadSeconds = 1.5;
  };

  DemandRates() : DemandRates(Options{}) {}
  explicit DemandRates(Options Opts) : m_Opts(Opts) {}

  void add(const ModelKey &Key, const ModelDemand &Demand, TimePoint Now);
  /// \p Key is believed to be asked for at \p Demand usually, until that has
  /// been forgotten as any demand is.
  void expect(const ModelKey &Key, const ModelDemand &Demand, TimePoint Now);
  /// Expected rate per second.
  ModelDemand rate(const ModelKey &Key, TimePoint Now) const;
  /// All keys with a rate worth telling.
  ModelDemands rates(TimePoint Now) const;
  /// Mean rate per second over half a minute or so, by model.
  ModelDemands baseline(TimePoint Now) const;
  /// Whether any demand was ever added.
  bool empty() const { return m_ByKey.empty(); }

private:
  struct KeyRates {
    ModelDemand m_Fast;
    ModelDemand m_Slow;
    ModelDemand m_Baseline;
    TimePoint m_At{};
  };

  KeyRates decayed(const KeyRates &From, TimePoint Now) const;
  ModelDemand expected(const KeyRates &From) const;

  Options m_Opts;
  std::map<ModelKey, KeyRates> m_ByKey;
};

} // namespace havenstair

#endif
