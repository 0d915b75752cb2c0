#include "decisions/process/ListContinuity.h"

namespace havenstair {

void ListContinuity::confirm(TimePoint At) {
  if (At <= m_ConfirmedAt)
    return;
  if (m_ConfirmedAt == TimePoint() || At - m_ConfirmedAt > MaxAge)
    m_Since = At;
  m_ConfirmedAt = At;
}

std::optional<TimePoint> ListContinuity::since(TimePoint Now) const {
  if (m_ConfirmedAt == TimePoint() || Now - m_ConfirmedAt > MaxAge)
    return std::nullopt;
  return m_Since;
}

} // namespace havenstair
