/// \file
/// Estimates the demand for each model as a rate, including its trend.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_DEMANDRATES_H
#define HAVENSTAIR_DECISIONS_PROCESS_DEMANDRATES_H

#include "decisions/common/Time.h"
#include "decisions/process/ModelDemand.h"
#include <cstddef>
#include <map>

namespace havenstair {

/// Keeps two exponentially weighted rates for each key, a fast and a slow one.
/// Their difference shows whether demand rises, so that a replica is ordered
/// before it is needed: a load takes about as long as demand takes to move.
class DemandRates {
public:
  struct Options {
    /// Time constants of the fast and the slow rate.
    Duration m_Fast = 1s;
    Duration m_Slow = 4s;
    /// Time constant of the baseline, which shows the models that are usually
    /// requested.
    Duration m_Baseline = 30s;
    /// How far ahead demand is predicted from the difference of the two rates.
    double m_LookaheadSeconds = 1.5;
    /// Most keys that are kept, far more than there are models and adapters.
    /// Callers choose the names of adapters.
    std::size_t m_MaxKeys = 16384;
    /// Most bytes of the names of one key.
    std::size_t m_MaxNameBytes = 1024;
  };

  DemandRates() : DemandRates(Options{}) {}
  explicit DemandRates(Options Opts) : m_Opts(Opts) {}

  /// Adds \p Demand that came at \p Now. Without room for \p Key, or if its
  /// names are too long, it does not count. Keys whose demand is long past make
  /// room.
  void add(const ModelKey &Key, const ModelDemand &Demand, TimePoint Now);
  /// Raises the baseline of \p Key to \p Demand, in units per second, where it
  /// is lower. It decays from there as any baseline does.
  void expect(const ModelKey &Key, const ModelDemand &Demand, TimePoint Now);
  /// Predicted rate per second; zero for an unknown key.
  ModelDemand rate(const ModelKey &Key, TimePoint Now) const;
  /// Predicted rates per second of all keys whose rate is high enough to
  /// report.
  ModelDemands rates(TimePoint Now) const;
  /// Mean rates per second over about half a minute, of models without their
  /// adapters.
  ModelDemands baseline(TimePoint Now) const;
  /// Whether any demand was ever added.
  bool empty() const { return m_ByKey.empty(); }

private:
  /// Rates per second of one key as of m_At.
  struct KeyRates {
    ModelDemand m_Fast;
    ModelDemand m_Slow;
    ModelDemand m_Baseline;
    TimePoint m_At{};
  };

  /// \returns the rates of \p Key as of \p Now; null if it is not kept.
  KeyRates *find(const ModelKey &Key, TimePoint Now);
  void expire(TimePoint Now);
  KeyRates decayed(const KeyRates &From, TimePoint Now) const;
  ModelDemand expected(const KeyRates &From) const;

  Options m_Opts;
  std::map<ModelKey, KeyRates> m_ByKey;
  TimePoint m_ExpireAt{}; ///< When keys are next looked through.
};

} // namespace havenstair

#endif
