#include "decisions/process/LoadCeiling.h"

#include <algorithm>

namespace havenstair {

std::size_t LoadCeiling::most() const {
  const double Seconds = inSeconds(m_Opts.m_Window);
  const double Bound = m_Opts.m_LoadsPerSecond * Seconds * m_Opts.m_Overage;
  return std::max<std::size_t>(1, static_cast<std::size_t>(Bound) +
                                      m_Opts.m_Slack);
}

void LoadCeiling::formerLoads(std::size_t Count, TimePoint Now) {
  m_TakenOver.reset();
  for (std::size_t Load = 0; Load < Count; ++Load)
    m_Begun.insert(Now);
}

std::size_t LoadCeiling::left(TimePoint Now) {
  if (m_TakenOver && Now <= *m_TakenOver + m_Opts.m_Window)
    return 0;
  while (!m_Begun.empty() && *m_Begun.begin() < Now - m_Opts.m_Window)
    m_Begun.erase(m_Begun.begin());
  const std::size_t Taken = m_Begun.size() + m_Open.size();
  return Taken < most() ? most() - Taken : 0;
}

void LoadCeiling::settled(const InstanceId &Engine, TimePoint Until) {
  if (m_Open.erase(Engine) > 0)
    m_Begun.insert(Until);
}

} // namespace havenstair
