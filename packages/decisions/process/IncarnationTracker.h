/// \file
/// Tracks the newest incarnation known of each upstream.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_INCARNATIONTRACKER_H
#define HAVENSTAIR_DECISIONS_PROCESS_INCARNATIONTRACKER_H

#include "decisions/process/UpstreamLife.h"
#include <map>

namespace havenstair {

/// Messages about upstreams come late and over several paths. Once an
/// incarnation of an upstream is known, what an earlier one reported is
/// ignored. An upstream that reports no start time is known by its name alone,
/// so its messages always count.
class IncarnationTracker {
public:
  /// Whether no later incarnation than \p Incarnation is known.
  bool isCurrent(const UpstreamLife &Incarnation) const {
    return Incarnation.m_Born == 0 ||
           Incarnation.m_Born >= newest(Incarnation.m_Id);
  }
  /// Records that \p Incarnation exists. \returns whether the upstream has
  /// restarted since the last record.
  bool record(const UpstreamLife &Incarnation);
  /// Start time of the newest incarnation; 0 when none is known.
  UpstreamBirth newest(const InstanceId &Id) const;

private:
  /// Never pruned: a message may come at any time, and an entry takes less than
  /// 100 bytes.
  std::map<InstanceId, UpstreamBirth> m_Newest;
};

} // namespace havenstair

#endif
