/// \file
/// The state that a box sends to the other boxes, and receives from them. See
/// docs/design/fleet.md.
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
#include <string_view>
#include <vector>

namespace havenstair {

class DecisionLog;
class Fleet;
class OrderLeader;

/// Exchanges state along the fleet's topology. Relays send each other the state
/// of themselves and their leaves; a leaf sends its state to one relay, its
/// uplink, and receives from it that of all other boxes. Updates from the
/// leader take the same routes.
class FleetExchange {
public:
  struct Options {
    ListFollower::Options m_Lists;
    RandomUnit m_Random;
  };
  /// The objects that the exchange reads and changes.
  using Dependencies = ListFollower::Dependencies;
  struct Hooks {
    /// Contents of engines have changed.
    std::function<void()> m_ContentsChanged;
    /// Closes the connections to the store, which may be dead without an error.
    std::function<void()> m_DropConnections;
    /// Puts a configuration that another box sent into force if it is newer.
    std::function<void(const StoreItem &)> m_OfferConfig;
  };

  FleetExchange(EventLoop &Loop, Dependencies Deps, Options Opts,
                Hooks Callbacks);
  FleetExchange(const FleetExchange &) = delete;
  FleetExchange &operator=(const FleetExchange &) = delete;

  /// The list of boxes has changed.
  void boxesChanged();
  /// A link to \p Box has been established.
  void linkUp(const BoxName &Box);
  /// The link to \p Box has ended.
  void linkDown(const BoxName &Box);
  /// Processes a frame of \p From; ignores kinds that others process.
  void onFrame(const BoxName &From, const PeerFrame &Frame);
  /// Sends the engines' contents, which this box knows as the leader, to all
  /// boxes.
  void publishContents(const FleetContentsFrame &Frame);
  /// Reports to the leader that requests wait for \p Key, which no engine
  /// holds.
  void reportMissing(const ModelKey &Key);
  /// A newer configuration has been put into force.
  void configChanged();
  /// The list of upstreams has changed.
  void upstreamsChanged();
  /// The list of evacuations has changed.
  void evacuationsChanged();
  /// Number of boxes that this one is the relay of.
  std::size_t leafCount() const { return m_Leaves.size(); }
  /// The copies of the store's lists, and which box keeps them fresh.
  ListFollower &lists() { return m_Lists; }
  const ListFollower &lists() const { return m_Lists; }
  /// Whether the store has answered this box lately.
  bool storeReachable() const;

private:
  void onTopologyChanged();
  void releaseLeaves();
  void sendDigests();
  void sendLoads();
  void scheduleLoads();
  void sendRelayDigests(FleetDigestFrame Frame, TimePoint Now);
  void sendLeafDigests(FleetDigestFrame Frame, TimePoint Now);
  void sendLoadTotals(TimePoint Now);
  FleetDigestFrame makeDigest(TimePoint Now);
  Duration excessDelay(const FleetDigestFrame &Frame, TimePoint Now) const;

  void sendDigest(const BoxName &To, FleetDigestFrame Frame);
  void sendToLeaves(const PeerFrame &Frame, const BoxName &But);
  void sendKeysToRelays(const FleetKeysFrame &Frame);
  void sendKeysToLeaves(const FleetKeysFrame &Frame);
  void sendListUpdates(bool All);
  void sendListSnapshot(const BoxName &To);
  void logSentList(const DataCentreName &DataCentre, std::string_view To) const;
  bool readsForOthers(const WatchCache &Cache) const;
  void dropSilentLeaves(TimePoint Now);
  bool strongerUplinkLinked() const;
  void chooseUplink(TimePoint Now);
  bool uplinkResponds() const;
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
  bool passesOnContents(const BoxName &From, FencingToken Token) const;
  void receive(const BoxName &From, const FleetMissingFrame &Frame);

  /// A box that has chosen this one as its relay.
  struct Leaf {
    TimePoint m_LastDigestAt{};
    /// Number of the last totals that it was sent; 0 for none.
    std::uint64_t m_SentTotals = 0;
  };

  EventLoop &m_Loop;
  Dependencies m_Deps;
  Options m_Opts;
  Hooks m_Hooks;
  FencingToken m_ContentsToken = 0; ///< Highest of the contents received.
  /// The box from which contents with that token came first.
  BoxName m_ContentsSource;
  EchoClock m_Clock;
  std::map<BoxName, Leaf> m_Leaves;
  LeafSubsets m_LeafSubsets;
  /// Revision of the list of upstreams that was last sent.
  StoreRevision m_SentListRevision;
  InstanceLoads m_SentTotals; ///< The loads last sent to the leaves.
  std::uint64_t m_SentTotalsNumber = 0;
  BoxName m_Uplink; ///< The relay of this box, a leaf; empty on a relay.
  TimePoint m_UplinkSince{};
  TimePoint m_UplinkLastDigestAt{};
  std::uint64_t m_UplinkDigests = 0; ///< Received since it was chosen.
  /// Number of the last totals from the uplink; 0 for none.
  std::uint64_t m_ReceivedTotalsNumber = 0;
  ListFollower m_Lists;
  Timer m_DigestTimer;
  Timer m_LoadsTimer;
  Timer m_RequestTimer;
};

} // namespace havenstair

#endif
