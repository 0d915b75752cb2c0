#include "wire/common/ProcessorTime.h"

#include <ctime>

namespace havenstair {

Duration processorTime() {
  timespec Used{};
  if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used) != 0)
    return 0us;
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Used.tv_sec) +
      std::chrono::nanoseconds(Used.tv_nsec));
}

} // namespace havenstair
