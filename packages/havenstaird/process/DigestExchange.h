/// \file
/// What a box tells the others in its digests, and what it knows of them.
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

/// Keeps the news of all linked boxes. See docs/design/messages.md.
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

  void peerUp(const BoxName &Peer, const DataCentreName &DataCentre);
  void peerDown(const BoxName &Peer);
  /// Something came from \p Peer. \returns false for a box without a link.
  bool heardOf(const BoxName &Peer);
  void onDigest(const BoxName &Peer, const DigestFrame &Digest);
  /// What changed since the last digest, to all boxes.
  void sendDigests();

  /// From here on this box tells that it is stopping.
  void beginStop() { m_Stopping = true; }
  /// Whether all boxes have said that they give this one no more work.
  bool allShunUs() const;

  /// Linked, heard of lately, and not about to stop.
  bool usable(const BoxName &Peer) const;
  bool isHere(const BoxName &Peer) const;
  /// Boxes of this data centre that are usable, without this one.
  std::vector<BoxName> usableHere() const;
  /// The box that plans for the data centre.
  std::optional<BoxName> plannerBox() const;
  /// Usable boxes of other data centres that can serve \p Request.
  std::vector<BoxName> ableElsewhere(const ForwardedRequest &Request) const;
  /// Boxes that have been silent for longer than \p Limit.
  std::vector<BoxName> silentFor(Duration Limit) const;

private:
  /// What this box last heard of another.
  struct PeerState {
    TimePoint m_LastHeard;
    DataCentreName m_DataCentre;
    bool m_Stopping = false;
    FencingToken m_AssignmentSeen = 0;
    TableVersion m_TableCompleteTo = 0;
    bool m_ShunsUs = false;
    /// Digests in a row that showed it behind this box.
    int m_Behind = 0;
    /// Upstreams of other data centres, for spilling.
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
