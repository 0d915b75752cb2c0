#include "decisions/process/LoadRateLimiter.h"

#include <algorithm>

namespace havenstair {

std::size_t LoadRateLimiter::capacity() const {
  const double Seconds = inSeconds(m_Opts.m_Window);
  const double Bound = m_Opts.m_LoadsPerSecond * Seconds * m_Opts.m_Overage;
  return std::max<std::size_t>(1, static_cast<std::size_t>(Bound) +
                                      m_Opts.m_Slack);
}

void LoadRateLimiter::setFormerLoads(std::size_t Count, TimePoint Now) {
  m_FullWindowUntil.reset();
  for (std::size_t Load = 0; Load < Count; ++Load)
    m_Starts.insert(Now);
}

std::size_t LoadRateLimiter::available(TimePoint Now) {
  if (m_FullWindowUntil && Now <= *m_FullWindowUntil + m_Opts.m_Window)
    return 0;
  while (!m_Starts.empty() && *m_Starts.begin() < Now - m_Opts.m_Window)
    m_Starts.erase(m_Starts.begin());
  const std::size_t Taken = m_Starts.size() + m_Open.size();
  return Taken < capacity() ? capacity() - Taken : 0;
}

void LoadRateLimiter::onSettled(const InstanceId &Engine, TimePoint Until) {
  if (m_Open.erase(Engine) > 0)
    m_Starts.insert(Until);
}

} // namespace havenstair
