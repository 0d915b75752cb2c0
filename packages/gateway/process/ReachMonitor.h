/// \file
/// Finds out by probes whether this box is partitioned from all upstreams.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_REACHMONITOR_H
#define HAVENSTAIR_GATEWAY_PROCESS_REACHMONITOR_H

#include "gateway/process/ServingState.h"
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include <functional>

namespace havenstair {

class DecisionLog;

/// Receives the ends of calls to upstreams and keeps the state's UpstreamReach.
/// Probes one upstream at a time while it is in doubt; in good times, none.
class ReachMonitor {
public:
  struct Options {
    Duration m_ProbeTimeout = 300ms;
    /// Time between the end of a probe and the next one in a partition.
    Duration m_ProbePause = 500ms;
  };
  struct Hooks {
    /// A partition has begun or ended.
    std::function<void(bool Partitioned)> m_Changed;
    /// An upstream has answered a call that was started at \p StartedAt on a
    /// new connection.
    std::function<void(TimePoint StartedAt)> m_Reached;
    /// An upstream was reached after others were not. \p WasPartitioned: none
    /// was reached until now.
    std::function<void(bool WasPartitioned)> m_Reachable;
  };

  ReachMonitor(EventLoop &Loop, HttpClient &Client, ServingState &State,
               DecisionLog &Log, Options Opts, Hooks Callbacks);
  ReachMonitor(const ReachMonitor &) = delete;
  ReachMonitor &operator=(const ReachMonitor &) = delete;

  /// An upstream has begun to answer \p Call.
  void onReached(const UpstreamReach::Call &Call);
  /// The connection of \p Call did not come up, or was reset unused.
  void onFailed(const UpstreamReach::Call &Call);

private:
  void probeLater(Duration Pause);
  void probe();
  void onProbeEnd(const UpstreamReach::Call &Call, HttpEnd End);
  const UpstreamInstance *nextUpstream() const;
  bool hasEnded(const InstanceId &Id, TimePoint Now) const;

  EventLoop &m_Loop;
  HttpClient &m_Client;
  ServingState &m_State;
  DecisionLog &m_Log;
  Options m_Opts;
  Hooks m_Hooks;
  TimePoint m_Since{}; ///< When the present partition began.
  InstanceId m_Probed; ///< The upstream that was probed last.
  HttpCallHandle m_Call;
  bool m_Probing = false; ///< A probe runs or is planned.
  Timer m_Timer;
};

} // namespace havenstair

#endif
