#include "gateway/process/ConfigAnswers.h"

#include <utility>

namespace havenstair {

ConfigAnswers::ConfigAnswers(Hooks Callbacks) : m_Hooks(std::move(Callbacks)) {}

void ConfigAnswers::asked(const BoxName &By, ConfigVersion Held,
                          ConfigVersion Own) {
  if (Held >= Own)
    return;
  m_Waiting[By] = Held;
  proceed(Own);
  if (m_Waiting.contains(By))
    m_Hooks.m_Delayed(By, m_Hooks.m_Slow(By) ? "slow_link" : "busy_links");
}

void ConfigAnswers::holds(const BoxName &Box, ConfigVersion Held) {
  if (const auto Found = m_Waiting.find(Box); Found != m_Waiting.end())
    Found->second = Held;
}

void ConfigAnswers::proceed(ConfigVersion Own) {
  std::erase_if(m_Waiting,
                [Own](const auto &Each) { return Each.second >= Own; });
  // A link that fails as it is written to leaves the map.
  const std::map<BoxName, ConfigVersion> Waiting = m_Waiting;
  for (const auto &[Box, Held] : Waiting) {
    if (m_Hooks.m_Busy())
      return;
    if (m_Hooks.m_Slow(Box))
      continue;
    m_Waiting.erase(Box);
    m_Hooks.m_Send(Box);
  }
}

} // namespace havenstair
