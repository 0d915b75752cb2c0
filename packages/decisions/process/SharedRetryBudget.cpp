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
  Counts &Known = m_Services[Service];
  dropBefore(Known.m_Requests, Now - m_Opts.m_Window);
  dropBefore(Known.m_Repeats, Now - m_Opts.m_Window);
  return Known;
}

void SharedRetryBudget::requested(const std::string &Service, TimePoint Now) {
  current(Service, Now).m_Requests.push_back(Now);
}

/// Which part of its allowance the box may count on by now.
double SharedRetryBudget::grown(TimePoint Now) const {
  if (m_Started == TimePoint::min())
    return 1;
  const Duration Age = std::min(Now - m_Started, m_Opts.m_Window);
  return inSeconds(Age) / inSeconds(m_Opts.m_Window);
}

bool SharedRetryBudget::trySpend(const std::string &Service, int Boxes,
                                 TimePoint Now) {
  Counts &Known = current(Service, Now);
  const double Earned =
      m_Opts.m_Ratio * static_cast<double>(Known.m_Requests.size());
  const double Part = grown(Now) * m_Opts.m_Allowance / std::max(Boxes, 1);
  const double Bound = m_Opts.m_Margin * (Earned + Part);
  if (static_cast<double>(Known.m_Repeats.size() + 1) > Bound)
    return false;
  Known.m_Repeats.push_back(Now);
  return true;
}

std::size_t SharedRetryBudget::spent(const std::string &Service,
                                     TimePoint Now) {
  return current(Service, Now).m_Repeats.size();
}

} // namespace havenstair
