/// \file
/// Turns new connections away for a while.
#ifndef HAVENSTAIR_WIRE_COMMON_LISTENERPAUSE_H
#define HAVENSTAIR_WIRE_COMMON_LISTENERPAUSE_H

#include "wire/common/EventLoop.h"
#include <cstddef>

struct evconnlistener;

namespace havenstair {

/// Closes new connections without reading from them, those that wait to be
/// accepted among them, so that their callers can go elsewhere at once.
class ListenerPause {
public:
  /// \p Listener must live until giveUp().
  ListenerPause(EventLoop &Loop, evconnlistener *Listener)
      : m_Loop(Loop), m_Listener(Listener) {}

  /// Begins a pause of \p For; nothing within a pause. May be called from the
  /// listener's callback.
  void begin(Duration For);
  /// Touches the listener no more.
  void giveUp();
  /// Number of connections that were closed.
  std::size_t closed() const { return m_Closed; }

private:
  void closeWaiting();
  void end();

  EventLoop &m_Loop;
  evconnlistener *m_Listener;
  std::size_t m_Closed = 0;
  bool m_Active = false; ///< Within a pause, or after giveUp().
  Timer m_End;
  Timer m_Close;
};

} // namespace havenstair

#endif
