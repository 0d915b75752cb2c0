/// \file
/// Messages between the boxes of a gateway fleet about sends to cold servers.
/// See docs/design/warm-up.md.
#ifndef HAVENSTAIR_WIRE_CONNECTION_PERMITFRAMES_H
#define HAVENSTAIR_WIRE_CONNECTION_PERMITFRAMES_H

#include "decisions/process/SendPermits.h"
#include "wire/common/Json.h"
#include <cstdint>

namespace havenstair {

/// May one request be sent to a cold server? Asked of the box that admits, or
/// of a relay that passes the question on.
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
struct WarmUpNewsFrame {
  UpstreamLife m_Life;
  Duration m_ColdFor = 0us;

  bool operator==(const WarmUpNewsFrame &) const = default;
};

Json toJson(const PermitAskFrame &Frame);
Json toJson(const PermitAnswerFrame &Frame);
Json toJson(const WarmUpNewsFrame &Frame);

/// \throws DecodeError for a value of another form.
void fromJson(const Json &From, PermitAskFrame &Frame);
void fromJson(const Json &From, PermitAnswerFrame &Frame);
void fromJson(const Json &From, WarmUpNewsFrame &Frame);

} // namespace havenstair

#endif
