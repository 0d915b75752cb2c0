/// \file
/// How much longer loads from the store of weights take than when few run.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_STORESLOWNESS_H
#define HAVENSTAIR_DECISIONS_PROCESS_STORESLOWNESS_H

#include <algorithm>

namespace havenstair {

/// The store of weights slows down when many loads run. What was learned tells
/// callers when a model serves, and makes further loads less attractive.
class StoreSlowness {
public:
  /// A load took \p Factor times its nominal time.
  void observe(double Factor) {
    constexpr double Weight = 0.3;
    constexpr double Most = 5;
    m_Factor += Weight * (std::clamp(Factor, 1.0, Most) - m_Factor);
  }
  /// From 1 upwards.
  double factor() const { return m_Factor; }

private:
  double m_Factor = 1;
};

} // namespace havenstair

#endif
