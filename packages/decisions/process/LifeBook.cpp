#include "decisions/process/LifeBook.h"

#include <utility>

namespace havenstair {

bool LifeBook::note(const UpstreamLife &Life) {
  if (Life.m_Born == 0)
    return false;
  UpstreamBirth &Newest = m_Newest[Life.m_Id];
  if (Life.m_Born <= Newest)
    return false;
  return std::exchange(Newest, Life.m_Born) != 0;
}

UpstreamBirth LifeBook::newest(const InstanceId &Id) const {
  const auto Found = m_Newest.find(Id);
  return Found == m_Newest.end() ? 0 : Found->second;
}

} // namespace havenstair
