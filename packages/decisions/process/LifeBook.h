/// \file
/// The newest start seen of each server.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LIFEBOOK_H
#define HAVENSTAIR_DECISIONS_PROCESS_LIFEBOOK_H

#include "decisions/process/UpstreamIncarnation.h"
#include <map>

namespace havenstair {

/// Words about servers come late and by several ways. Once a start has been
/// heard of, nothing that an earlier one of the same name said is believed.
/// Who tells no birth is judged by name alone, so it is always believed.
class LifeBook {
public:
  /// Whether no later start than \p Life is known.
  bool believes(const UpstreamIncarnation &Life) const {
    return Life.m_StartTime == 0 || Life.m_StartTime >= newest(Life.m_Id);
  }
  /// \p Life was heard of. \returns whether the server has started again since
  /// it was last heard of.
  bool note(const UpstreamIncarnation &Life);
  /// 0 when none was told.
  StartTime newest(const InstanceId &Id) const;

private:
  /// Never forgotten: a word may come at any time, and an entry takes less
  /// than 100 bytes.
  std::map<InstanceId, StartTime> m_Newest;
};

} // namespace havenstair

#endif
