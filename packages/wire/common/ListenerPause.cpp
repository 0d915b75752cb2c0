#include "wire/common/ListenerPause.h"

#include <event2/listener.h>
#include <sys/socket.h>
#include <utility>

namespace havenstair {

namespace {

/// Connections that may wait while the process is not run for a moment.
constexpr int Backlog = 512;

/// Another process may listen on the address for a moment.
constexpr Duration RetryInterval = 20ms;

} // namespace

ListenerPause::ListenerPause(EventLoop &Loop, evconnlistener *Listener)
    : m_Loop(Loop), m_Listener(Listener) {
  listen(evconnlistener_get_fd(m_Listener), Backlog);
}

ListenerPause::~ListenerPause() = default;

/// On Linux a socket that listens stops to do so when its reading side is shut
/// down, stays bound, and may listen again.
void ListenerPause::begin(Duration For) {
  if (std::exchange(m_Active, true))
    return;
  evconnlistener_disable(m_Listener);
  shutdown(evconnlistener_get_fd(m_Listener), SHUT_RD);
  m_End = m_Loop.after(For, [this] { end(); });
}

void ListenerPause::end() {
  if (listen(evconnlistener_get_fd(m_Listener), Backlog) != 0) {
    m_End = m_Loop.after(RetryInterval, [this] { end(); });
    return;
  }
  m_Active = false;
  evconnlistener_enable(m_Listener);
}

} // namespace havenstair
