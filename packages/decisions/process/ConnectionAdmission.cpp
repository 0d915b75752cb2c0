#include "decisions/process/ConnectionAdmission.h"

#include "decisions/common/DecayingAverage.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// What requests took lately is what they are expected to take.
constexpr Duration RecentMemory = 1s;

/// What they took over this time counts as much as a few recent ones.
constexpr Duration LongMemory = 30s;
constexpr double LongRequests = 4;

/// Assumed of a few requests before there are any.
constexpr double FirstCost = 0.001; ///< Seconds.
constexpr double FirstRequests = 4;

/// Times over which use is averaged: all, and that without requests.
constexpr Duration UseMemory = 2s;
constexpr Duration IdleMemory = 10s;

/// A process that has used less for so long, in parts of its capacity, is late
/// for another reason.
constexpr double MinBoundUse = 0.6;
constexpr Duration BoundFor = 2s;
/// One that uses more is not held to its capacity.
constexpr double MaxHeldUse = 1.5;
/// One that uses so much without requests has a clock that tells other time
/// than its own.
constexpr double MaxIdleUse = 0.9;

/// Part of the capacity that is spent on requests by a process that keeps up,
/// and by one that hardly runs: it has more to do than was foreseen.
constexpr double FullRefill = 0.9;
constexpr double LeastRefill = 0.3;
/// Late shares at which these hold.
constexpr double LowLateShare = 0.3;
constexpr double HighLateShare = 0.9;

/// Capacity of so long may be spent at once, and be owed.
constexpr Duration BurstTime = 300ms;
constexpr Duration MaxDebtTime = 1s;

/// Capacity of so long is there before connections are accepted again.
constexpr Duration ReopenTime = 50ms;
constexpr Duration MinPause = 20ms;
/// After it one connection is taken in any case, as the cost may be wrong.
constexpr Duration MaxPause = 500ms;

} // namespace

void ConnectionAdmission::History::age(Duration Passed, Duration Memory) {
  const double Kept = keptWeight(Passed, Memory);
  m_Requests *= Kept;
  m_Processor *= Kept;
}

ConnectionAdmission::ConnectionAdmission(Options Opts)
    : m_Opts(Opts), m_Budget(burst()) {}

double ConnectionAdmission::burst() const {
  return m_Opts.m_Capacity * inSeconds(BurstTime);
}

Duration ConnectionAdmission::cost() const {
  const double Usual = (m_Long.m_Processor + FirstRequests * FirstCost) /
                       (m_Long.m_Requests + FirstRequests);
  return fromSeconds((m_Recent.m_Processor + LongRequests * Usual) /
                     (m_Recent.m_Requests + LongRequests));
}

double ConnectionAdmission::refillRate() const {
  const double Lateness = std::clamp((m_Last.m_LateShare - LowLateShare) /
                                         (HighLateShare - LowLateShare),
                                     0.0, 1.0);
  return m_Opts.m_Capacity *
         (FullRefill - Lateness * (FullRefill - LeastRefill));
}

void ConnectionAdmission::sample(const Sample &Now) {
  refill(Now.m_At);
  const Sample Before = std::exchange(m_Last, Now);
  if (Before.m_At != TimePoint() && Now.m_At > Before.m_At)
    learn(Before);
}

void ConnectionAdmission::learn(const Sample &Before) {
  const Duration Passed = m_Last.m_At - Before.m_At;
  const double Used =
      inSeconds(m_Last.m_ProcessorTime - Before.m_ProcessorTime);
  const double PerSecond = Used / inSeconds(Passed);
  m_Use = decayingAverage(m_Use, PerSecond, Passed, UseMemory);
  if (PerSecond >= MinBoundUse * m_Opts.m_Capacity)
    m_UsedAt = m_Last.m_At;
  const double Begun = std::exchange(m_Begun, 0);
  if (Begun == 0 && Before.m_Open == 0 && m_Last.m_Open == 0) {
    m_IdleUse = decayingAverage(m_IdleUse, PerSecond, Passed, IdleMemory);
    return;
  }
  // Half of a request's cost counts at its begin, half at its end.
  const double Opened =
      static_cast<double>(m_Last.m_Open) - static_cast<double>(Before.m_Open);
  const double Requests = std::max(0.0, Begun - Opened / 2);
  const double OnThem = std::max(0.0, Used - m_IdleUse * inSeconds(Passed));
  m_Recent.age(Passed, RecentMemory);
  m_Long.age(Passed, LongMemory);
  for (History *Each : {&m_Recent, &m_Long}) {
    Each->m_Requests += Requests;
    Each->m_Processor += OnThem;
  }
}

void ConnectionAdmission::refill(TimePoint Now) {
  const Duration Passed = Now - std::exchange(m_RefilledAt, Now);
  m_Budget = std::min(burst(), m_Budget + inSeconds(Passed) * refillRate());
}

void ConnectionAdmission::onRequest(TimePoint Now) {
  refill(Now);
  m_Begun += 1;
  m_Budget = std::max(m_Budget - inSeconds(cost()),
                      -m_Opts.m_Capacity * inSeconds(MaxDebtTime));
}

bool ConnectionAdmission::boundByCapacity(TimePoint Now) const {
  return Now - m_UsedAt < BoundFor && m_Use <= MaxHeldUse * m_Opts.m_Capacity &&
         m_IdleUse <= MaxIdleUse;
}

bool ConnectionAdmission::admits(TimePoint Now, bool Behind) {
  refill(Now);
  return m_Budget > 0 || !Behind || !boundByCapacity(Now);
}

Duration ConnectionAdmission::pause(TimePoint Now) {
  refill(Now);
  const double Missing = m_Opts.m_Capacity * inSeconds(ReopenTime) - m_Budget;
  return std::clamp<Duration>(fromSeconds(Missing / refillRate()), MinPause,
                              MaxPause);
}

} // namespace havenstair
