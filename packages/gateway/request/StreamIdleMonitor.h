/// \file
/// Detects that an upstream which sends no bytes is lost.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_STREAMIDLEMONITOR_H
#define HAVENSTAIR_GATEWAY_REQUEST_STREAMIDLEMONITOR_H

#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include <functional>
#include <optional>

namespace havenstair {

/// Idle timeout for the answer to one send. When no bytes come in time, it
/// probes whether the upstream accepts a connection: a busy engine may pause a
/// stream for long, and only one that accepts no connection any more has lost
/// it.
class StreamIdleMonitor {
public:
  struct Hooks {
    /// \returns the call that probes the upstream; empty if the idle timeout
    /// alone means that the send is lost.
    std::function<std::optional<HttpCall>()> m_Probe;
    /// Called when the send is lost. The monitor has stopped by then.
    std::function<void()> m_Lost;
  };

  StreamIdleMonitor(EventLoop &Loop, HttpClient &Client, Hooks Callbacks);
  StreamIdleMonitor(const StreamIdleMonitor &) = delete;
  StreamIdleMonitor &operator=(const StreamIdleMonitor &) = delete;

  /// Restarts the idle timer: the next bytes are expected within \p Limit.
  void expectBytesWithin(Duration Limit);
  /// Stops the timer and cancels a running probe.
  void stop();

private:
  void onIdle(Duration Limit);

  EventLoop &m_Loop;
  HttpClient &m_Client;
  Hooks m_Hooks;
  Timer m_Timer;
  HttpCallHandle m_ProbeCall;
};

} // namespace havenstair

#endif
