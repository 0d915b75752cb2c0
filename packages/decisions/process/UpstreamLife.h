/// \file
/// Tells one start of a server from another under the same name.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMLIFE_H
#define HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMLIFE_H

#include <compare>
#include <cstdint>
#include <string>

namespace havenstair {

/// Name of a server. It may start again under the name that it had.
using InstanceId = std::string;

/// When a server started, in Unix milliseconds by its own clock. Of two starts
/// under one name the later has the higher birth. 0 when it does not tell.
using UpstreamBirth = std::int64_t;

/// One start of a server. A later one holds and knows nothing of an earlier.
struct UpstreamLife {
  InstanceId m_Id;
  UpstreamBirth m_Born = 0;

  auto operator<=>(const UpstreamLife &) const = default;
};

} // namespace havenstair

#endif
