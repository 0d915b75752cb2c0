/// \file
/// What a box tells the other boxes, and what it takes from them.
/// See docs/design/fleet.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_FLEETEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_FLEETEXCHANGE_H

#include "decisions/process/EchoClock.h"
#include "gateway/process/LeafSubsets.h"
#include "gateway/process/ListFollower.h"
#include "gateway/process/ServingState.h"
#include "gateway/process/WatchCache.h"
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
class OrderLeader;

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
  using Dependencies = ListFollower::Dependencies;
  struct Hooks {
    /// Contents of engines were learned.
    std::function<void()> m_ContentsChanged;
    /// Connections to the store may be dead without saying so.
    std::function<void()> m_DropConnections;
  };

  FleetExchange(EventLoop &Loop, Dependencies Deps, Options Opts,
                Hooks Callbacks);
  FleetExchange(const FleetExchange &) = delete;
  FleetExchange &operator=(const FleetExchange &) = delete;

  /// The list of boxes has changed.
  void boxesChanged();
  void linkUp(const BoxName &Box);
  void linkDown(const BoxName &Box);
  void onFrame(const BoxName &From, const PeerFrame &Frame);
  /// Contents that this box knows as the order giver.
  void publishContents(const FleetContentsFrame &Frame);
  /// Requests wait for \p Key, which no engine holds.
  void reportMissing(const ModelKey &Key);
  /// A newer configuration was taken.
  void configChanged();
  /// The list of upstreams has changed.
  void upstreamsChanged();
  /// The list of evacuations has changed.
  void evacuationsChanged();
  /// Boxes that this one is the relay of.
  std::size_t leafCount() const { return m_Leaves.size(); }
  ListFollower &lists() { return m_Lists; }
  const ListFollower &lists() const { return m_Lists; }
  /// Whether the store has answered this box just now.
  bool storeReachable() const;

private:
  void onTopologyChanged();
  void sendDigests();
  void sendLoads();
  void scheduleLoads();
  void sendRelayDigests(FleetDigestFrame Frame, TimePoint Now);
  void sendLeafDigests(FleetDigestFrame Frame, TimePoint Now);
  void sendLoadTotals(TimePoint Now);
  FleetDigestFrame makeDigest(TimePoint Now);
  Duration excessDelay(const FleetDigestFrame &Frame, TimePoint Now) const;

  void sendDigest(const BoxName &To, FleetDigestFrame Frame);
  void sendToLeaves(const PeerFrame &Frame);
  void sendListUpdates(bool All);
  void sendListSnapshot(const BoxName &To);
  bool readsForOthers(const WatchCache &Cache) const;
  void dropSilentLeaves(TimePoint Now);
  bool strongerUplinkLinked() const;
  void chooseUplink(TimePoint Now);
  BoxName nextHopToLeader() const;
  void requestFromPeers();

  void receive(const BoxName &From, const FleetDigestFrame &Frame);
  void receiveFromLeaf(const BoxName &From, const FleetDigestFrame &Frame,
                       TimePoint Now);
  void receive(const BoxName &From, const FleetLoadsFrame &Frame);
  void receive(const BoxName &From, const FleetTotalsFrame &Frame);
  void receive(const BoxName &From, const FleetWantFrame &Frame) {
    m_Lists.answerRequest(From, Frame);
  }
  void receive(const BoxName &From, const FleetKeysFrame &Frame) {
    m_Lists.adopt(From, Frame);
  }
  void receive(const BoxName &From, const FleetContentsFrame &Frame);
  void receive(const BoxName &From, const FleetMissingFrame &Frame);

  /// A box that asked this one to be its relay.
  struct Leaf {
    TimePoint m_LastDigestAt{};
    std::uint64_t m_SentTotals = 0; ///< The last that it was told; 0 for none.
  };

  EventLoop &m_Loop;
  Dependencies m_Deps;
  Options m_Opts;
  Hooks m_Hooks;
  FencingToken m_ContentsToken = 0;
  EchoClock m_Clock;
  std::map<BoxName, Leaf> m_Leaves;
  LeafSubsets m_LeafSubsets;
  StoreRevision m_SentListRevision = 0; ///< Of the list that others were told.
  InstanceLoads m_SentTotals;           ///< As last told to the leaves.
  std::uint64_t m_SentTotalsNumber = 0;
  BoxName m_Uplink; ///< Empty on a relay.
  TimePoint m_UplinkSince{};
  TimePoint m_UplinkLastDigestAt{};
  std::uint64_t m_ReceivedTotalsNumber = 0; ///< From the uplink; 0 for none.
  ListFollower m_Lists;
  Timer m_DigestTimer;
  Timer m_LoadsTimer;
  Timer m_RequestTimer;
};

} // namespace havenstair

#endif
