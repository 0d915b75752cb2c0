/// \file
/// Limits the rate at which loads from the store of weights begin.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LOADRATELIMITER_H
#define HAVENSTAIR_DECISIONS_PROCESS_LOADRATELIMITER_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamInstance.h"
#include <optional>
#include <set>

namespace havenstair {

/// In any window, no more loads begin than `m_LoadsPerSecond x m_Window x
/// m_Overage
/// + m_Slack`. It is not known when a load begins: at any time between the
/// sending of its order and the message that settles the order. So an order
/// counts from its sending until one window after it was settled. A new leader
/// assumes that its predecessor used up a whole window just before it stopped.
class LoadRateLimiter {
public:
  struct Options {
    /// Loads per second.
    double m_LoadsPerSecond = 1;
    /// Length of the sliding window over which loads are counted.
    Duration m_Window = 5s;
    /// Factor by which the bound may be exceeded.
    double m_Overage = 1;
    /// Loads beyond the bound; the platform allows three, one is kept in
    /// reserve.
    std::size_t m_Slack = 2;

    bool operator==(const Options &) const = default;
  };

  LoadRateLimiter() = default;

  /// Changes the limit; loads that were counted before still count.
  void configure(Options Opts) { m_Opts = Opts; }
  /// Assumes that the former leader, which gave its last order before \p Until,
  /// used up a whole window then.
  void assumeFullWindow(TimePoint Until) { m_FullWindowUntil = Until; }
  /// Whether a whole window of the former leader's loads is assumed.
  bool assumesFullWindow() const { return m_FullWindowUntil.has_value(); }
  /// Ends that assumption: no more than \p Count loads of the former leader may
  /// have begun in the window that ends at \p Now.
  void setFormerLoads(std::size_t Count, TimePoint Now);
  /// Number of loads that may be ordered at \p Now.
  std::size_t available(TimePoint Now);
  /// Records that a load from the store is ordered on \p Engine, which takes
  /// one order at a time.
  void onOrdered(const InstanceId &Engine) { m_Open.insert(Engine); }
  /// Records that \p Count ordered loads may begin at any time before \p Until.
  void addPossibleStarts(std::size_t Count, TimePoint Until) {
    for (std::size_t Load = 0; Load < Count; ++Load)
      m_Starts.insert(Until);
  }
  /// Records that the load of \p Engine began before \p Until or never will.
  /// Does nothing when none is open.
  void onSettled(const InstanceId &Engine, TimePoint Until);

private:
  /// Most loads in one window; at least 1.
  std::size_t capacity() const;

  Options m_Opts;
  /// Engines with a load that is ordered but not settled.
  std::set<InstanceId> m_Open;
  /// Latest possible starts of settled loads.
  std::multiset<TimePoint> m_Starts;
  /// When the window assumed to be used up ended; empty when none is assumed.
  std::optional<TimePoint> m_FullWindowUntil;
};

} // namespace havenstair

#endif
