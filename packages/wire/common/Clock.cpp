#include "wire/common/Clock.h"

#include <ctime>

namespace havenstair {

namespace {

Duration Skipped = 0us;

Duration read(clockid_t Which) {
  timespec Time{};
  clock_gettime(Which, &Time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace

TimePoint Clock::now() { return TimePoint(read(CLOCK_BOOTTIME) + Skipped); }

Duration Clock::suspendedFor() {
  return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC) + Skipped;
}

void Clock::skip(Duration Time) { Skipped += Time; }

} // namespace havenstair
