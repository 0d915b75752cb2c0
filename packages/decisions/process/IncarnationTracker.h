/// \file
/// Tracks the newest incarnation known of each upstream.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_INCARNATIONTRACKER_H
#define HAVENSTAIR_DECISIONS_PROCESS_INCARNATIONTRACKER_H

#include "decisions/process/UpstreamIncarnation.h"
#include <map>

namespace havenstair {

/// Messages about upstreams come late and over several paths. Once an
/// incarnation of an upstream is known, what an earlier one reported is
/// ignored. An upstream that reports no start time is known by its name alone,
/// so its messages always count.
class IncarnationTracker {
public:
  /// Whether no later incarnation than \p Incarnation is known.
  bool isCurrent(const UpstreamIncarnation &Incarnation) const {
    return Incarnation.m_StartTime == 0 ||
           Incarnation.m_StartTime >= newest(Incarnation.m_Id);
  }
  /// Records that \p Incarnation exists. \returns whether the upstream has
  /// restarted since the last record.
  bool record(const UpstreamIncarnation &Incarnation);
  /// Start time of the newest incarnation; 0 when none is known.
  StartTime newest(const InstanceId &Id) const;

private:
  /// Never pruned: a message may come at any time, and an entry takes less than
  /// 100 bytes.
  std::map<InstanceId, StartTime> m_Newest;
};

} // namespace havenstair

#endif
