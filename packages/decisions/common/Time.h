/// \file
/// Time as the decisions see it: a value handed in by the caller, never read.
#ifndef HAVENSTAIR_DECISIONS_COMMON_TIME_H
#define HAVENSTAIR_DECISIONS_COMMON_TIME_H

#include <chrono>
#include <cstdint>

namespace havenstair {

/// All intervals are whole microseconds.
using Duration = std::chrono::microseconds;

/// A clock without `now()`: decisions cannot read the time by themselves.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true; // NOLINT: name set by the standard
};

/// A point on the box's own monotonic clock.
using TimePoint = MonotonicClock::time_point;

/// Milliseconds since the Unix epoch; used only for ages of UUIDv7 keys.
using WallMillis = std::int64_t;

/// \p Time in milliseconds, with fractions.
constexpr double inMillis(Duration Time) {
  return static_cast<double>(Time.count()) / 1000;
}

/// Longer times, from outside or from a sum, are as good as for ever; they must
/// not overflow when they are added to a point in time.
constexpr Duration LongestDuration = std::chrono::hours(24 * 365 * 30);

/// \p Micros microseconds, no longer than LongestDuration either way; zero for
/// what is no number.
constexpr Duration boundedMicros(double Micros) {
  constexpr auto Most = static_cast<double>(LongestDuration.count());
  if (Micros >= Most)
    return LongestDuration;
  if (Micros <= -Most)
    return -LongestDuration;
  return Micros == Micros ? Duration(static_cast<Duration::rep>(Micros))
                          : Duration(0);
}

/// \p Millis milliseconds, down to a whole microsecond.
constexpr Duration fromMillis(double Millis) {
  return boundedMicros(Millis * 1000);
}

/// \p Time in seconds, with fractions.
constexpr double inSeconds(Duration Time) {
  return static_cast<double>(Time.count()) / 1e6;
}

/// \p Seconds seconds, down to a whole microsecond.
constexpr Duration fromSeconds(double Seconds) {
  return boundedMicros(Seconds * 1e6);
}

using std::chrono_literals::operator""us;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

} // namespace havenstair

#endif
