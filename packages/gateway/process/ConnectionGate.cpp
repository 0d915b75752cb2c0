#include "gateway/process/ConnectionGate.h"

#include "gateway/common/DecisionLog.h"
#include <utility>

namespace havenstair {

namespace {

constexpr Duration LogInterval = 1s;

} // namespace

ConnectionGate::ConnectionGate(DecisionLog &Log, double Capacity,
                               const LoopLateness &Lateness)
    : m_Log(Log), m_Lateness(Lateness), m_Admission({.m_Capacity = Capacity}) {}

void ConnectionGate::sample(TimePoint Now, const Counts &Counted) {
  m_Admission.sample({.m_At = Now,
                      .m_ProcessorTime = Counted.m_ProcessorTime,
                      .m_Open = Counted.m_Open,
                      .m_LateShare = m_Lateness.share()});
  if (Now - m_LoggedAt >= LogInterval)
    log(Now, Counted);
}

Duration ConnectionGate::onConnection(TimePoint Now) {
  m_Admission.onRequest(Now);
  if (m_Admission.admits(Now, m_Lateness.behind(Now)))
    return 0us;
  const Duration Result = m_Admission.pause(Now);
  ++m_Pauses;
  m_Paused += Result;
  return Result;
}

/// Tells of the pauses since the last line.
void ConnectionGate::log(TimePoint Now, const Counts &Counted) {
  m_LoggedAt = Now;
  const std::size_t Accepted =
      Counted.m_Accepted - std::exchange(m_LoggedAccepted, Counted.m_Accepted);
  const std::size_t Closed =
      Counted.m_ClosedUnread -
      std::exchange(m_LoggedClosed, Counted.m_ClosedUnread);
  const std::size_t Pauses = m_Pauses - std::exchange(m_LoggedPauses, m_Pauses);
  const Duration Paused = m_Paused - std::exchange(m_LoggedPaused, m_Paused);
  if (Pauses == 0 && Closed == 0)
    return;
  m_Log.write("connections_closed", {{"closed", Closed},
                                     {"pauses", Pauses},
                                     {"paused_ms", Paused / 1ms},
                                     {"accepted", Accepted},
                                     {"open", Counted.m_Open},
                                     {"cost_us", m_Admission.cost() / 1us},
                                     {"late_share", m_Lateness.share()}});
}

} // namespace havenstair
