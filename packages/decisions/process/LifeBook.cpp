#include "decisions/process/LifeBook.h"

#include <utility>

namespace havenstair {

bool LifeBook::note(const UpstreamIncarnation &Life) {
  if (Life.m_StartTime == 0)
    return false;
  StartTime &Newest = m_Newest[Life.m_Id];
  if (Life.m_StartTime <= Newest)
    return false;
  return std::exchange(Newest, Life.m_StartTime) != 0;
}

StartTime LifeBook::newest(const InstanceId &Id) const {
  const auto Found = m_Newest.find(Id);
  return Found == m_Newest.end() ? 0 : Found->second;
}

} // namespace havenstair
