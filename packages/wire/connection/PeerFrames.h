/// \file
/// The typed messages between boxes and their CBOR form.
#ifndef HAVENSTAIR_WIRE_CONNECTION_PEERFRAMES_H
#define HAVENSTAIR_WIRE_CONNECTION_PEERFRAMES_H

#include "decisions/process/MoveLog.h"
#include "decisions/process/Placement.h"
#include "decisions/process/UpstreamDirectory.h"
#include "decisions/request/ForwardedRequest.h"
#include "decisions/version/Assignment.h"
#include "decisions/version/Table.h"
#include "wire/connection/CrashFrames.h"
#include "wire/connection/FleetFrames.h"
#include "wire/connection/PermitFrames.h"
#include "wire/connection/QuotaFrames.h"
#include "wire/connection/StreamFrames.h"
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace havenstair {

/// What a box understands; counts up by one with each kind of frame, or field
/// that the other side must understand. See docs/design/versions.md.
using PeerProtocol = int;
/// Of builds that do not tell theirs.
constexpr PeerProtocol FirstProtocol = 1;
constexpr PeerProtocol OwnProtocol = 7;
/// The first that reads compressed frames and loads that come apart.
constexpr PeerProtocol PackingProtocol = 3;
/// The first that compares revisions by the era of the store.
constexpr PeerProtocol EraProtocol = 5;
/// The first that issues permits for servers that name a refusal limit.
constexpr PeerProtocol RefusalLimitProtocol = 6;
/// The first that keeps streams at the software version that began them.
constexpr PeerProtocol StreamProtocol = 7;

/// First frame of each side.
struct HelloFrame {
  BoxName m_Box;
  DataCentreName m_DataCentre;
  std::string m_Nonce;
  PeerProtocol m_Protocol = FirstProtocol;

  bool operator==(const HelloFrame &) const = default;
};

/// Answer to the other side's nonce; shows that the secret is known.
struct ProofFrame {
  std::string m_Hmac;

  bool operator==(const ProofFrame &) const = default;
};

struct ForwardFrame {
  ForwardedRequest m_Request;

  bool operator==(const ForwardFrame &) const = default;
};

/// The sender of the forward is no longer interested.
struct CancelFrame {
  AttemptId m_Attempt = 0;

  bool operator==(const CancelFrame &) const = default;
};

struct StartedFrame {
  AttemptId m_Attempt = 0;
  Duration m_Waited = 0us;

  bool operator==(const StartedFrame &) const = default;
};

struct HeadFrame {
  AttemptId m_Attempt = 0;
  AnswerHead m_Head;

  bool operator==(const HeadFrame &) const = default;
};

struct BytesFrame {
  AttemptId m_Attempt = 0;
  std::string m_Bytes;

  bool operator==(const BytesFrame &) const = default;
};

struct EndedFrame {
  AttemptId m_Attempt = 0;
  double m_Tokens = 0;

  bool operator==(const EndedFrame &) const = default;
};

struct FailedFrame {
  AttemptId m_Attempt = 0;
  Failure m_Failure;

  bool operator==(const FailedFrame &) const = default;
};

/// Load of one upstream, by its place among the owners of the assignment that
/// the digest names. Names would make up most of the bytes of a digest.
struct LoadNote {
  int m_Place = 0;
  UpstreamLoad m_Load; ///< Without its slots, which do not change.

  bool operator==(const LoadNote &) const = default;
};

/// What a box tells the boxes of its data centre every second, by difference.
struct DigestFrame {
  FencingToken m_AssignmentSeen = 0;
  TableVersion m_TableCompleteTo = 0;
  bool m_Stopping = false;
  /// Boxes that the sender gives no new work because they are stopping.
  std::set<BoxName> m_Shunned;
  /// Upstreams of which more than the load changed.
  std::vector<UpstreamDigest> m_Upstreams;
  std::vector<LoadNote> m_Loads; ///< Upstreams whose load changed.
  std::map<UpstreamName, std::uint64_t> m_Leaving;
  /// Cost since the last time, of the groups with the highest cost.
  std::map<GroupName, double> m_Served;

  bool operator==(const DigestFrame &) const = default;
};

/// Demand at the sender's upstreams, for the box that plans.
struct DemandFrame {
  DemandByArtifact m_Demand;

  bool operator==(const DemandFrame &) const = default;
};

/// Rows and catalogue for a box that knows an older version.
struct TableFrame {
  TableVersion m_CompleteTo = 0; ///< With these, nothing up to here is missing.
  std::vector<GroupRow> m_Rows;
  std::optional<Catalogue> m_Catalogue;

  bool operator==(const TableFrame &) const = default;
};

struct AssignmentFrame {
  Assignment m_Assignment;

  bool operator==(const AssignmentFrame &) const = default;
};

/// May one more request of a limited group run? Asked of the box that counts.
struct LimitAskFrame {
  std::uint64_t m_Id = 0;
  GroupName m_Group;
  int m_Running = 0; ///< Through the sender, the new one among them.
  int m_Limit = 0;   ///< Of the whole fleet, as the sender's table says.

  bool operator==(const LimitAskFrame &) const = default;
};

struct LimitAnswerFrame {
  std::uint64_t m_Id = 0;
  bool m_Allowed = false;

  bool operator==(const LimitAnswerFrame &) const = default;
};

/// How many requests of a limited group run through the sender now.
struct LimitUpdateFrame {
  GroupName m_Group;
  int m_Running = 0;

  bool operator==(const LimitUpdateFrame &) const = default;
};

/// The planner asks an owner for a move.
struct PlanFrame {
  Move m_Move;

  bool operator==(const PlanFrame &) const = default;
};

/// A move was ordered; for every box's log.
struct MoveFrame {
  MoveRecord m_Record;

  bool operator==(const MoveFrame &) const = default;
};

/// Another frame, compressed.
struct PackedFrame {
  std::size_t m_Size = 0; ///< Bytes of the other frame.
  std::string m_Bytes;

  bool operator==(const PackedFrame &) const = default;
};

using PeerFrame = std::variant<
    HelloFrame, ProofFrame, ForwardFrame, CancelFrame, StartedFrame, HeadFrame,
    BytesFrame, EndedFrame, FailedFrame, DigestFrame, DemandFrame, TableFrame,
    AssignmentFrame, PlanFrame, MoveFrame, LimitAskFrame, LimitAnswerFrame,
    LimitUpdateFrame, FleetDigestFrame, FleetWantFrame, FleetKeysFrame,
    FleetContentsFrame, FleetMissingFrame, FleetLoadsFrame, QuotaAskFrame,
    QuotaAnswerFrame, QuotaUseFrame, PermitAskFrame, PermitAnswerFrame,
    ColdUpdateFrame, CrashFrame, CrashSuspectsFrame, RequestClearedFrame,
    QuarantinesFrame, PackedFrame, FleetTotalsFrame, UpstreamSignalFrame,
    SendEndedFrame, StreamsBegunFrame, StreamQueryFrame, StreamAnswerFrame>;

/// Name of the kind of \p Frame, for metrics.
std::string_view frameName(const PeerFrame &Frame);

/// The first protocol that knows the kind of \p Frame.
PeerProtocol protocolOf(const PeerFrame &Frame);

/// A frame of a kind that a later build has brought.
class UnknownFrame : public DecodeError {
public:
  using DecodeError::DecodeError;
};

std::string encodeFrame(const PeerFrame &Frame);

/// Reads a frame, compressed or not. \throws UnknownFrame for a kind that this
/// build does not know, and DecodeError for bytes that are not a frame.
PeerFrame decodeFrame(std::string_view Bytes);

/// Reads a hello or a proof, which are never compressed. \throws DecodeError
/// for anything else.
PeerFrame decodeGreeting(std::string_view Bytes);

} // namespace havenstair

#endif
