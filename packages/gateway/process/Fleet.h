/// \file
/// Membership of this box in the fleet, and its links to the other boxes.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_FLEET_H
#define HAVENSTAIR_GATEWAY_PROCESS_FLEET_H

#include "decisions/process/FleetTopology.h"
#include "gateway/process/GatewayOptions.h"
#include "gateway/process/LeasedKey.h"
#include "gateway/process/WatchCache.h"
#include "wire/common/EventLoop.h"
#include "wire/process/PeerMesh.h"
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace havenstair {

class DecisionLog;

/// Keeps this box's entry in the store, reads the entries of the other boxes,
/// and maintains the links of the fleet's topology. Links outlive an outage of
/// the store.
class Fleet {
public:
  struct Options {
    BoxName m_Box; ///< Name of this process of the box.
    DataCentreName m_DataCentre;
    double m_Capacity = 1; ///< Processor capacity, as a share of a core.
    Endpoint m_Peers; ///< Address on which links of other boxes are accepted.
    std::vector<Endpoint> m_Seeds; ///< Boxes to link to without the store.
    std::string m_Secret;  ///< Shared by all boxes, to authenticate links.
    std::string m_Prefix;  ///< Prefix of the keys that this box may write.
    Duration m_Lease = 6s; ///< Time to live of this box's entry.
    /// Renewal interval in a small fleet, where each box reads the store
    /// itself: a failed renewal tells it soon that the store refuses it.
    Duration m_RenewEvery = 500ms;
    /// Renewal interval in a large fleet, where relays report whether the store
    /// answers: three tries within the lease. Each renewal costs a tenth of a
    /// call, and hundreds of boxes renew.
    Duration m_LargeRenewEvery = 2s;
    RandomUnit m_Random; ///< Returns random numbers from 0 to 1.
  };
  struct Hooks {
    /// A frame has come from a linked box.
    std::function<void(const BoxName &, PeerFrame)> m_Frame;
    /// A link to a box has been established.
    std::function<void(const BoxName &)> m_Up;
    /// A link to a box has ended.
    std::function<void(const BoxName &)> m_Down;
    /// The store answers again after an outage.
    std::function<void()> m_StoreBack;
    /// Told how it stands with the address for links; may be empty.
    PortListener::Reporter m_Listening;
  };

  Fleet(EventLoop &Loop, CoordinationStore &Store, DecisionLog &Log,
        Options Opts, Hooks Callbacks);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// The store's keys have changed; \p Items are all keys under the prefix, as
  /// of \p At. Boxes that a restored store lacks count as listed until their
  /// entries should have been written again.
  void entriesChanged(const std::map<std::string, StoreItem> &Items,
                      const StoreRevision &At, TimePoint Now);
  /// The store came back from a copy: writes this box's entry again.
  void onStoreRestored(TimePoint Now);
  /// Until when boxes count as listed that the store lacks; empty when there
  /// are none.
  std::optional<TimePoint> entriesKeptUntil() const {
    return m_Kept.empty() ? std::nullopt : std::optional(m_KeptUntil);
  }
  /// Sends \p Frame to \p To; does nothing when that box is not linked.
  void send(const BoxName &To, const PeerFrame &Frame);
  void send(const BoxName &To, const EncodedFrame &Frame);
  /// Frames of one kind that this box has sent, and their size in bytes.
  struct Sent {
    std::uint64_t m_Frames = 0;
    std::uint64_t m_Bytes = 0;
  };
  /// The frames that this box has sent, by name of their kind.
  const std::map<std::string_view, Sent> &sent() const { return m_Sent; }
  /// Whether so much is queued on the link to \p To that state which is sent
  /// again later should wait.
  bool slow(const BoxName &To) const;
  /// Whether so much is queued over all links of this box.
  bool busy() const;
  /// Whether the linked box \p Box understands \p Protocol.
  bool understands(const BoxName &Box, PeerProtocol Protocol) const {
    return m_Mesh.protocolOf(Box) >= Protocol;
  }
  /// The data centre of the linked box \p Box.
  DataCentreName dataCentreOf(const BoxName &Box) const {
    return m_Mesh.dataCentreOf(Box);
  }
  /// Sends \p Frame to all linked boxes.
  void sendAll(const PeerFrame &Frame);
  /// Sends \p Frame to all linked relays except \p But.
  void sendRelays(const PeerFrame &Frame, const BoxName &But = BoxName());
  /// Sends \p Frame to all linked leaves; a small fleet has none.
  void sendLeaves(const PeerFrame &Frame);
  /// Forwards a frame of \p From that is meant for all boxes. Relays are linked
  /// to each other, so a frame that comes from a relay is forwarded to leaves
  /// only, or it would circulate.
  void passOn(const PeerFrame &Frame, const BoxName &From);
  /// A box that takes requests of other boxes.
  struct PassAddress {
    BoxName m_Box;
    DataCentreName m_DataCentre;
    Endpoint m_Endpoint;
    PeerProtocol m_Protocol = FirstProtocol;
  };
  /// The listed boxes that take requests; not those of older builds.
  std::vector<PassAddress> passAddresses() const;
  /// Sets where this box takes requests of other boxes.
  void setPassing(const Endpoint &Passing);
  /// The linked boxes.
  const std::set<BoxName> &linked() const { return m_Linked; }
  /// The linked relays; in a small fleet all linked boxes. Returns a copy, as a
  /// link that fails during a write is removed from the set.
  std::vector<BoxName> linkedRelays() const;
  /// Number of linked boxes by the protocol that they understand.
  std::map<PeerProtocol, int> protocols() const;
  /// Number of received frames of unknown kinds, which later builds send.
  std::uint64_t skipped() const { return m_Skipped; }
  /// Name of this process of the box.
  const BoxName &self() const { return m_Opts.m_Box; }
  const DataCentreName &dataCentre() const { return m_Opts.m_DataCentre; }
  /// Which boxes are relays, and which boxes to link to.
  const FleetTopology &topology() const { return m_Topology; }
  /// Sets the box that leads. \returns whether that changes the topology.
  bool setLeader(const BoxName &Leader);
  /// This box and all boxes that are listed or linked.
  std::set<BoxName> processes() const;
  /// Number of known boxes, this one included.
  std::size_t size() const { return processes().size(); }
  /// Whether the store has answered this box within the last two renewals.
  bool storeReached(TimePoint Now) const;
  /// Records that the store answered a call of this box.
  void noteStoreReached(TimePoint Now) { m_ReachedAt = Now; }
  /// Removes this box's entry from the store.
  void leave();

private:
  /// The entry of a box, decoded once for each of its revisions.
  struct ListedBox {
    StoreRevision m_Revision;
    std::optional<PeerAddress> m_Address; ///< None when the entry is invalid.
    double m_Capacity = 1;
    std::optional<Endpoint> m_Passing; ///< None when it takes no requests.
    PeerProtocol m_Protocol = FirstProtocol;
  };

  void tick();
  void storeAnswered(bool Reached);
  std::string ownKey() const;
  std::optional<StoreTransaction> entry(LeaseId Lease) const;
  std::map<BoxName, ListedBox>
  readEntries(const std::map<std::string, StoreItem> &Items) const;
  void keepMissing(std::map<BoxName, ListedBox> &Listed, TimePoint Now);
  /// Drops processes that a later one of their machine has replaced.
  void dropReplaced(std::map<BoxName, ListedBox> &Listed,
                    const std::map<std::string, StoreItem> &Items) const;
  Duration restoreSpread() const;
  Duration renewEvery() const;
  void link();
  PeerMesh::Options meshOptions() const;
  PeerMesh::Hooks meshHooks();

  DecisionLog &m_Log;
  Options m_Opts;
  Hooks m_Hooks;
  std::optional<Endpoint> m_Passing; ///< Empty before it takes requests.
  LeasedKey m_Entry;
  PeerMesh m_Mesh;
  FleetTopology m_Topology;
  ListedBox decode(const BoxName &Box, const StoreItem &Item) const;

  std::map<BoxName, ListedBox> m_Listed;
  StoreRevision m_ListedAt; ///< As of which m_Listed is known.
  /// Listed boxes that the restored store lacks.
  std::map<BoxName, ListedBox> m_Kept;
  TimePoint m_KeptUntil{};
  std::set<BoxName> m_Wanted; ///< Boxes to which links are kept.
  std::set<BoxName> m_Linked;
  std::uint64_t m_Skipped = 0;
  std::map<std::string_view, Sent> m_Sent;
  TimePoint m_ReachedAt{};
  bool m_Reached = true;
  bool m_Left = false;
  Timer m_TickTimer;
};

} // namespace havenstair

#endif
