#include "gateway/request/EarlyRequests.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace havenstair {

TimePoint EarlyRequests::keptUntil(const Item &Of) const {
  const TimePoint Known = m_StartedAt + m_Opts.m_Within;
  if (!Of.m_Request.m_Deadline)
    return Known;
  const double LeftMs = inMillis(*Of.m_Request.m_Deadline);
  return std::min(Known,
                  Of.m_Arrived + fromMillis(m_Opts.m_PartOfDeadline * LeftMs));
}

bool EarlyRequests::keep(Item Of, TimePoint Now) {
  if (m_Items.size() >= m_Opts.m_Most || Now >= keptUntil(Of))
    return false;
  m_Items.push_back(std::move(Of));
  return true;
}

std::vector<EarlyRequests::Item> EarlyRequests::takeAll() {
  return std::exchange(m_Items, {});
}

std::vector<EarlyRequests::Item> EarlyRequests::takeOverdue(TimePoint Now) {
  const auto Overdue = std::stable_partition(
      m_Items.begin(), m_Items.end(),
      [&](const Item &Each) { return Now < keptUntil(Each); });
  std::vector<Item> Result(std::make_move_iterator(Overdue),
                           std::make_move_iterator(m_Items.end()));
  m_Items.erase(Overdue, m_Items.end());
  return Result;
}

} // namespace havenstair
