/// \file
/// Digests that a box sends to the others, and what it knows from theirs.
#ifndef HAVENSTAIR_HAVENSTAIRD_PROCESS_DIGESTEXCHANGE_H
#define HAVENSTAIR_HAVENSTAIRD_PROCESS_DIGESTEXCHANGE_H

#include "decisions/process/UpstreamDirectory.h"
#include "decisions/version/Assignment.h"
#include "havenstaird/process/OwnerService.h"
#include "havenstaird/process/Planner.h"
#include "havenstaird/version/TableSync.h"
#include "wire/connection/PeerFrames.h"
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace havenstair {

/// Sends digests to all linked boxes, and keeps what they last reported. See
/// docs/design/messages.md.
class DigestExchange {
public:
  struct Options {
    BoxName m_Self;
    DataCentreName m_DataCentre;
    Duration m_DigestEvery = 1s;
    std::function<const Assignment &()> m_Assignment;
    /// Sends a frame; false when nothing was sent.
    std::function<bool(const BoxName &, const PeerFrame &)> m_Send;
    /// Whether there is a link to a box.
    std::function<bool(const BoxName &)> m_Linked;
  };

  DigestExchange(UpstreamDirectory &Directory, OwnerService &Owners,
                 TableSync &Rows, Planner &Plans, Options Opts);

  /// A link to \p Peer has come up.
  void peerUp(const BoxName &Peer, const DataCentreName &DataCentre);
  /// The link to \p Peer is gone.
  void peerDown(const BoxName &Peer);
  /// Records that a frame of \p Peer has arrived. \returns false for a box
  /// without a link.
  bool recordContact(const BoxName &Peer);
  void onDigest(const BoxName &Peer, const DigestFrame &Digest);
  /// Sends all boxes what has changed since the last digest.
  void sendDigests();

  /// Reports from now on that this box is stopping.
  void beginStop() { m_Stopping = true; }
  /// Whether all boxes have reported that they send this one no more work.
  bool allAvoidSelf() const;

  /// Whether work may be sent to \p Peer: it is linked, has sent something
  /// lately and is not stopping.
  bool usable(const BoxName &Peer) const;
  /// Whether \p Peer is in this data centre.
  bool isHere(const BoxName &Peer) const;
  /// Usable boxes of this data centre other than this one.
  std::vector<BoxName> usableHere() const;
  /// The box that plans for the data centre; empty when none is usable.
  std::optional<BoxName> plannerBox() const;
  /// Usable boxes of other data centres that can serve \p Request.
  std::vector<BoxName> ableElsewhere(const ForwardedRequest &Request) const;
  /// Boxes that have sent nothing for longer than \p Limit.
  std::vector<BoxName> silentFor(Duration Limit) const;

private:
  /// What another box last reported.
  struct PeerState {
    TimePoint m_LastContact; ///< When its last frame arrived.
    DataCentreName m_DataCentre;
    bool m_Stopping = false;
    FencingToken m_AssignmentSeen = 0;
    TableVersion m_TableCompleteTo = 0;
    bool m_AvoidsSelf = false; ///< It sends this box no more work.
    /// Number of successive digests that showed it to be behind this box.
    int m_Behind = 0;
    /// Its upstreams, if it is in another data centre; for spilling.
    std::map<UpstreamName, UpstreamDigest> m_Remote;
  };
  using Knows = std::function<bool(const PeerState &)>;

  DigestFrame head() const;
  void sendWhole(const BoxName &To);
  void addUpstream(DigestFrame &Frame, UpstreamDigest Digest);
  std::map<GroupName, double> servedLately();
  void applyLoads(const DigestFrame &Digest);
  void sendWhatItLacks(const BoxName &Peer, const DigestFrame &Digest);
  bool isSenderTo(const BoxName &Peer, const Knows &Knowing) const;

  UpstreamDirectory &m_Directory;
  OwnerService &m_Owners;
  TableSync &m_Table;
  Planner &m_Planner;
  Options m_Opts;
  std::map<BoxName, PeerState> m_Peers;
  std::map<UpstreamName, UpstreamDigest> m_LastSent;
  std::map<GroupName, double> m_Served;
  int m_DigestCount = 0;
  bool m_Stopping = false;
};

} // namespace havenstair

#endif
