/// \file
/// Which box gives orders: the key in the store and what the boxes say of it.
/// See docs/design/orders.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LEADERELECTION_H
#define HAVENSTAIR_GATEWAY_PROCESS_LEADERELECTION_H

#include "decisions/process/HolderView.h"
#include "gateway/process/LeasedKey.h"
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace havenstair {

class DecisionLog;

/// Holds the order giver's key under a lease; its revision is the fencing
/// token. Claims the key when a majority of the voters is heard and the holder
/// is not.
class LeaderElection {
public:
  struct Options {
    std::string m_Prefix;  ///< Of the keys that this writes.
    std::string m_Machine; ///< This machine; the same for all its starts.
    std::string m_Process; ///< This start of the process.
    /// Long, so that orders go on while the store is down. Another box takes
    /// over by replacing the key, not by waiting for its end.
    Duration m_Lease = 20s;
  };
  /// Whose turn ended when this box took the key.
  struct Predecessor {
    std::string m_Machine;
    bool m_None = false;        ///< Nobody ever gave orders.
    bool m_SameMachine = false; ///< An earlier start on this machine.
  };
  struct Hooks {
    std::function<void(const Predecessor &)> m_Elected;
    std::function<void()> m_Lost;
    /// Whether this process knows enough to give orders.
    std::function<bool()> m_Prepared;
    /// When the store's keys, the holder's among them, were last read.
    std::function<TimePoint()> m_KeysReadAt;
    std::function<double()> m_Random; ///< From 0 to 1.
  };

  LeaderElection(CoordinationStore &Store, DecisionLog &Log, Options Opts,
                 Hooks Callbacks);
  LeaderElection(const LeaderElection &) = delete;
  LeaderElection &operator=(const LeaderElection &) = delete;

  /// The store's keys have changed; \p Items are those of the whole prefix.
  void entriesChanged(const std::map<std::string, StoreItem> &Items);
  /// Another box told whom it knows to give orders.
  void recordPeerView(const BoxName &From, const OrderHolder &Known,
                      bool Giving, TimePoint SaidAfter);
  /// The other boxes whose majority decides, and whether this one may claim.
  void setVoters(std::set<BoxName> Others, bool Eligible);
  void boxLost(const BoxName &Box) { m_View.forget(Box); }
  /// Renews or claims the key when that is due.
  void tick(TimePoint Now);
  /// Gives the key up.
  void release() { m_Key.release(); }

  const OrderHolder &leader() const { return m_View.holder(); }
  bool eligible() const { return m_Eligible; }
  /// Whether this box has the key, as far as it knows.
  bool leading() const { return m_Leading; }
  FencingToken token() const { return m_Token; }
  /// Whether an order may be sent now: the lease runs, and the key's state was
  /// read lately or a majority vouches for this box.
  bool confirmed(TimePoint Now) const;

private:
  std::optional<StoreTransaction> claim(LeaseId Lease) const;
  void claimed(StoreRevision Revision);
  void lost();
  bool mayClaim(TimePoint Now) const;
  bool claimDue(TimePoint Now);
  void stopIfReplaced();
  void noticePause(TimePoint Now);

  DecisionLog &m_Log;
  Options m_Opts;
  Hooks m_Hooks;
  HolderView m_View;
  LeasedKey m_Key;
  bool m_EntriesKnown = false;
  bool m_Eligible = true;
  std::ptrdiff_t m_Voters = 0;     ///< Other boxes that may claim.
  StoreRevision m_KeyRevision = 0; ///< 0 when nobody holds the key.
  StoreRevision m_TermRevision = 0;
  std::string m_TermMachine;
  TimePoint m_TickedAt{};
  std::optional<TimePoint> m_ClaimFrom;
  bool m_Leading = false;
  FencingToken m_Token = 0;
};

} // namespace havenstair

#endif
