/// \file
/// Tracks which process leads, that is gives orders to engines, from the boxes'
/// reports to each other. See docs/design/orders.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LEADERVIEW_H
#define HAVENSTAIR_DECISIONS_PROCESS_LEADERVIEW_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include <map>
#include <set>

namespace havenstair {

/// The process that leads and the fencing token under which it does. Of several
/// terms the one with the highest token is the newest.
struct LeaderTerm {
  FencingToken m_Token = 0;
  /// Empty when no leader is known.
  BoxName m_Box;

  bool operator==(const LeaderTerm &) const = default;
};

/// A leader that cannot reach the store goes on while a majority of the boxes
/// confirms it. Another box replaces it only when it receives reports from a
/// majority but not from the leader. Any two majorities share a box, which
/// reports the new leader to the old one long before the new one's first order.
class LeaderView {
public:
  struct Options {
    /// How long a report of a box counts: boxes send four times a second, and a
    /// report echoes what the box received up to a quarter of a second before.
    /// This is well below the time from a new leader's claim to its first
    /// order, 3.3 s.
    Duration m_ReportLifetime = 1s;
    /// A leader that sends nothing for this long may be replaced.
    Duration m_SilenceTimeout = 1200ms;
    /// For this long after a pause of this process, reports are dropped: they
    /// waited in its sockets.
    Duration m_DropAfterPause = 300ms;
  };

  explicit LeaderView(BoxName Self) : LeaderView(std::move(Self), Options{}) {}
  LeaderView(BoxName Self, Options Opts)
      : m_Self(std::move(Self)), m_Opts(Opts) {}

  /// Records that \p From, no earlier than \p SentAfter, reported the term \p
  /// Known and whether it leads itself.
  void receiveReport(const BoxName &From, const LeaderTerm &Known, bool Leading,
                     TimePoint SentAfter, TimePoint Now);
  /// Records a term that the store or this box itself reports. Ignored unless
  /// its token is the highest so far.
  void observeTerm(const LeaderTerm &Term, TimePoint Now);
  /// Sets the boxes whose majority decides, without this one.
  void setMembers(std::set<BoxName> Others);
  /// Records that this process did not run until \p Now, so earlier reports
  /// count no longer.
  void onPause(TimePoint Now);
  void forget(const BoxName &Box) { m_Reports.erase(Box); }

  /// The newest term known; its box is empty when none is.
  const LeaderTerm &leader() const { return m_Leader; }
  /// Whether a majority, including this box, reports this box as the leader.
  bool confirmedByMajority(TimePoint Now) const;
  /// Whether a majority, including this box, has sent reports lately.
  bool majorityReachable(TimePoint Now) const;
  /// Whether the known leader has reported lately that it leads, or is so new
  /// that no report of it can have come yet.
  bool leaderActive(TimePoint Now) const;

private:
  /// The last report of a box.
  struct PeerReport {
    LeaderTerm m_Known;
    bool m_Leading = false;
    /// When it was received.
    TimePoint m_ReceivedAt{};
    /// It was sent no earlier than this; it may have been delayed since.
    TimePoint m_SentAfter{};
  };

  bool fresh(const PeerReport &Report, TimePoint Now) const {
    return Now - Report.m_ReceivedAt <= m_Opts.m_ReportLifetime;
  }
  std::size_t majority() const { return (m_Others.size() + 1) / 2 + 1; }

  BoxName m_Self;
  Options m_Opts;
  LeaderTerm m_Leader;
  TimePoint m_LeaderSince{};
  std::set<BoxName> m_Others;
  std::map<BoxName, PeerReport> m_Reports;
  /// Reports are dropped until then; see onPause().
  TimePoint m_DropUntil{};
};

} // namespace havenstair

#endif
