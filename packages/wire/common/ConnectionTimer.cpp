#include "wire/common/ConnectionTimer.h"

#include "wire/common/TcpSocket.h"
#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <utility>

namespace havenstair {

ConnectionTimer::ConnectionTimer(EventLoop &Loop, bufferevent *Stream,
                                 const CallerTimeouts &Limits,
                                 Expired OnExpired)
    : m_Loop(Loop), m_Stream(Stream), m_Limits(Limits),
      m_Expired(std::move(OnExpired)), m_Timeout(EventLoop::now()),
      m_Watch(evbuffer_add_cb(bufferevent_get_output(Stream), onOutput, this)) {
  lookAt(m_Timeout.nextLook(m_Limits, EventLoop::now()));
}

void ConnectionTimer::stop() {
  if (m_Stream == nullptr)
    return;
  evbuffer_remove_cb_entry(bufferevent_get_output(m_Stream), m_Watch);
  m_Stream = nullptr;
  m_Timer = Timer();
}

void ConnectionTimer::onOutput(evbuffer *, const evbuffer_cb_info *Change,
                               void *Arg) {
  if (Change->n_deleted > 0 || Change->orig_size == 0)
    static_cast<ConnectionTimer *>(Arg)->m_Timeout.noteSent(EventLoop::now());
}

void ConnectionTimer::enter(ConnectionStage Stage) {
  const TimePoint Now = EventLoop::now();
  m_Timeout.enter(Stage, Now);
  lookAt(m_Timeout.nextLook(m_Limits, Now));
}

/// A look that comes too early costs less than to begin the timer anew at each
/// change.
void ConnectionTimer::lookAt(TimePoint At) {
  if (m_Stream == nullptr || (m_NextLook && *m_NextLook <= At))
    return;
  m_NextLook = At;
  m_Timer = m_Loop.after(std::max<Duration>(0us, At - EventLoop::now()),
                         [this] { look(); });
}

void ConnectionTimer::look() {
  m_NextLook.reset();
  const TimePoint Now = EventLoop::now();
  SendProgress Sent = sendProgressOf(bufferevent_getfd(m_Stream));
  const std::size_t Unsent =
      evbuffer_get_length(bufferevent_get_output(m_Stream));
  Sent.m_Unsent = Unsent > 0;
  const ConnectionTimeout::Look Seen = m_Timeout.look(m_Limits, Sent, Now);
  if (!Seen.m_Expired)
    return lookAt(Seen.m_Next);
  // It destroys this.
  const Expired OnExpired = std::exchange(m_Expired, nullptr);
  OnExpired({.m_Stage = m_Timeout.stage(),
             .m_Limit = *Seen.m_Expired,
             .m_SinceRead = Now - m_Timeout.readAt(),
             .m_SinceSent = Now - m_Timeout.sentAt(),
             .m_Unsent = Unsent});
}

} // namespace havenstair
