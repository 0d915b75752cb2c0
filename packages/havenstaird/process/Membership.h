/// \file
/// Membership of a box in its data centre: its lease, the other boxes, the
/// assignment, and the platform's list of upstreams.
#ifndef HAVENSTAIR_HAVENSTAIRD_PROCESS_MEMBERSHIP_H
#define HAVENSTAIR_HAVENSTAIRD_PROCESS_MEMBERSHIP_H

#include "decisions/process/LeaseKeeper.h"
#include "decisions/process/UpstreamDirectory.h"
#include "decisions/version/Assignment.h"
#include "wire/common/EventLoop.h"
#include "wire/process/PeerMesh.h"
#include "wire/process/PlatformWatch.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace havenstair {

/// Record of a box that it writes under its lease.
struct BoxRecord {
  BoxName m_Box;
  DataCentreName m_DataCentre;
  Endpoint m_Peers;
  Endpoint m_Callers;
  Endpoint m_Operators;
  bool m_Stopping = false;

  bool operator==(const BoxRecord &) const = default;
};

/// Decodes the platform's list of upstreams.
/// \throws DecodeError when it does not have the expected form.
UpstreamList upstreamListFromJson(const Json &From, PlatformIndex Index);

/// Keeps the box's lease, and watches the boxes, the assignment and the
/// upstreams in the platform's service.
class Membership {
public:
  struct Options {
    BoxRecord m_Self;
    LeaseKeeper::Options m_Lease;
    RandomUnit m_Random;
    std::function<void(const Assignment &)> m_OnAssignment;
    std::function<void(const UpstreamList &)> m_OnUpstreams;
    /// The addresses of boxes with a lease are known, or have changed.
    std::function<void(const std::vector<PeerAddress> &)> m_OnBoxes;
    std::function<void(const BoxName &)> m_OnBoxGone; ///< Its lease is gone.
    /// Returns the upstreams of this data centre, for the assignment.
    std::function<std::vector<UpstreamName>()> m_Upstreams;
  };

  Membership(EventLoop &Loop, Platform &Service, Options Opts);

  /// Adopts an assignment that a peer has sent, if it is newer.
  void learnAssignment(const Assignment &Newer);
  const Assignment &assignment() const { return m_Assignment; }
  bool leaseHeld() const { return m_Lease.held(EventLoop::now()); }
  /// Whether the platform has returned the list of boxes at least once.
  bool platformSeen() const { return m_BoxesKnown; }
  /// All boxes with a lease, as last read.
  const std::map<BoxName, BoxRecord> &boxes() const { return m_Boxes; }

  /// Begins a planned stop: the next assignment leaves this box out.
  void beginStop();
  /// Whether this box owns neither upstreams nor slices of keys.
  bool handedOver() const;
  /// Gives up the lease and then calls \p Done.
  void leave(std::function<void()> Done);

private:
  void tick();
  void keepLease();
  void createLease();
  void publish(const std::string &SessionId, TimePoint SentAt);
  void renewLease(const std::string &SessionId);
  void boxesRead(const PlatformRead &Read);
  void remoteBoxesRead(const PlatformRead &Read);
  void assignmentRead(const PlatformRead &Read);
  void considerAssignment();
  void writeAssignment(const Assignment &Next);
  PlatformWatch::Options watchOptions(PlatformWatch::Read Read) const;
  PlatformWatch::Options pollOptions(PlatformWatch::Read Read) const;
  std::string boxKey() const;
  std::vector<BoxName> liveBoxes() const;
  std::vector<BoxRecord> chosenRemote() const;

  Platform &m_Platform;
  Options m_Opts;
  LeaseKeeper m_Lease;
  Backoff m_LeaseBackoff;
  std::map<BoxName, BoxRecord> m_Boxes;
  bool m_BoxesKnown = false;
  bool m_AssignmentKnown = false;
  bool m_WriteInFlight = false;
  bool m_Stopping = false;
  bool m_Left = false;
  Assignment m_Assignment;
  PlatformIndex m_AssignmentIndex = 0;
  std::optional<TimePoint> m_WantedSince;
  PlatformWatch m_BoxWatch;
  PlatformWatch m_RemoteBoxPoll;
  PlatformWatch m_AssignmentWatch;
  PlatformWatch m_UpstreamWatch;
  Timer m_Tick;
};

} // namespace havenstair

#endif
