/// \file
/// Refuses new connections for a while.
#ifndef HAVENSTAIR_WIRE_COMMON_LISTENERPAUSE_H
#define HAVENSTAIR_WIRE_COMMON_LISTENERPAUSE_H

#include "wire/common/EventLoop.h"

struct evconnlistener;

namespace havenstair {

/// Lets the system refuse connections at once, those that wait to be accepted
/// among them, so that their callers can go elsewhere. The address stays bound,
/// and a refusal takes no processor time of this process.
class ListenerPause {
public:
  /// \p Listener must outlive it.
  ListenerPause(EventLoop &Loop, evconnlistener *Listener);
  ~ListenerPause();
  ListenerPause(const ListenerPause &) = delete;
  ListenerPause &operator=(const ListenerPause &) = delete;

  /// Accepts nothing for \p For. May be called from the listener's callback.
  void begin(Duration For);
  bool active() const { return m_Active; }

private:
  void end();

  EventLoop &m_Loop;
  evconnlistener *m_Listener;
  bool m_Active = false;
  Timer m_End;
};

} // namespace havenstair

#endif
