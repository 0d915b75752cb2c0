/// \file
/// Times and durations of the decisions, which get the current time as an
/// argument and never read a clock.
#ifndef HAVENSTAIR_DECISIONS_COMMON_TIME_H
#define HAVENSTAIR_DECISIONS_COMMON_TIME_H

#include <chrono>
#include <cstdint>

namespace havenstair {

/// A duration in whole microseconds.
using Duration = std::chrono::microseconds;

/// A clock without `now()`, so that decisions cannot read the time.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true; // NOLINT: name set by the standard
};

/// A time of the box's own monotonic clock.
using TimePoint = MonotonicClock::time_point;

/// Milliseconds since the Unix epoch; used only for the ages of UUIDv7 keys.
using WallMillis = std::int64_t;

/// \p Time in milliseconds, with fractions of a millisecond.
constexpr double inMillis(Duration Time) {
  return static_cast<double>(Time.count()) / 1000;
}

/// Upper bound of durations that come from outside or from a sum, so that they
/// do not overflow when they are added to a time. It stands for no limit.
constexpr Duration LongestDuration = std::chrono::hours(24 * 365 * 30);

/// \p Micros microseconds, bounded to LongestDuration in both directions; zero
/// for NaN.
constexpr Duration boundedMicros(double Micros) {
  constexpr auto Most = static_cast<double>(LongestDuration.count());
  if (Micros >= Most)
    return LongestDuration;
  if (Micros <= -Most)
    return -LongestDuration;
  return Micros == Micros ? Duration(static_cast<Duration::rep>(Micros))
                          : Duration(0);
}

/// \p Millis milliseconds, truncated to whole microseconds and bounded
/// likewise.
constexpr Duration fromMillis(double Millis) {
  return boundedMicros(Millis * 1000);
}

/// \p Time in seconds, with fractions of a second.
constexpr double inSeconds(Duration Time) {
  return static_cast<double>(Time.count()) / 1e6;
}

/// \p Seconds seconds, truncated to whole microseconds and bounded likewise.
constexpr Duration fromSeconds(double Seconds) {
  return boundedMicros(Seconds * 1e6);
}

using std::chrono_literals::operator""us;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

} // namespace havenstair

#endif
