#include "decisions/process/FailureBook.h"

#include <algorithm>
#include <cmath>

namespace havenstair {

double FailureBook::rate(const InstanceId &At, TimePoint Now) const {
  const auto Found = m_Known.find(At);
  if (Found == m_Known.end())
    return 0;
  const double Age = static_cast<double>((Now - Found->second.m_At).count());
  const double HalfLife = static_cast<double>(m_Opts.m_HalfLife.count());
  return Found->second.m_Rate * std::exp2(-Age / HalfLife);
}

void FailureBook::update(const InstanceId &At, double Outcome, TimePoint Now) {
  const double Before = rate(At, Now);
  m_Known[At] = {.m_Rate = Before + m_Opts.m_Weight * (Outcome - Before),
                 .m_At = Now};
}

void FailureBook::succeeded(const InstanceId &At, TimePoint Now) {
  if (m_Known.contains(At))
    update(At, 0, Now);
}

void FailureBook::failed(const InstanceId &At, TimePoint Now) {
  update(At, 1, Now);
}

void FailureBook::unreachable(const InstanceId &At, TimePoint Now) {
  m_Known[At] = {.m_Rate = std::max(rate(At, Now), m_Opts.m_Unreachable),
                 .m_At = Now};
}

} // namespace havenstair
