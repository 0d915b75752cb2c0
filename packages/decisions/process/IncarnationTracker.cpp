#include "decisions/process/IncarnationTracker.h"

#include <utility>

namespace havenstair {

bool IncarnationTracker::record(const UpstreamIncarnation &Incarnation) {
  if (Incarnation.m_StartTime == 0)
    return false;
  StartTime &Newest = m_Newest[Incarnation.m_Id];
  if (Incarnation.m_StartTime <= Newest)
    return false;
  return std::exchange(Newest, Incarnation.m_StartTime) != 0;
}

StartTime IncarnationTracker::newest(const InstanceId &Id) const {
  const auto Found = m_Newest.find(Id);
  return Found == m_Newest.end() ? 0 : Found->second;
}

} // namespace havenstair
