#include "decisions/process/SharedRetryBudget.h"

#include <algorithm>

namespace havenstair {

namespace {

void dropBefore(std::deque<TimePoint> &Times, TimePoint Start) {
  while (!Times.empty() && Times.front() <= Start)
    Times.pop_front();
}

} // namespace

SharedRetryBudget::Counts &
SharedRetryBudget::current(const std::string &Service, TimePoint Now) {
  Counts &Current = m_Services[Service];
  dropBefore(Current.m_Requests, Now - m_Opts.m_Window);
  dropBefore(Current.m_Retries, Now - m_Opts.m_Window);
  return Current;
}

void SharedRetryBudget::recordRequest(const std::string &Service,
                                      TimePoint Now) {
  current(Service, Now).m_Requests.push_back(Now);
}

/// Fraction of its share of the allowance that the box may use by now.
double SharedRetryBudget::allowanceFraction(TimePoint Now) const {
  if (m_Started == TimePoint::min())
    return 1;
  const Duration Age = std::min(Now - m_Started, m_Opts.m_Window);
  return inSeconds(Age) / inSeconds(m_Opts.m_Window);
}

bool SharedRetryBudget::trySpend(const std::string &Service, int Boxes,
                                 TimePoint Now) {
  Counts &Current = current(Service, Now);
  const double FromRequests =
      m_Opts.m_Ratio * static_cast<double>(Current.m_Requests.size());
  const double FromAllowance =
      allowanceFraction(Now) * m_Opts.m_Allowance / std::max(Boxes, 1);
  const double Bound = m_Opts.m_Margin * (FromRequests + FromAllowance);
  if (static_cast<double>(Current.m_Retries.size() + 1) > Bound)
    return false;
  Current.m_Retries.push_back(Now);
  return true;
}

std::size_t SharedRetryBudget::spent(const std::string &Service,
                                     TimePoint Now) {
  return current(Service, Now).m_Retries.size();
}

} // namespace havenstair
