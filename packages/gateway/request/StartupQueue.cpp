#include "gateway/request/StartupQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace havenstair {

TimePoint StartupQueue::keptUntil(const Item &Request) const {
  const TimePoint Limit = m_StartedAt + m_Opts.m_MaxWait;
  if (!Request.m_Request.m_Deadline)
    return Limit;
  const double LeftMs = inMillis(*Request.m_Request.m_Deadline);
  return std::min(Limit, Request.m_Arrived +
                             fromMillis(m_Opts.m_DeadlineFraction * LeftMs));
}

bool StartupQueue::keep(Item Request, TimePoint Now) {
  if (m_Items.size() >= m_Opts.m_MaxRequests || Now >= keptUntil(Request))
    return false;
  m_Items.push_back(std::move(Request));
  return true;
}

std::vector<StartupQueue::Item> StartupQueue::takeAll() {
  return std::exchange(m_Items, {});
}

std::vector<StartupQueue::Item> StartupQueue::takeExpired(TimePoint Now) {
  const auto Overdue = std::stable_partition(
      m_Items.begin(), m_Items.end(),
      [&](const Item &Request) { return Now < keptUntil(Request); });
  std::vector<Item> Result(std::make_move_iterator(Overdue),
                           std::make_move_iterator(m_Items.end()));
  m_Items.erase(Overdue, m_Items.end());
  return Result;
}

} // namespace havenstair
