/// \file
/// Tells operators when a process has more to do than it can.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LOADMONITOR_H
#define HAVENSTAIR_GATEWAY_PROCESS_LOADMONITOR_H

#include "decisions/process/LoopLateness.h"
#include "wire/common/EventLoop.h"
#include <cstddef>
#include <functional>

namespace havenstair {

class DecisionLog;

/// Watches how late the loop runs and logs it while the process is behind.
class LoadMonitor {
public:
  struct Hooks {
    /// Number of requests without an answer.
    std::function<std::size_t()> m_Open;
    /// Number of connections that callers have made since the start.
    std::function<std::size_t()> m_Accepted;
    /// Number of connections that wait to be accepted.
    std::function<std::size_t()> m_Waiting;
    /// Called each time that the timer runs.
    std::function<void(TimePoint Now)> m_OnTimer;
  };

  /// \p Capacity is the processor time that the process gets in a second, in
  /// seconds.
  LoadMonitor(EventLoop &Loop, DecisionLog &Log, double Capacity,
              Hooks Callbacks);

  const LoopLateness &lateness() const { return m_Lateness; }

private:
  void onTimer();
  void log(TimePoint Now);

  DecisionLog &m_Log;
  double m_Capacity;
  Hooks m_Hooks;
  LoopLateness m_Lateness;
  TimePoint m_LoggedAt{};
  Duration m_LoggedProcessorTime{};
  std::size_t m_LoggedAccepted = 0;
  Timer m_Timer;
};

} // namespace havenstair

#endif
