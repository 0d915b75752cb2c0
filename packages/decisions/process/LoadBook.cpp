#include "decisions/process/LoadBook.h"

#include <algorithm>

namespace havenstair {

void LoadBook::sent(const InstanceId &To, double WorkMs, double Tokens) {
  m_Own[To] += {.m_Running = 1, .m_PendingMs = WorkMs, .m_Tokens = Tokens};
}

void LoadBook::started(const InstanceId &To, double WorkMs) {
  const auto Found = m_Own.find(To);
  if (Found == m_Own.end())
    return;
  double &Pending = Found->second.m_PendingMs;
  Pending = std::max(0.0, Pending - WorkMs);
}

void LoadBook::ended(const InstanceId &To, double Tokens) {
  const auto Found = m_Own.find(To);
  if (Found == m_Own.end())
    return;
  InstanceLoad &Load = Found->second;
  Load.m_Tokens = std::max(0.0, Load.m_Tokens - Tokens);
  // Sums of fractions leave a rest; nothing runs, so nothing is left.
  if (--Load.m_Running <= 0)
    m_Own.erase(Found);
}

void LoadBook::told(const BoxName &Box, InstanceLoads Loads, TimePoint Now) {
  m_Told[Box] = {.m_Loads = std::move(Loads), .m_At = Now};
}

InstanceLoad LoadBook::load(const InstanceId &Of, TimePoint Now) const {
  InstanceLoad Sum;
  if (const auto Own = m_Own.find(Of); Own != m_Own.end())
    Sum += Own->second;
  for (const auto &[Box, Word] : m_Told) {
    const auto Found = Word.m_Loads.find(Of);
    if (Found != Word.m_Loads.end() && Now - Word.m_At <= WordCounts)
      Sum += Found->second;
  }
  return Sum;
}

} // namespace havenstair
