/// \file
/// The bound on loads that begin from the store of weights.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LOADCEILING_H
#define HAVENSTAIR_DECISIONS_PROCESS_LOADCEILING_H

#include "decisions/common/Time.h"
#include <deque>

namespace havenstair {

/// In any window, no more loads begin than `LoadsPerS x Window x Overage`. An
/// order without an answer may begin its load at any later time, so it counts
/// until its outcome is known. A new order giver assumes that the one before it
/// has used up a whole window just before it stopped.
class LoadCeiling {
public:
  struct Options {
    double m_LoadsPerS = 1;
    Duration m_Window = 5s;
    double m_Overage = 1; ///< Factor by which the bound may be passed.

    bool operator==(const Options &) const = default;
  };

  LoadCeiling() = default;

  void configure(Options Opts) { m_Opts = Opts; }
  /// Another order giver gave its last order before \p Until.
  void takeOver(TimePoint Until);
  /// Loads that may begin now.
  std::size_t left(TimePoint Now);
  /// A load from the store was ordered.
  void begun(TimePoint Now) { m_Begun.push_back(Now); }
  /// It is not known whether an order was taken, or will be.
  void uncertain() { ++m_Uncertain; }
  /// An uncertain order has been settled; it may have begun until \p Now.
  void settled(TimePoint Now);

private:
  std::size_t most() const;

  Options m_Opts;
  std::deque<TimePoint> m_Begun;
  std::size_t m_Uncertain = 0;
};

} // namespace havenstair

#endif
