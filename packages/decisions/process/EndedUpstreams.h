/// \file
/// Remembers which upstreams have ended before the list says so.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_ENDEDUPSTREAMS_H
#define HAVENSTAIR_DECISIONS_PROCESS_ENDEDUPSTREAMS_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamIncarnation.h"
#include <map>

namespace havenstair {

/// Upstreams that this box or another has found to have ended. The list names
/// them for up to three heartbeats more: meanwhile they get no requests, and
/// that they cannot be reached is no sign of a partition of this box.
class EndedUpstreams {
public:
  /// How long an end is remembered: as long as the list may lag behind. An
  /// upstream that starts again under its name without a start time is used
  /// again after this time.
  static constexpr Duration Retention = 3s;

  void recordEnd(const UpstreamIncarnation &Upstream, TimePoint Now);
  /// Whether \p Upstream is known to have ended.
  bool contains(const UpstreamIncarnation &Upstream, TimePoint Now) const;

private:
  std::map<UpstreamIncarnation, TimePoint> m_Ends;
};

} // namespace havenstair

#endif
