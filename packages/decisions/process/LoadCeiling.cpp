#include "decisions/process/LoadCeiling.h"

#include <algorithm>

namespace havenstair {

std::size_t LoadCeiling::most() const {
  const double Seconds = static_cast<double>(m_Opts.m_Window.count()) / 1e6;
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(m_Opts.m_LoadsPerS * Seconds *
                                  m_Opts.m_Overage));
}

void LoadCeiling::takeOver(TimePoint Until) {
  m_Begun.assign(most(), Until);
  m_Uncertain = 0;
}

std::size_t LoadCeiling::left(TimePoint Now) {
  while (!m_Begun.empty() && m_Begun.front() <= Now - m_Opts.m_Window)
    m_Begun.pop_front();
  const std::size_t Taken = m_Begun.size() + m_Uncertain;
  return Taken < most() ? most() - Taken : 0;
}

void LoadCeiling::settled(TimePoint Now) {
  if (m_Uncertain == 0)
    return;
  --m_Uncertain;
  begun(Now);
}

} // namespace havenstair
