#include "wire/common/ListenerPause.h"

#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace havenstair {

namespace {

/// Connections are closed together: each wake-up takes time of a process that
/// lacks it.
constexpr Duration CloseInterval = 10ms;

/// Most connections that are closed before other work goes on.
constexpr int MaxClosedAtOnce = 512;

} // namespace

void ListenerPause::begin(Duration For) {
  if (std::exchange(m_Active, true))
    return;
  evconnlistener_disable(m_Listener);
  m_Close = m_Loop.every(CloseInterval, [this] { closeWaiting(); });
  m_End = m_Loop.after(For, [this] { end(); });
}

void ListenerPause::giveUp() {
  m_Active = true;
  m_Close = Timer();
  m_End = Timer();
}

void ListenerPause::closeWaiting() {
  for (int Number = 0; Number < MaxClosedAtOnce; ++Number) {
    const int Socket = accept4(evconnlistener_get_fd(m_Listener), nullptr,
                               nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Socket < 0)
      return;
    close(Socket);
    ++m_Closed;
  }
}

void ListenerPause::end() {
  closeWaiting();
  m_Active = false;
  m_Close = Timer();
  evconnlistener_enable(m_Listener);
}

} // namespace havenstair
