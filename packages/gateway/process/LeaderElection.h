/// \file
/// Election of the box that sends orders to engines, by a key in the store and
/// by what the boxes report of it. See docs/design/orders.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LEADERELECTION_H
#define HAVENSTAIR_GATEWAY_PROCESS_LEADERELECTION_H

#include "decisions/process/LeaderView.h"
#include "gateway/process/LeasedKey.h"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace havenstair {

class DecisionLog;

/// Holds the leader's key under a lease; the key's revision and era make the
/// fencing token. Claims the key when this box receives digests of a majority
/// of the voters and none of an active leader.
class LeaderElection {
public:
  struct Options {
    std::string m_Prefix; ///< Prefix of the keys that this box may write.
    /// Name of this machine; the same for all its processes.
    std::string m_Machine;
    std::string m_Process; ///< Name of this process.
    /// Long, so that the leader goes on while the store is unreachable. Another
    /// box takes over by replacing the key, not by waiting for the lease to
    /// end.
    Duration m_Lease = 20s;
  };
  /// The leader before this box took the key.
  struct Predecessor {
    std::string m_Machine;
    bool m_None = false;        ///< There never was a leader.
    bool m_SameMachine = false; ///< It was a process of this machine.
    bool m_SameProcess = false; ///< It was this process.
  };
  struct Hooks {
    /// This box has taken the key.
    std::function<void(const Predecessor &)> m_Elected;
    /// This box has lost the key, or can no longer be sure of it.
    std::function<void()> m_Lost;
    /// Returns whether this process knows enough to lead.
    std::function<bool()> m_Prepared;
    /// Returns as of when the store's keys, the leader's among them, are known.
    std::function<TimePoint()> m_KeysReadAt;
    /// Returns the newest era of the store that is known.
    std::function<StoreEra()> m_Era;
    std::function<double()> m_Random; ///< Returns a random number from 0 to 1.
  };

  LeaderElection(CoordinationStore &Store, DecisionLog &Log, Options Opts,
                 Hooks Callbacks);
  LeaderElection(const LeaderElection &) = delete;
  LeaderElection &operator=(const LeaderElection &) = delete;

  /// The store's keys have changed; \p Items are all keys under the prefix, as
  /// of \p At.
  void entriesChanged(const std::map<std::string, StoreItem> &Items,
                      const StoreRevision &At);
  /// The store came back from a copy. The copy may name an earlier leader, so
  /// that only a majority can confirm this box until it has claimed the key
  /// again.
  void onStoreRestored(TimePoint Now) { m_Key.onStoreRestored(Now, 0us); }
  /// Records which leader \p From knows, and whether \p From leads itself, by a
  /// report that was sent no earlier than \p SaidAfter.
  void recordPeerView(const BoxName &From, const LeaderTerm &Leader,
                      bool Giving, TimePoint SaidAfter);
  /// Sets the other boxes whose majority decides, and whether this box may
  /// claim.
  void setVoters(std::set<BoxName> Others, bool Eligible);
  /// The link to \p Box is gone.
  void boxLost(const BoxName &Box) { m_View.forget(Box); }
  /// Renews or claims the key when that is due; to be called often.
  void tick(TimePoint Now);
  /// Gives up the key.
  void release() { m_Key.release(); }

  /// The newest leader that this box knows.
  const LeaderTerm &leader() const { return m_View.leader(); }
  /// Whether this box may claim the key.
  bool eligible() const { return m_Eligible; }
  /// Whether this box holds the key, as far as it knows.
  bool leading() const { return m_Leading; }
  /// Fencing token of this box's last term as the leader; 0 before the first.
  /// It rises within a term when the key is claimed again.
  FencingToken token() const { return m_Token; }
  /// Counts this box's terms as the leader.
  std::uint64_t term() const { return m_Term; }
  /// Whether this box holds the key, as far as it knows, in its term \p Term.
  bool leadsIn(std::uint64_t Term) const { return m_Leading && Term == m_Term; }
  /// Whether an order may be sent now: the lease has not expired, and either
  /// the key was read lately or a majority confirms this box as the leader.
  bool confirmed(TimePoint Now) const;

private:
  StoreEra writtenIn(const std::map<std::string, StoreItem> &Items,
                     const std::string &Process) const;
  std::optional<StoreTransaction> claim(LeaseId Lease) const;
  void claimed(StoreRevision Revision);
  void lost();
  bool mayClaim(TimePoint Now) const;
  bool mayReclaim(TimePoint Now) const;
  bool knowsEntries() const;
  bool keyReadLately(TimePoint Now) const;
  bool claimDue(TimePoint Now);
  void stopIfReplaced();
  void noticePause(TimePoint Now);

  DecisionLog &m_Log;
  Options m_Opts;
  Hooks m_Hooks;
  LeaderView m_View;
  LeasedKey m_Key;
  StoreRevision m_EntriesAt; ///< As of which the store's keys are known.
  bool m_Eligible = true;
  std::ptrdiff_t m_Voters = 0; ///< Number of other boxes that may claim.
  StoreRevision m_KeyRevision; ///< None when nobody holds the key.
  /// Revision of the key that names the last leader's machine; none when there
  /// never was a leader.
  StoreRevision m_TermRevision;
  std::string m_TermMachine; ///< Machine of the last leader.
  TimePoint m_TickedAt{};
  /// When this box claims the key; none while it may not.
  std::optional<TimePoint> m_ClaimFrom;
  bool m_Leading = false;
  StoreEra m_ClaimedEra = FirstEra; ///< Era in which the key was claimed.
  FencingToken m_Token = 0;
  std::uint64_t m_Term = 0;
};

} // namespace havenstair

#endif
