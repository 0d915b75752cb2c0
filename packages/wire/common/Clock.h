/// \file
/// The one clock by which this process tells how long ago something was.
#ifndef HAVENSTAIR_WIRE_COMMON_CLOCK_H
#define HAVENSTAIR_WIRE_COMMON_CLOCK_H

#include "decisions/common/Time.h"

namespace havenstair {

/// Runs on while the machine is suspended, and is never set. The steady clock
/// stands still then: by it a lease, a permit or a word from another box would
/// be as new after the pause as before, while the others have gone on.
class Clock {
public:
  static TimePoint now();
  /// How long the machine has been suspended since it started, or more by a
  /// constant: only differences mean something.
  static Duration suspendedFor();
  /// Hook for tests: as if the machine had been suspended for \p Time.
  static void skip(Duration Time);
};

} // namespace havenstair

#endif
