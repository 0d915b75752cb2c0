/// \file
/// Distinguishes the starts of an upstream that keeps its name.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMINCARNATION_H
#define HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMINCARNATION_H

#include <compare>
#include <cstdint>
#include <string>

namespace havenstair {

/// Name of an upstream, which may start again under the same name.
using InstanceId = std::string;

/// When an upstream started, in Unix milliseconds by its own clock; 0 when it
/// does not report it. Of two starts under one name the later one has the
/// higher start time.
using StartTime = std::int64_t;

/// One start of an upstream. A later incarnation has kept nothing of an earlier
/// one.
struct UpstreamIncarnation {
  InstanceId m_Id;
  StartTime m_StartTime = 0; ///< 0 when the upstream does not report it.

  auto operator<=>(const UpstreamIncarnation &) const = default;
};

} // namespace havenstair

#endif
