/// \file
/// The newest start seen of each server.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_INCARNATIONTRACKER_H
#define HAVENSTAIR_DECISIONS_PROCESS_INCARNATIONTRACKER_H

#include "decisions/process/UpstreamLife.h"
#include <map>

namespace havenstair {

/// Words about servers come late and by several ways. Once a start has been
/// heard of, nothing that an earlier one of the same name said is believed.
/// Who tells no birth is judged by name alone, so it is always believed.
class IncarnationTracker {
public:
  /// Whether no later start than \p Incarnation is known.
  bool isCurrent(const UpstreamLife &Incarnation) const {
    return Incarnation.m_Born == 0 ||
           Incarnation.m_Born >= newest(Incarnation.m_Id);
  }
  /// \p Incarnation was heard of. \returns whether the server has started again
  /// since it was last heard of.
  bool record(const UpstreamLife &Incarnation);
  /// 0 when none was told.
  UpstreamBirth newest(const InstanceId &Id) const;

private:
  /// Never forgotten: a word may come at any time, and an entry takes less
  /// than 100 bytes.
  std::map<InstanceId, UpstreamBirth> m_Newest;
};

} // namespace havenstair

#endif
