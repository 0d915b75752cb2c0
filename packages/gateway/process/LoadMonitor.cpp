#include "gateway/process/LoadMonitor.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/ProcessorTime.h"
#include <utility>

namespace havenstair {

namespace {

constexpr Duration LogInterval = 1s;

} // namespace

LoadMonitor::LoadMonitor(EventLoop &Loop, DecisionLog &Log, double Capacity,
                         Hooks Callbacks)
    : m_Log(Log), m_Capacity(Capacity), m_Hooks(std::move(Callbacks)),
      m_Timer(Loop.every(LoopLateness::Interval, [this] { onTimer(); })) {}

void LoadMonitor::onTimer() {
  const TimePoint Now = EventLoop::now();
  m_Lateness.onTimer(Now);
  m_Hooks.m_OnTimer(Now);
  if (Now - m_LoggedAt >= LogInterval)
    log(Now);
}

void LoadMonitor::log(TimePoint Now) {
  const Duration Since = Now - std::exchange(m_LoggedAt, Now);
  const Duration Used = processorTime();
  const Duration UsedSince = Used - std::exchange(m_LoggedProcessorTime, Used);
  const std::size_t Accepted = m_Hooks.m_Accepted();
  const std::size_t AcceptedSince =
      Accepted - std::exchange(m_LoggedAccepted, Accepted);
  if (!m_Lateness.behind(Now))
    return;
  m_Log.write("behind", {{"late_share", m_Lateness.share()},
                         {"since_ms", Since / 1ms},
                         {"processor_ms", UsedSince / 1ms},
                         {"capacity", m_Capacity},
                         {"open", m_Hooks.m_Open()},
                         {"accepted", AcceptedSince},
                         {"waiting", m_Hooks.m_Waiting()}});
}

} // namespace havenstair
