#include "gateway/process/ConfigSendQueue.h"

#include <utility>

namespace havenstair {

ConfigSendQueue::ConfigSendQueue(Hooks Callbacks)
    : m_Hooks(std::move(Callbacks)) {}

void ConfigSendQueue::request(const BoxName &Requester, ConfigVersion Held,
                              ConfigVersion Own) {
  if (Held >= Own)
    return;
  m_Waiting[Requester] = Held;
  sendWaiting(Own);
  if (m_Waiting.contains(Requester))
    m_Hooks.m_Delayed(Requester,
                      m_Hooks.m_Slow(Requester) ? "slow_link" : "busy_links");
}

void ConfigSendQueue::recordVersion(const BoxName &Box, ConfigVersion Held) {
  if (const auto Entry = m_Waiting.find(Box); Entry != m_Waiting.end())
    Entry->second = Held;
}

void ConfigSendQueue::sendWaiting(ConfigVersion Own) {
  std::erase_if(m_Waiting,
                [Own](const auto &Each) { return Each.second >= Own; });
  // Iterates over a copy: a link that fails during a write removes its box from
  // the map.
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
