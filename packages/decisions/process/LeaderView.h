/// \file
/// Who gives orders, as the boxes tell each other.
/// See docs/design/orders.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LEADERVIEW_H
#define HAVENSTAIR_DECISIONS_PROCESS_LEADERVIEW_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include <map>
#include <set>

namespace havenstair {

/// The process that gives orders and the fencing token under which it does.
/// The word with the highest token is the newest.
struct LeaderTerm {
  FencingToken m_Token = 0;
  BoxName m_Box; ///< Empty when nobody is observeTerm.

  bool operator==(const LeaderTerm &) const = default;
};

/// A leader that cannot reach the store goes on while a majority of the boxes
/// vouches for it; another box replaces it only when it hears a majority and
/// not the leader. Any two majorities share a box, which tells the one of the
/// other long before the first order of the new leader.
class LeaderView {
public:
  struct Options {
    /// How long the word of a box counts: boxes tell four times a second, and
    /// what they say echoes what they receiveReport up to a quarter of a second
    /// before. Long before the first order of another leader, 3.3 s after its
    /// claim.
    Duration m_ReportLifetime = 1s;
    /// A leader that says nothing for this long may be replaced.
    Duration m_SilenceTimeout = 1200ms;
    /// After a pause of this process, words that waited in its sockets are
    /// dropped for this long.
    Duration m_DropAfterPause = 300ms;
  };

  explicit LeaderView(BoxName Self) : LeaderView(std::move(Self), Options{}) {}
  LeaderView(BoxName Self, Options Opts)
      : m_Self(std::move(Self)), m_Opts(Opts) {}

  /// \p From said, no earlier than \p SentAfter, whom it knows, and whether it
  /// gives orders itself.
  void receiveReport(const BoxName &From, const LeaderTerm &Known, bool Leading,
                     TimePoint SentAfter, TimePoint Now);
  /// What the store or this box itself says.
  void observeTerm(const LeaderTerm &Leader, TimePoint Now);
  /// The boxes whose majority decides, without this one.
  void setMembers(std::set<BoxName> Others);
  /// This process stood still until \p Now.
  void onPause(TimePoint Now);
  void forget(const BoxName &Box) { m_Reports.erase(Box); }

  const LeaderTerm &leader() const { return m_Leader; }
  /// Whether a majority, with this box, knows this box as the leader.
  bool confirmedByMajority(TimePoint Now) const;
  /// Whether a majority, with this box, has been receiveReport lately.
  bool majorityReachable(TimePoint Now) const;
  /// Whether the observeTerm leader has been receiveReport lately and gives
  /// orders, or is so new that it cannot have been receiveReport.
  bool leaderActive(TimePoint Now) const;

private:
  struct PeerReport {
    LeaderTerm m_Known;
    bool m_Leading = false;
    TimePoint m_ReceivedAt{}; ///< When it came.
    TimePoint m_SentAfter{};  ///< It may have been held up since then.
  };

  bool fresh(const PeerReport &Of, TimePoint Now) const {
    return Now - Of.m_ReceivedAt <= m_Opts.m_ReportLifetime;
  }
  std::size_t majority() const { return (m_Others.size() + 1) / 2 + 1; }

  BoxName m_Self;
  Options m_Opts;
  LeaderTerm m_Leader;
  TimePoint m_LeaderSince{};
  std::set<BoxName> m_Others;
  std::map<BoxName, PeerReport> m_Reports;
  TimePoint m_DropUntil{};
};

} // namespace havenstair

#endif
