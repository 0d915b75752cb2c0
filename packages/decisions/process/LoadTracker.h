/// \file
/// Tracks the work that runs or waits on each upstream, from all boxes.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LOADTRACKER_H
#define HAVENSTAIR_DECISIONS_PROCESS_LOADTRACKER_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamInstance.h"
#include <functional>
#include <map>

namespace havenstair {

/// Load of one upstream through one box, or the sum over boxes.
struct InstanceLoad {
  /// Requests sent and not yet ended.
  int m_Running = 0;
  /// Milliseconds of work before the first tokens still to come.
  double m_PendingMs = 0;
  /// Tokens of prompts and answers in the upstream's memory.
  double m_Tokens = 0;

  bool operator==(const InstanceLoad &) const = default;

  InstanceLoad &operator+=(const InstanceLoad &Other) {
    m_Running += Other.m_Running;
    m_PendingMs += Other.m_PendingMs;
    m_Tokens += Other.m_Tokens;
    return *this;
  }
};

using InstanceLoads = std::map<InstanceId, InstanceLoad>;

/// Adds up the load that this box caused and the loads that other boxes report.
class LoadTracker {
public:
  /// How long a report of another box counts.
  static constexpr Duration ReportLifetime = 2s;

  /// A request of \p WorkMs of work and \p Tokens tokens was sent to \p To.
  void onSent(const InstanceId &To, double WorkMs, double Tokens);
  /// The first token came, so the work of \p WorkMs before it is done.
  void onFirstToken(const InstanceId &To, double WorkMs);
  /// A request of \p Tokens tokens ended.
  void onEnded(const InstanceId &To, double Tokens);

  /// Replaces the loads that \p Box reported of its own requests.
  void receiveLoads(const BoxName &Box, InstanceLoads Loads, TimePoint Now);
  /// Applies changes to the loads that \p Box reported before; ignored when it
  /// has reported none. An empty load removes the entry.
  void receiveChanges(const BoxName &Box, const InstanceLoads &Changes,
                      TimePoint Now);
  /// Applies changes to the aggregate that \p Box reports over several boxes,
  /// which includes this box's own loads as last published. \p Whole means that
  /// \p Changes is the whole aggregate.
  void receiveAggregate(const BoxName &Box, const InstanceLoads &Changes,
                        bool Whole, TimePoint Now);
  /// Changes of this box's own loads since the last call that are large enough
  /// to publish at once.
  InstanceLoads takeChanges();
  /// Records that all of this box's own loads have been published.
  void markAllPublished() { m_Published = m_Own; }
  /// Forgets what \p Box reported.
  void forget(const BoxName &Box) { m_Reports.erase(Box); }
  /// Records that \p Upstream has restarted, so nothing that was sent to it
  /// runs there any more.
  void onRestart(const InstanceId &Upstream);

  /// Load of \p Upstream through all boxes whose reports count at \p Now.
  InstanceLoad load(const InstanceId &Upstream, TimePoint Now) const;
  /// This box's own loads plus those reported by the boxes that \p Counts
  /// accepts.
  InstanceLoads sum(const std::function<bool(const BoxName &)> &Counts,
                    TimePoint Now) const;
  /// The loads of requests through this box only, to publish to other boxes.
  const InstanceLoads &own() const { return m_Own; }

private:
  /// What another box last reported.
  struct PeerReport {
    InstanceLoads m_Loads;
    TimePoint m_At;
    /// Whether the loads are an aggregate that includes this box's.
    bool m_IncludesOwn = false;
  };

  static void apply(const InstanceLoads &Changes, InstanceLoads &To);
  InstanceLoad loadFromOthers(const PeerReport &Report,
                              const InstanceId &Id) const;

  InstanceLoads m_Own;
  /// This box's own loads as last published.
  InstanceLoads m_Published;
  std::map<BoxName, PeerReport> m_Reports;
};

} // namespace havenstair

#endif
