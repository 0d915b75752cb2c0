#include "soak/Disturbances.h"

#include <algorithm>

namespace havenstair {

void Disturbances::begin(const std::string &Subject, TimePoint At) {
  History &Of = m_Subjects[Subject];
  if (Of.m_Open++ == 0)
    Of.m_Since = At;
}

void Disturbances::end(const std::string &Subject, TimePoint At) {
  History &Of = m_Subjects[Subject];
  if (--Of.m_Open == 0)
    Of.m_Past.push_back({Of.m_Since, At});
}

void Disturbances::add(const std::string &Subject, TimePoint From,
                       TimePoint To) {
  m_Subjects[Subject].m_Past.push_back({From, To});
}

bool Disturbances::calm(const std::string &Subject, TimePoint From,
                        TimePoint To) const {
  const auto Found = m_Subjects.find(Subject);
  if (Found == m_Subjects.end())
    return true;
  const History &Of = Found->second;
  if (Of.m_Open > 0 && Of.m_Since <= To)
    return false;
  return std::none_of(
      Of.m_Past.begin(), Of.m_Past.end(),
      [&](const Span &Each) { return Each.m_From <= To && Each.m_To >= From; });
}

bool Disturbances::healed(const std::string &Subject, TimePoint From,
                          TimePoint To) const {
  const auto Found = m_Subjects.find(Subject);
  if (Found == m_Subjects.end())
    return false;
  const auto &Past = Found->second.m_Past;
  return std::any_of(Past.begin(), Past.end(), [&](const Span &Each) {
    return Each.m_To >= From && Each.m_To <= To;
  });
}

} // namespace havenstair
