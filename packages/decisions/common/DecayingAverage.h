/// \file
/// An average of a value over time, of which what is longer ago counts less.
#ifndef HAVENSTAIR_DECISIONS_COMMON_DECAYINGAVERAGE_H
#define HAVENSTAIR_DECISIONS_COMMON_DECAYINGAVERAGE_H

#include "decisions/common/Time.h"
#include <cmath>

namespace havenstair {

/// \returns the part of its weight that something keeps after \p Passed; a time
/// of \p Memory takes it to 1/e.
inline double keptWeight(Duration Passed, Duration Memory) {
  return std::exp(-inSeconds(Passed) / inSeconds(Memory));
}

/// \returns the average \p Before, after a time of \p Passed with \p Value.
inline double decayingAverage(double Before, double Value, Duration Passed,
                              Duration Memory) {
  const double Kept = keptWeight(Passed, Memory);
  return Before * Kept + Value * (1 - Kept);
}

} // namespace havenstair

#endif
