/// \file
/// The bound on loads that begin from the store of weights.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LOADRATELIMITER_H
#define HAVENSTAIR_DECISIONS_PROCESS_LOADRATELIMITER_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamInstance.h"
#include <optional>
#include <set>

namespace havenstair {

/// In any window, no more loads begin than `LoadsPerS x Window x Overage +
/// Slack`. When a load begins is not known: at any time between the sending of
/// its order and the word that settles it. So an order counts from its sending
/// until a window after it was onSettled. A new order giver assumes that the
/// one before it has used up a whole window just before it stopped.
class LoadRateLimiter {
public:
  struct Options {
    double m_LoadsPerS = 1;
    Duration m_Window = 5s;
    double m_Overage = 1; ///< Factor by which the bound may be passed.
    /// Loads beyond it; the platform allows three, one is kept in hand.
    std::size_t m_Slack = 2;

    bool operator==(const Options &) const = default;
  };

  LoadRateLimiter() = default;

  void configure(Options Opts) { m_Opts = Opts; }
  /// Another order giver gave its last order before \p Until.
  void assumeFullWindow(TimePoint Until) { m_FullWindowUntil = Until; }
  /// Whether a whole window of another order giver's loads is assumed.
  bool assumesFullWindow() const { return m_FullWindowUntil.has_value(); }
  /// Of the other order giver's loads, no more than \p Count may have begun in
  /// the window that ends at \p Now.
  void setFormerLoads(std::size_t Count, TimePoint Now);
  /// Loads that may be onOrdered now.
  std::size_t available(TimePoint Now);
  /// A load from the store is onOrdered from \p Engine, which takes one at a
  /// time.
  void onOrdered(const InstanceId &Engine) { m_Open.insert(Engine); }
  /// \p Count loads that were onOrdered may begin at any time before \p Until.
  void addPossibleStarts(std::size_t Count, TimePoint Until) {
    for (std::size_t Load = 0; Load < Count; ++Load)
      m_Starts.insert(Until);
  }
  /// The load of \p Engine began before \p Until, or never will. Nothing
  /// happens when none is open.
  void onSettled(const InstanceId &Engine, TimePoint Until);

private:
  std::size_t capacity() const;

  Options m_Opts;
  std::set<InstanceId> m_Open;
  std::multiset<TimePoint> m_Starts;
  std::optional<TimePoint> m_FullWindowUntil;
};

} // namespace havenstair

#endif
