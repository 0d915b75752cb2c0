/// \file
/// The other boxes: who they are, links to them, and what they tell.
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

/// Keeps this box's entry in the store, reads the entries of the others, and
/// keeps the links of the fleet's topology, which outlive an outage of the
/// store.
class Fleet {
public:
  struct Options {
    BoxName m_Box; ///< Of this start of the process.
    DataCentreName m_DataCentre;
    double m_Capacity = 1; ///< Share of a core.
    Endpoint m_Peers;
    std::vector<Endpoint> m_Seeds;
    std::string m_Secret;
    std::string m_Prefix; ///< Keys of boxes begin with it.
    Duration m_Lease = 6s;
    /// In a small fleet, where each box reads the store itself, renewals tell
    /// it soon that the store turns it away.
    Duration m_RenewEvery = 500ms;
    /// In a large fleet, where relays tell of the store: three tries within the
    /// lease. Each renewal costs a tenth of a call, and hundreds of boxes make
    /// them.
    Duration m_LargeRenewEvery = 2s;
    RandomUnit m_Random;
  };
  struct Hooks {
    std::function<void(const BoxName &, PeerFrame)> m_Frame;
    std::function<void(const BoxName &)> m_Up;
    std::function<void(const BoxName &)> m_Down;
    /// The store answers again after it did not.
    std::function<void()> m_StoreBack;
  };

  Fleet(EventLoop &Loop, CoordinationStore &Store, DecisionLog &Log,
        Options Opts, Hooks Callbacks);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// The store's keys have changed; \p Items are those of the whole prefix.
  void entriesChanged(const std::map<std::string, StoreItem> &Items);
  void send(const BoxName &To, const PeerFrame &Frame);
  void send(const BoxName &To, const EncodedFrame &Frame);
  /// Frames of one kind that this box has sent, and their bytes.
  struct Sent {
    std::uint64_t m_Frames = 0;
    std::uint64_t m_Bytes = 0;
  };
  /// By name of their kind.
  const std::map<std::string_view, Sent> &sent() const { return m_Sent; }
  /// Whether so much waits to be sent to \p To that a state which will be told
  /// anew had better wait, too.
  bool slow(const BoxName &To) const;
  /// The same over all links of this box.
  bool busy() const;
  /// Whether \p Box, which is linked, understands \p Protocol.
  bool understands(const BoxName &Box, PeerProtocol Protocol) const {
    return m_Mesh.protocolOf(Box) >= Protocol;
  }
  /// Where \p Box, which is linked, stands.
  DataCentreName dataCentreOf(const BoxName &Box) const {
    return m_Mesh.dataCentreOf(Box);
  }
  /// To all linked boxes.
  void sendAll(const PeerFrame &Frame);
  /// To the linked relays, but for \p But.
  void sendRelays(const PeerFrame &Frame, const BoxName &But = BoxName());
  /// To the linked leaves, of which a small fleet has none.
  void sendLeaves(const PeerFrame &Frame);
  /// What \p From said and all boxes are to hear. Relays are linked to each
  /// other: what one of them says goes to leaves only, or it would go round.
  void passOn(const PeerFrame &Frame, const BoxName &From);
  const std::set<BoxName> &linked() const { return m_Linked; }
  /// The relays that are linked; in a small fleet all that are. A copy: a link
  /// that fails while it is written to leaves the set.
  std::vector<BoxName> linkedRelays() const;
  /// Linked boxes by the protocol that they understand.
  std::map<PeerProtocol, int> protocols() const;
  /// Frames of later builds that were left out.
  std::uint64_t skipped() const { return m_Skipped; }
  const BoxName &self() const { return m_Opts.m_Box; }
  const FleetTopology &topology() const { return m_Topology; }
  /// \returns whether that changes the topology.
  bool setLeader(const BoxName &Holder);
  /// This box and the others that are listed or linked.
  std::set<BoxName> processes() const;
  std::size_t size() const { return processes().size(); }
  /// Whether the store has answered this box within the last two renewals.
  bool storeReached(TimePoint Now) const;
  /// The store answered some call of this box.
  void noteStoreReached(TimePoint Now) { m_ReachedAt = Now; }
  /// Takes this box's entry away.
  void leave();

private:
  void tick();
  void storeAnswered(bool Reached);
  StoreTransaction entry(LeaseId Lease) const;
  void readEntries(const std::map<std::string, StoreItem> &Items);
  Duration renewEvery() const;
  void link();
  PeerMesh::Options meshOptions() const;
  PeerMesh::Hooks meshHooks();

  DecisionLog &m_Log;
  Options m_Opts;
  Hooks m_Hooks;
  LeasedKey m_Entry;
  PeerMesh m_Mesh;
  FleetTopology m_Topology;
  /// What the entry of a box says, decoded once for each of its revisions.
  struct ListedBox {
    StoreRevision m_Revision = 0;
    std::optional<PeerAddress> m_Address; ///< None when it cannot be used.
    double m_Capacity = 1;
  };
  ListedBox decode(const BoxName &Box, const StoreItem &Item) const;

  std::map<BoxName, ListedBox> m_Listed;
  std::set<BoxName> m_Wanted; ///< Boxes that links are kept to.
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
