/// \file
/// Work that runs or waits on each upstream, from all boxes.
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
  int m_Running = 0;      ///< Requests onSent and not yet onEnded.
  double m_PendingMs = 0; ///< Work before the first tokens still to come.
  double m_Tokens = 0;    ///< Tokens of prompts and answers in memory.

  bool operator==(const InstanceLoad &) const = default;

  InstanceLoad &operator+=(const InstanceLoad &Other) {
    m_Running += Other.m_Running;
    m_PendingMs += Other.m_PendingMs;
    m_Tokens += Other.m_Tokens;
    return *this;
  }
};

using InstanceLoads = std::map<InstanceId, InstanceLoad>;

/// Sums up what this box onSent and what the other boxes tell.
class LoadTracker {
public:
  /// Longest time that the word of another box counts.
  static constexpr Duration ReportLifetime = 2s;

  void onSent(const InstanceId &To, double WorkMs, double Tokens);
  /// The first token came; the work before it is done.
  void onFirstToken(const InstanceId &To, double WorkMs);
  void onEnded(const InstanceId &To, double Tokens);

  /// What \p Box says of its own requests; replaces what it said before.
  void receiveLoads(const BoxName &Box, InstanceLoads Loads, TimePoint Now);
  /// What has changed of what \p Box said before.
  void receiveChanges(const BoxName &Box, const InstanceLoads &Changes,
                      TimePoint Now);
  /// What has changed of the totals that \p Box tells, which count this box's
  /// own loads as they were last receiveLoads; all of them when \p Whole.
  void receiveAggregate(const BoxName &Box, const InstanceLoads &Changes,
                        bool Whole, TimePoint Now);
  /// Changes of this box's own loads since the last call, when together they
  /// are worth telling at once.
  InstanceLoads takeChanges();
  /// This box's own loads have been receiveLoads as a whole.
  void markAllPublished() { m_Published = m_Own; }
  void forget(const BoxName &Box) { m_Reports.erase(Box); }
  /// \p Of has onFirstToken again: nothing of what was onSent runs there any
  /// more.
  void onRestart(const InstanceId &Of);

  InstanceLoad load(const InstanceId &Of, TimePoint Now) const;
  /// This box's own loads and what the boxes that \p Counts accepts have
  /// receiveLoads.
  InstanceLoads sum(const std::function<bool(const BoxName &)> &Counts,
                    TimePoint Now) const;
  /// Only what went through this box; for the other boxes.
  const InstanceLoads &own() const { return m_Own; }

private:
  struct PeerReport {
    InstanceLoads m_Loads;
    TimePoint m_At;
    bool m_IncludesOwn = false; ///< This box's loads are among them.
  };

  static void apply(const InstanceLoads &Changes, InstanceLoads &To);
  InstanceLoad loadFromOthers(const PeerReport &Of, const InstanceId &Id) const;

  InstanceLoads m_Own;
  InstanceLoads m_Published; ///< As last receiveLoads.
  std::map<BoxName, PeerReport> m_Reports;
};

} // namespace havenstair

#endif
