/// \file
/// Copies of the configuration that other boxes have asked this one for.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_CONFIGSENDQUEUE_H
#define HAVENSTAIR_GATEWAY_PROCESS_CONFIGSENDQUEUE_H

#include "decisions/common/Id.h"
#include "decisions/version/ServingConfig.h"
#include <functional>
#include <map>
#include <string_view>

namespace havenstair {

/// Sends them a few at a time. All leaves of a relay ask at once: to fill its
/// links would hold up its words, and to drop the rest would make these read
/// the store.
class ConfigSendQueue {
public:
  struct Hooks {
    /// Whether so much waits on all links that a copy has to wait, too.
    std::function<bool()> m_Busy;
    /// The same of the link to one box.
    std::function<bool(const BoxName &)> m_Slow;
    std::function<void(const BoxName &)> m_Send;
    /// A box that has asked has to wait.
    std::function<void(const BoxName &, std::string_view Why)> m_Delayed;
  };

  explicit ConfigSendQueue(Hooks Callbacks);

  /// \p By, which has \p Held, asks for \p Own, the version of this box.
  void request(const BoxName &Requester, ConfigVersion Held, ConfigVersion Own);
  /// \p Box has \p Held, on whatever way it came.
  void recordVersion(const BoxName &Box, ConfigVersion Held);
  /// Sends \p Own, the version of this box, to those that wait, while links
  /// are free.
  void sendWaiting(ConfigVersion Own);
  void forget(const BoxName &Box) { m_Waiting.erase(Box); }

private:
  Hooks m_Hooks;
  std::map<BoxName, ConfigVersion> m_Waiting; ///< By box, what it has.
};

} // namespace havenstair

#endif
