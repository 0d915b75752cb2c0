/// \file
/// How a process ends that was told to stop.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_STOPSEQUENCE_H
#define HAVENSTAIR_GATEWAY_PROCESS_STOPSEQUENCE_H

#include "wire/common/EventLoop.h"
#include <cstddef>
#include <functional>

namespace havenstair {

class DecisionLog;
struct ServingState;

/// Lets a process take requests until its callers know that it stops, and end
/// once all are answered. Those that are left shortly before the end of the
/// grace period are answered then. See docs/design/stop.md.
class StopSequence {
public:
  struct Hooks {
    std::function<std::size_t()> m_Open; ///< Requests without an answer.
    /// Connections on which answers wait for callers that may still read them.
    std::function<std::size_t()> m_Unsent;
    /// Answers all requests that are open, and takes no more connections.
    std::function<void()> m_AnswerRest;
    std::function<void()> m_Stopped; ///< The process is to end.
  };

  /// Sets what \p State says of the stop.
  StopSequence(EventLoop &Loop, DecisionLog &Log, ServingState &State,
               Hooks Callbacks);

  /// Begins the stop of a process that is killed after \p GracePeriod. \returns
  /// false if it has begun before.
  bool begin(Duration GracePeriod, TimePoint Now);

private:
  void check();

  EventLoop &m_Loop;
  DecisionLog &m_Log;
  ServingState &m_State;
  Hooks m_Hooks;
  Timer m_Timer;
  TimePoint m_BusyAt{}; ///< When a request was last open, or an answer unsent.
};

} // namespace havenstair

#endif
