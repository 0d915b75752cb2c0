#include "soak/ProcessorShares.h"

#include <algorithm>
#include <ctime>

namespace havenstair {

namespace {

constexpr Duration Period = 100ms;
constexpr Duration LookEvery = 3ms;

/// Processor time of all threads of \p Process; zero once it is gone.
Duration processorTime(pid_t Process) {
  clockid_t Clock{};
  timespec Time{};
  if (clock_getcpuclockid(Process, &Clock) != 0 ||
      clock_gettime(Clock, &Time) != 0)
    return 0us;
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

Duration part(double Share) {
  return std::chrono::duration_cast<Duration>(Period * Share);
}

} // namespace

ProcessorShares::ProcessorShares(EventLoop &Loop)
    : m_NextPeriod(EventLoop::now() + Period),
      m_Timer(Loop.every(LookEvery, [this] { look(); })) {}

void ProcessorShares::hold(SoakBox &Box, double Share) {
  m_Held.push_back({.m_Box = &Box,
                    .m_Share = Share,
                    .m_Life = Box.life(),
                    .m_Used = processorTime(Box.process()),
                    .m_Credit = part(Share)});
}

void ProcessorShares::look() {
  const TimePoint Now = EventLoop::now();
  const bool Refills = Now >= m_NextPeriod;
  if (Refills)
    m_NextPeriod = std::max(m_NextPeriod + Period, Now);
  for (Held &Each : m_Held) {
    charge(Each);
    if (Refills)
      refill(Each);
  }
}

void ProcessorShares::charge(Held &Of) {
  if (Of.m_Life != Of.m_Box->life())
    Of = {.m_Box = Of.m_Box,
          .m_Share = Of.m_Share,
          .m_Life = Of.m_Box->life(),
          .m_Used = 0us,
          .m_Credit = part(Of.m_Share),
          .m_Stopped = false};
  const Duration Used = processorTime(Of.m_Box->process());
  if (Used <= Of.m_Used)
    return;
  Of.m_Credit -= Used - Of.m_Used;
  Of.m_Used = Used;
  if (Of.m_Credit > 0us || Of.m_Stopped)
    return;
  Of.m_Stopped = true;
  Of.m_Box->hold();
}

void ProcessorShares::refill(Held &Of) {
  Of.m_Credit = std::min(Of.m_Credit + part(Of.m_Share), part(Of.m_Share));
  if (!Of.m_Stopped || Of.m_Credit <= 0us)
    return;
  Of.m_Stopped = false;
  Of.m_Box->release();
}

} // namespace havenstair
