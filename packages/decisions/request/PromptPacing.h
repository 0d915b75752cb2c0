/// \file
/// When a prompt may be sent to an engine that serves streams.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_PROMPTPACING_H
#define HAVENSTAIR_DECISIONS_REQUEST_PROMPTPACING_H

#include "decisions/common/Time.h"
#include <optional>

namespace havenstair {

/// What the pace is judged by.
struct PacingFacts {
  Duration m_GapTarget = 0us; ///< Longest pause of a stream; zero for any.
  Duration m_Target = 1s;     ///< Time to the first token.
  Duration m_Waited = 0us;    ///< Since the request arrived.
  double m_PendingMs = 0;     ///< Prompt work sent there and not yet done.
};

struct PacingOptions {
  /// Part of the longest pause that the prompt work ahead may fill. Measured
  /// with 12 engines: 0.523 without a pace, 0.540 with a half, 0.553 with a
  /// quarter, 0.551 with an eighth.
  double m_MaxGapFraction = 0.25;
  /// Part of the target that a request may wait for that.
  double m_MaxWaitFraction = 0.3;
  /// Time after which to look again.
  Duration m_RecheckInterval = 15ms;
};

/// How long to wait before the request is judged again; empty to send it now.
std::optional<Duration> pacingDelay(const PacingFacts &Facts,
                                    const PacingOptions &Opts);

} // namespace havenstair

#endif
