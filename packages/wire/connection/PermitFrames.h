/// \file
/// Messages between the boxes of a gateway fleet about upstreams that accept
/// few requests. See docs/design/warm-up.md and docs/design/server-words.md.
#ifndef HAVENSTAIR_WIRE_CONNECTION_PERMITFRAMES_H
#define HAVENSTAIR_WIRE_CONNECTION_PERMITFRAMES_H

#include "decisions/process/PermitIssuer.h"
#include "wire/common/Json.h"
#include <cstdint>
#include <optional>

namespace havenstair {

/// Asks for a permit to send one request to an upstream that is cold or names a
/// limit. Sent to the permit issuer, or to a relay that forwards it.
struct PermitAskFrame {
  std::uint64_t m_Id = 0;    ///< Repeated in the answer.
  InstanceId m_Server;       ///< The upstream.
  Duration m_Patience = 0us; ///< How long the request can wait.

  bool operator==(const PermitAskFrame &) const = default;
};

/// Answers a PermitAskFrame.
struct PermitAnswerFrame {
  std::uint64_t m_Id = 0; ///< That of the question.
  PermitVerdict m_Verdict;

  bool operator==(const PermitAnswerFrame &) const = default;
};

/// An upstream that was believed to be warm has reported that it is cold.
struct ColdUpdateFrame {
  UpstreamIncarnation m_Incarnation;
  Duration m_ColdFor = 0us; ///< Time until it is warm.

  bool operator==(const ColdUpdateFrame &) const = default;
};

/// A signal that an upstream has sent in an answer.
struct UpstreamSignalFrame {
  UpstreamIncarnation m_Incarnation;
  /// Requests a second; empty when this frame names no limit.
  std::optional<double> m_LimitPerSecond;
  bool m_LimitEnded = false; ///< The upstream no longer names a limit.
  Duration m_LimitAge = 0us; ///< Since the limit was first named.
  /// This incarnation of the upstream leaves.
  bool m_Leaving = false;
  /// Requests that it can turn away for lack of room in a second; empty when
  /// this frame names no such limit.
  std::optional<double> m_RefusalLimit;
  bool m_RefusalLimitEnded = false; ///< It no longer names such a limit.
  Duration m_RefusalLimitAge = 0us; ///< Since that limit was first named.

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
