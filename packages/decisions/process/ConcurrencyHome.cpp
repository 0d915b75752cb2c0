#include "decisions/process/ConcurrencyHome.h"

namespace havenstair {

bool ConcurrencyHome::tryRun(const GroupName &Group, const BoxName &Box,
                             int Running, int Limit) {
  const auto Found = m_Counts.find(Group);
  int Others = 0;
  if (Found != m_Counts.end())
    for (const auto &[Other, Count] : Found->second)
      Others += Other == Box ? 0 : Count;
  if (Others + Running > Limit)
    return false;
  setRunning(Group, Box, Running);
  return true;
}

void ConcurrencyHome::setRunning(const GroupName &Group, const BoxName &Box,
                                 int Running) {
  if (Running > 0) {
    m_Counts[Group][Box] = Running;
    return;
  }
  const auto Found = m_Counts.find(Group);
  if (Found == m_Counts.end())
    return;
  Found->second.erase(Box);
  if (Found->second.empty())
    m_Counts.erase(Found);
}

void ConcurrencyHome::forget(const BoxName &Box) {
  for (auto &[Group, Counts] : m_Counts)
    Counts.erase(Box);
  std::erase_if(m_Counts, [](const auto &Item) { return Item.second.empty(); });
}

int ConcurrencyHome::running(const GroupName &Group) const {
  const auto Found = m_Counts.find(Group);
  int Sum = 0;
  if (Found != m_Counts.end())
    for (const auto &[Box, Count] : Found->second)
      Sum += Count;
  return Sum;
}

} // namespace havenstair
