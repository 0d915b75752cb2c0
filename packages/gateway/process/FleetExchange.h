/// \file
/// What a box tells the other boxes, and what it takes from them.
/// See docs/design/fleet.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_FLEETEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_FLEETEXCHANGE_H

#include "decisions/process/EchoClock.h"
#include "gateway/process/LeafLists.h"
#include "gateway/process/ListFollower.h"
#include "gateway/process/PrefixMirror.h"
#include "gateway/process/ServingState.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

class DecisionLog;
class Fleet;
class OrderGiver;

/// Runs the exchange along the fleet's topology. Relays tell each other of
/// themselves and their leaves; a leaf tells one relay, its uplink, and hears
/// from it of everybody else. News from the order giver go the same ways.
class FleetExchange {
public:
  struct Options {
    ListFollower::Options m_Lists;
    RandomUnit m_Random;
  };
  /// What the exchange reads and changes.
  using Parts = ListFollower::Parts;
  struct Hooks {
    /// Contents of engines were learned.
    std::function<void()> m_ContentsChanged;
    /// Connections to the store may be dead without saying so.
    std::function<void()> m_DropConnections;
  };

  FleetExchange(EventLoop &Loop, Parts Of, Options Opts, Hooks Callbacks);
  FleetExchange(const FleetExchange &) = delete;
  FleetExchange &operator=(const FleetExchange &) = delete;

  /// The list of boxes has changed.
  void boxesChanged();
  void linkUp(const BoxName &Box);
  void linkDown(const BoxName &Box);
  void onFrame(const BoxName &From, const PeerFrame &Frame);
  /// Contents that this box knows as the order giver.
  void tellContents(const FleetContentsFrame &Frame);
  /// Requests wait for \p Key, which no engine holds.
  void missing(const ModelKey &Key);
  /// A newer configuration was taken.
  void configChanged();
  /// The list of upstreams has changed.
  void upstreamsChanged();
  /// The list of evacuations has changed.
  void evacuationsChanged();
  /// Boxes that this one is the relay of.
  std::size_t leaves() const { return m_Leaves.size(); }
  ListFollower &lists() { return m_Lists; }
  const ListFollower &lists() const { return m_Lists; }
  /// Whether the store has answered this box just now.
  bool storeJustReached() const;

private:
  void arranged();
  void tell();
  void tellLoads();
  void tellLoadsLater();
  void tellRelays(FleetDigestFrame Frame, TimePoint Now);
  void tellLeaves(FleetDigestFrame Frame, TimePoint Now);
  void tellTotals(TimePoint Now);
  FleetDigestFrame word(TimePoint Now);
  Duration heldUp(const FleetDigestFrame &Frame, TimePoint Now) const;

  void tellBox(const BoxName &To, FleetDigestFrame Frame);
  void toLeaves(const PeerFrame &Frame);
  void newsToLeaves(bool All);
  void tellLeaf(const BoxName &To);
  bool readsForOthers(const PrefixMirror &Mirror) const;
  void dropSilentLeaves(TimePoint Now);
  bool strongerUplinkLinked() const;
  void chooseUplink(TimePoint Now);
  BoxName towardsGiver() const;
  void askPeers();

  void take(const BoxName &From, const FleetDigestFrame &Frame);
  void takeFromLeaf(const BoxName &From, const FleetDigestFrame &Frame,
                    TimePoint Now);
  void take(const BoxName &From, const FleetLoadsFrame &Frame);
  void take(const BoxName &From, const FleetTotalsFrame &Frame);
  void take(const BoxName &From, const FleetWantFrame &Frame) {
    m_Lists.answer(From, Frame);
  }
  void take(const BoxName &From, const FleetKeysFrame &Frame) {
    m_Lists.adopt(From, Frame);
  }
  void take(const BoxName &From, const FleetContentsFrame &Frame);
  void take(const BoxName &From, const FleetMissingFrame &Frame);

  /// A box that asked this one to be its relay.
  struct Leaf {
    TimePoint m_HeardAt{};
    std::uint64_t m_Totals = 0; ///< The last that it was told; 0 for none.
  };

  EventLoop &m_Loop;
  Parts m_Of;
  Options m_Opts;
  Hooks m_Hooks;
  FencingToken m_ContentsToken = 0;
  EchoClock m_Clock;
  std::map<BoxName, Leaf> m_Leaves;
  LeafLists m_LeafLists;
  StoreRevision m_ListToldAt = 0; ///< Of the list that others were told.
  InstanceLoads m_Totals;         ///< As last told to the leaves.
  std::uint64_t m_TotalsNumber = 0;
  BoxName m_Uplink; ///< Empty on a relay.
  TimePoint m_UplinkSince{};
  TimePoint m_UplinkHeardAt{};
  std::uint64_t m_TotalsHeard = 0; ///< From the uplink; 0 for none.
  ListFollower m_Lists;
  Timer m_TellTimer;
  Timer m_LoadsTimer;
  Timer m_AskTimer;
};

} // namespace havenstair

#endif
