/// \file
/// Messages between the boxes of a gateway fleet about servers that bear
/// little. See docs/design/warm-up.md and docs/design/server-words.md.
#ifndef HAVENSTAIR_WIRE_CONNECTION_PERMITFRAMES_H
#define HAVENSTAIR_WIRE_CONNECTION_PERMITFRAMES_H

#include "decisions/process/PermitIssuer.h"
#include "wire/common/Json.h"
#include <cstdint>
#include <optional>

namespace havenstair {

/// May one request be sent to a server that is cold or names a limit? Asked of
/// the box that admits, or of a relay that passes the question on.
struct PermitAskFrame {
  std::uint64_t m_Id = 0; ///< Named in the answer.
  InstanceId m_Server;
  Duration m_Patience = 0us;

  bool operator==(const PermitAskFrame &) const = default;
};

struct PermitAnswerFrame {
  std::uint64_t m_Id = 0;
  PermitVerdict m_Verdict;

  bool operator==(const PermitAnswerFrame &) const = default;
};

/// A server that was believed to be warm has said that it is cold.
struct ColdUpdateFrame {
  UpstreamIncarnation m_Incarnation;
  Duration m_ColdFor = 0us;

  bool operator==(const ColdUpdateFrame &) const = default;
};

/// What a server has said of itself in an answer.
struct UpstreamSignalFrame {
  UpstreamIncarnation m_Incarnation;
  /// Requests a second; empty when this frame names no limit.
  std::optional<double> m_LimitPerSecond;
  bool m_LimitEnded = false; ///< It names none any more.
  Duration m_LimitAge = 0us; ///< Since it was first named.
  bool m_Leaving = false;    ///< It leaves, for the rest of its life.
  /// Requests that it can turn away for lack of room in a second; empty when
  /// this frame names no such limit.
  std::optional<double> m_RefusalLimit;
  bool m_RefusalLimitEnded = false; ///< It names none any more.
  Duration m_RefusalLimitAge = 0us; ///< Since it was first named.

  bool operator==(const UpstreamSignalFrame &) const = default;
};

/// A request to a server that names a refusal limit has ended. Sent to the box
/// that admits, or to a relay that passes it on.
struct SendEndedFrame {
  InstanceId m_Server;
  bool m_Refused = false; ///< The server turned it away for lack of room.

  bool operator==(const SendEndedFrame &) const = default;
};

Json toJson(const PermitAskFrame &Frame);
Json toJson(const PermitAnswerFrame &Frame);
Json toJson(const ColdUpdateFrame &Frame);
Json toJson(const UpstreamSignalFrame &Frame);
Json toJson(const SendEndedFrame &Frame);

/// \throws DecodeError for a value of another form.
void fromJson(const Json &From, PermitAskFrame &Frame);
void fromJson(const Json &From, PermitAnswerFrame &Frame);
void fromJson(const Json &From, ColdUpdateFrame &Frame);
void fromJson(const Json &From, UpstreamSignalFrame &Frame);
void fromJson(const Json &From, SendEndedFrame &Frame);

} // namespace havenstair

#endif
