/// \file
/// Estimates by how much loads from the weight store are slowed down.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_STORESLOWNESS_H
#define HAVENSTAIR_DECISIONS_PROCESS_STORESLOWNESS_H

#include <algorithm>

namespace havenstair {

/// Learns the factor by which loads take longer than nominal, as the weight
/// store slows down when many loads run. The factor tells callers when a model
/// will serve, and makes further loads less attractive to the planner.
class StoreSlowness {
public:
  /// Records that a load took \p Factor times its nominal time.
  void observe(double Factor) {
    constexpr double Weight = 0.3; // Of the newest load in the moving average.
    constexpr double MaxFactor = 5;
    m_Factor += Weight * (std::clamp(Factor, 1.0, MaxFactor) - m_Factor);
  }
  /// The moving average of factors, at least 1.
  double factor() const { return m_Factor; }

private:
  double m_Factor = 1;
};

} // namespace havenstair

#endif
