#include "decisions/process/UpstreamReach.h"

#include <algorithm>

namespace havenstair {

bool UpstreamReach::recordReached(const Call &Reached) {
  if (m_Failed.empty() || Reached.m_StartedAt < m_FirstStartedAt)
    return false;
  if (Reached.m_MayBeKept) {
    m_KeptAnswered = true;
    return false;
  }
  const bool Ended = m_Partitioned;
  clear();
  return Ended;
}

bool UpstreamReach::recordFailed(const Call &Failed, std::size_t Known,
                                 TimePoint Now) {
  if (!m_Partitioned && Now - m_LastFailedAt > m_Opts.m_Window)
    clear();
  if (m_Failed.empty())
    m_FirstStartedAt = Failed.m_StartedAt;
  m_Failed.insert(Failed.m_Upstream);
  m_LastFailedAt = Now;
  if (m_Partitioned)
    return false;
  const std::size_t Needed =
      m_KeptAnswered ? m_Opts.m_MinFailedWithKept : m_Opts.m_MinFailed;
  // One upstream alone may as well have ended.
  m_Partitioned =
      m_Failed.size() >= std::max(m_Opts.m_MinFailed, std::min(Needed, Known));
  return m_Partitioned;
}

bool UpstreamReach::doubtful(TimePoint Now) const {
  return m_Partitioned ||
         (!m_Failed.empty() && Now - m_LastFailedAt <= m_Opts.m_Window);
}

void UpstreamReach::clear() {
  m_Partitioned = false;
  m_KeptAnswered = false;
  m_Failed.clear();
}

} // namespace havenstair
