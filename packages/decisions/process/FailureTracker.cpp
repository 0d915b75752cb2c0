#include "decisions/process/FailureTracker.h"

#include <algorithm>
#include <cmath>

namespace havenstair {

double FailureTracker::rate(const InstanceId &At, TimePoint Now) const {
  const auto Found = m_Entries.find(At);
  if (Found == m_Entries.end())
    return 0;
  const double Age = static_cast<double>((Now - Found->second.m_At).count());
  const double HalfLife = static_cast<double>(m_Opts.m_HalfLife.count());
  return Found->second.m_Rate * std::exp2(-Age / HalfLife);
}

void FailureTracker::update(const InstanceId &At, double Outcome,
                            TimePoint Now) {
  const double Before = rate(At, Now);
  m_Entries[At] = {.m_Rate = Before + m_Opts.m_Weight * (Outcome - Before),
                   .m_At = Now};
}

void FailureTracker::recordSuccess(const InstanceId &At, TimePoint Now) {
  if (m_Entries.contains(At))
    update(At, 0, Now);
}

void FailureTracker::recordFailure(const InstanceId &At, TimePoint Now) {
  update(At, 1, Now);
}

void FailureTracker::recordUnreachable(const InstanceId &At, TimePoint Now) {
  m_Entries[At] = {.m_Rate = std::max(rate(At, Now), m_Opts.m_Unreachable),
                   .m_At = Now};
}

} // namespace havenstair
