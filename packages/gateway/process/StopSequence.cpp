#include "gateway/process/StopSequence.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/ServingState.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// The load balancer needs two health checks, a second apart, to see that a box
/// stops.
constexpr Duration TakingTime = 3s;

/// Time before the end of the grace period at which the process answers all
/// that is left, and ends.
constexpr Duration GraceMargin = 600ms;
constexpr Duration CheckInterval = 100ms;

/// The last bytes of an answer may still be in transit when its request ends.
constexpr Duration FlushTime = 400ms;
/// The same for the answers that are given at the end of the grace period.
constexpr Duration LastFlushTime = 300ms;

} // namespace

StopSequence::StopSequence(EventLoop &Loop, DecisionLog &Log,
                           ServingState &State, Hooks Callbacks)
    : m_Loop(Loop), m_Log(Log), m_State(State), m_Hooks(std::move(Callbacks)) {}

bool StopSequence::begin(Duration GracePeriod, TimePoint Now) {
  if (std::exchange(m_State.m_Stopping, true))
    return false;
  m_State.m_EndsAt = Now + std::max<Duration>(0us, GracePeriod - GraceMargin);
  m_State.m_TakesUntil = std::min(Now + TakingTime, m_State.m_EndsAt);
  m_BusyAt = Now;
  m_Log.write("stopping", {{"open", m_Hooks.m_Open()},
                           {"takes_ms", (m_State.m_TakesUntil - Now) / 1ms},
                           {"ends_ms", (m_State.m_EndsAt - Now) / 1ms}});
  m_Timer = m_Loop.every(CheckInterval, [this] { check(); });
  return true;
}

void StopSequence::check() {
  const TimePoint Now = EventLoop::now();
  if (Now >= m_State.m_EndsAt) {
    if (const std::size_t Left = m_Hooks.m_Open(); Left > 0)
      m_Log.write("rest_answered", {{"open", Left}});
    m_Hooks.m_AnswerRest();
  }
  const std::size_t Open = m_Hooks.m_Open();
  const std::size_t Unsent = m_Hooks.m_Unsent();
  if (Open > 0 || Unsent > 0)
    m_BusyAt = Now;
  const bool Idle = Now >= m_State.m_TakesUntil && Now - m_BusyAt >= FlushTime;
  const bool Over = Now >= m_State.m_EndsAt + LastFlushTime;
  if (!Idle && !Over)
    return;
  m_Log.write("stopped", {{"open", Open}, {"unsent", Unsent}});
  m_Timer = Timer();
  m_Hooks.m_Stopped();
}

} // namespace havenstair
