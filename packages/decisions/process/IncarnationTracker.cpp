#include "decisions/process/IncarnationTracker.h"

#include <utility>

namespace havenstair {

bool IncarnationTracker::record(const UpstreamLife &Incarnation) {
  if (Incarnation.m_Born == 0)
    return false;
  UpstreamBirth &Newest = m_Newest[Incarnation.m_Id];
  if (Incarnation.m_Born <= Newest)
    return false;
  return std::exchange(Newest, Incarnation.m_Born) != 0;
}

UpstreamBirth IncarnationTracker::newest(const InstanceId &Id) const {
  const auto Found = m_Newest.find(Id);
  return Found == m_Newest.end() ? 0 : Found->second;
}

} // namespace havenstair
