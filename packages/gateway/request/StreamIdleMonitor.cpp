#include "gateway/request/StreamIdleMonitor.h"

#include <utility>

namespace havenstair {

StreamIdleMonitor::StreamIdleMonitor(EventLoop &Loop, HttpClient &Client,
                                     Hooks Callbacks)
    : m_Loop(Loop), m_Client(Client), m_Hooks(std::move(Callbacks)) {}

void StreamIdleMonitor::expectBytesWithin(Duration Limit) {
  m_Timer = m_Loop.after(Limit, [this, Limit] { onIdle(Limit); });
}

void StreamIdleMonitor::stop() {
  m_Timer = Timer();
  m_ProbeCall = HttpCallHandle();
}

void StreamIdleMonitor::onIdle(Duration Limit) {
  std::optional<HttpCall> Probe = m_Hooks.m_Probe();
  if (!Probe) {
    stop();
    return m_Hooks.m_Lost();
  }
  Probe->m_OnEnd = [this, Limit](HttpEnd End) {
    if (End != HttpEnd::NotWritten)
      return expectBytesWithin(Limit);
    const auto Lost = m_Hooks.m_Lost;
    Lost();
  };
  m_ProbeCall = m_Client.start(std::move(*Probe));
}

} // namespace havenstair
