/// \file
/// Queue of the boxes that have requested the configuration of this box.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_CONFIGSENDQUEUE_H
#define HAVENSTAIR_GATEWAY_PROCESS_CONFIGSENDQUEUE_H

#include "decisions/common/Id.h"
#include "decisions/version/ServingConfig.h"
#include <functional>
#include <map>
#include <string_view>

namespace havenstair {

/// Sends copies of the configuration, a few at a time. All leaves of a relay
/// request one at once: sending all copies would fill the relay's links and
/// delay its digests, and dropping requests would make the leaves read the
/// store.
class ConfigSendQueue {
public:
  struct Hooks {
    /// Whether so much is queued over all links that no copy may be sent now.
    std::function<bool()> m_Busy;
    /// Whether so much is queued on the link to a box that no copy may be sent
    /// to it now.
    std::function<bool(const BoxName &)> m_Slow;
    /// Sends a copy to a box.
    std::function<void(const BoxName &)> m_Send;
    /// Called when a request is queued; \p Why is the reason, for the log.
    std::function<void(const BoxName &, std::string_view Why)> m_Delayed;
  };

  explicit ConfigSendQueue(Hooks Callbacks);

  /// \p Requester, which has version \p Held, requests a copy of \p Own, the
  /// version of this box.
  void request(const BoxName &Requester, ConfigVersion Held, ConfigVersion Own);
  /// Notes that \p Box has version \p Held, from whichever source.
  void recordVersion(const BoxName &Box, ConfigVersion Held);
  /// Sends copies of \p Own, the version of this box, to the waiting boxes
  /// while links have capacity.
  void sendWaiting(ConfigVersion Own);
  /// Drops the request of \p Box, whose link is gone.
  void forget(const BoxName &Box) { m_Waiting.erase(Box); }

private:
  Hooks m_Hooks;
  /// Version that each waiting box has.
  std::map<BoxName, ConfigVersion> m_Waiting;
};

} // namespace havenstair

#endif
