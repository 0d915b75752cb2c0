/// \file
/// Messages between the boxes of a gateway fleet about sends to cold servers.
/// See docs/design/warm-up.md.
#ifndef HAVENSTAIR_WIRE_CONNECTION_WARMUPFRAMES_H
#define HAVENSTAIR_WIRE_CONNECTION_WARMUPFRAMES_H

#include "decisions/process/WarmUpPermits.h"
#include "wire/common/Json.h"
#include <cstdint>

namespace havenstair {

/// May one request be sent to a cold server? Asked of the box that admits, or
/// of a relay that passes the question on.
struct WarmUpAskFrame {
  std::uint64_t m_Id = 0; ///< Named in the answer.
  InstanceId m_Server;
  Duration m_Patience = 0us;

  bool operator==(const WarmUpAskFrame &) const = default;
};

struct WarmUpAnswerFrame {
  std::uint64_t m_Id = 0;
  WarmUpVerdict m_Verdict;

  bool operator==(const WarmUpAnswerFrame &) const = default;
};

/// A server that was believed to be warm has said that it is cold.
struct WarmUpNewsFrame {
  UpstreamLife m_Life;
  Duration m_ColdFor = 0us;

  bool operator==(const WarmUpNewsFrame &) const = default;
};

Json toJson(const WarmUpAskFrame &Frame);
Json toJson(const WarmUpAnswerFrame &Frame);
Json toJson(const WarmUpNewsFrame &Frame);

/// \throws DecodeError for a value of another form.
void fromJson(const Json &From, WarmUpAskFrame &Frame);
void fromJson(const Json &From, WarmUpAnswerFrame &Frame);
void fromJson(const Json &From, WarmUpNewsFrame &Frame);

} // namespace havenstair

#endif
