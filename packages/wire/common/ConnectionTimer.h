/// \file
/// Applies the timeouts of callers to one connection.
#ifndef HAVENSTAIR_WIRE_COMMON_CONNECTIONTIMER_H
#define HAVENSTAIR_WIRE_COMMON_CONNECTIONTIMER_H

#include "decisions/connection/ConnectionTimeout.h"
#include "wire/common/EventLoop.h"
#include <cstddef>
#include <functional>
#include <optional>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace havenstair {

/// A connection that was closed for a timeout.
struct TimedOutConnection {
  ConnectionStage m_Stage = ConnectionStage::AwaitingHead;
  Duration m_Limit{};
  Duration m_SinceRead{};   ///< Age of the last byte from the caller.
  Duration m_SinceSent{};   ///< Age of the last progress towards the caller.
  std::size_t m_Unsent = 0; ///< Bytes that waited for the caller.
};

/// Knows the stage of a connection and looks from time to time whether its
/// caller is idle.
class ConnectionTimer {
public:
  /// Called once, from the loop. Must close the connection.
  using Expired = std::function<void(const TimedOutConnection &)>;

  /// \p Stream must live until stop(), and \p Limits, which may change, as long
  /// as this.
  ConnectionTimer(EventLoop &Loop, bufferevent *Stream,
                  const CallerTimeouts &Limits, Expired OnExpired);
  ~ConnectionTimer() { stop(); }
  ConnectionTimer(const ConnectionTimer &) = delete;
  ConnectionTimer &operator=(const ConnectionTimer &) = delete;

  void enter(ConnectionStage Stage);
  ConnectionStage stage() const { return m_Timeout.stage(); }
  /// Bytes have come.
  void noteRead() { m_Timeout.noteRead(EventLoop::now()); }
  /// Must be called when the limits have changed; they apply in the next pass
  /// of the loop.
  void limitsChanged() { lookAt(EventLoop::now()); }
  /// Touches the stream no more.
  void stop();

private:
  static void onOutput(evbuffer *Output, const evbuffer_cb_info *Change,
                       void *Arg);
  void look();
  void lookAt(TimePoint At);

  EventLoop &m_Loop;
  bufferevent *m_Stream;
  const CallerTimeouts &m_Limits;
  Expired m_Expired;
  ConnectionTimeout m_Timeout;
  evbuffer_cb_entry *m_Watch;
  std::optional<TimePoint> m_NextLook; ///< When m_Timer ends.
  Timer m_Timer;
};

} // namespace havenstair

#endif
