#include "decisions/request/CallerClock.h"

#include <cmath>

namespace havenstair {

Duration CallerClock::sinceFirstTry(const std::string &Route, Duration Left,
                                    TimePoint Now) {
  Longest &Known = m_Routes[Route];
  const double Age = static_cast<double>((Now - Known.m_At).count()) /
                     static_cast<double>(m_Opts.m_Forget.count());
  const Duration Expected(static_cast<Duration::rep>(
      static_cast<double>(Known.m_Deadline.count()) * std::exp2(-Age)));
  if (Left >= Expected) {
    Known = {.m_Deadline = Left, .m_At = Now};
    return 0us;
  }
  const Duration Since = Known.m_Deadline - Left;
  const Duration Slack(static_cast<Duration::rep>(
      static_cast<double>(Known.m_Deadline.count()) * m_Opts.m_Slack));
  if (Since > Slack)
    return Since;
  Known.m_At = Now;
  return 0us;
}

} // namespace havenstair
