#include "gateway/request/RequestTimes.h"

#include <algorithm>

namespace havenstair {

namespace {

/// Deadline of requests for which the caller set none. The timeout of the route
/// ends them earlier.
constexpr Duration MaxDeadline = 3600s;

/// Lower limit for the time to wait for a message from the other boxes.
constexpr Duration MinToSpare = 100ms;

/// Lower limit for idle timeouts.
constexpr Duration MinIdleTimeout = 1200ms;

/// Idle timeouts as multiples of what is usual: of the target of a plain
/// service; of the expected time to the first token, which takes up to two and
/// a half times as long; of the target for gaps in a stream.
constexpr int IdleTargetMultiple = 3;
constexpr double IdleExpectedMultiple = 2.5;
constexpr int IdleGapMultiple = 4;

/// Added to the time within which a caller may take a stream up: boxes' clocks
/// and callers' deadlines are late by less.
constexpr Duration ResumeMargin = 5s;

} // namespace

RequestTimes::RequestTimes(const Route &MatchedRoute,
                           std::optional<Duration> CallerDeadline,
                           TimePoint Arrived)
    : m_Route(MatchedRoute), m_CallerDeadline(CallerDeadline),
      m_Arrived(Arrived),
      m_Deadline(Arrived + std::min(CallerDeadline.value_or(MaxDeadline),
                                    MatchedRoute.m_Timeout)) {}

Duration RequestTimes::toSpare(double ExpectedMs, TimePoint Now) const {
  return std::max<Duration>(MinToSpare, m_Route.m_Target - waited(Now) -
                                            fromMillis(ExpectedMs));
}

Duration RequestTimes::toResume(TimePoint Now) const {
  const Duration Wait = m_CallerDeadline.value_or(m_Route.m_Timeout);
  return std::max<Duration>(0us, m_Arrived + Wait - Now) + ResumeMargin;
}

Duration RequestTimes::answerTimeout() const {
  return IdleTargetMultiple * m_Route.m_Target;
}

Duration RequestTimes::firstEventTimeout(double ExpectedMs) const {
  return std::max<Duration>(MinIdleTimeout,
                            fromMillis(IdleExpectedMultiple * ExpectedMs) +
                                m_Route.m_Target);
}

Duration RequestTimes::nextEventTimeout() const {
  return std::max(MinIdleTimeout, IdleGapMultiple * m_Route.m_GapTarget);
}

} // namespace havenstair
