/// \file
/// The clock by which this process measures elapsed time.
#ifndef HAVENSTAIR_WIRE_COMMON_CLOCK_H
#define HAVENSTAIR_WIRE_COMMON_CLOCK_H

#include "decisions/common/Time.h"

namespace havenstair {

/// A monotonic clock that includes the time in which the machine is suspended.
/// The steady clock does not: by it a lease, a permit or a report of another
/// box would be as new after the suspension as before, while the other boxes
/// have continued.
class Clock {
public:
  static TimePoint now();
  /// Total time for which the machine has been suspended, plus an unknown
  /// constant: only differences are meaningful.
  static Duration suspendedFor();
  /// For tests: advances the clock as if the machine had been suspended for \p
  /// Time.
  static void skip(Duration Time);
};

} // namespace havenstair

#endif
