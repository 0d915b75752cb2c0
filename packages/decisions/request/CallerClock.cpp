#include "decisions/request/CallerClock.h"

#include <algorithm>
#include <cmath>

namespace havenstair {

CallerClock::Book &CallerClock::bookOf(const std::string &Route,
                                       TimePoint Now) {
  if (m_Routes.size() >= m_Opts.m_Routes && !m_Routes.contains(Route))
    std::erase_if(m_Routes, [&](const auto &Each) {
      return Now - Each.second.m_Lately.m_At > m_Opts.m_Forget;
    });
  return m_Routes[Route];
}

double CallerClock::valueOf(const Count &Of, Duration Half, TimePoint Now) {
  const double Age = static_cast<double>((Now - Of.m_At).count()) /
                     static_cast<double>(Half.count());
  return Of.m_Sum * std::exp2(-std::max(0.0, Age));
}

double CallerClock::add(Count &To, Duration Half, TimePoint Now) {
  To = {.m_Sum = valueOf(To, Half, Now) + 1, .m_At = Now};
  return To.m_Sum;
}

void CallerClock::learn(Book &To, int Index, Duration Left,
                        TimePoint Now) const {
  Step &At = To.m_Steps[Index];
  const bool New = add(At.m_Tries, m_Opts.m_Forget, Now) < 2;
  At.m_Shortest = New ? Left : std::min(At.m_Shortest, Left);
  add(To.m_Firsts, m_Opts.m_Forget, Now);
}

bool CallerClock::usual(const Book &Known, int Index, TimePoint Now) const {
  const auto At = Known.m_Steps.find(Index);
  return At != Known.m_Steps.end() &&
         valueOf(At->second.m_Tries, m_Opts.m_Forget, Now) >=
             m_Opts.m_LeastPart * valueOf(Known.m_Firsts, m_Opts.m_Forget, Now);
}

bool CallerClock::comeBack(const Book &Known, TimePoint Now) const {
  /// So few may be there by chance.
  constexpr double Few = 2;
  const double Away = valueOf(Known.m_TurnedAway, m_Opts.m_Compare, Now);
  const double Back = valueOf(Known.m_Unusual, m_Opts.m_Compare, Now);
  return Away >= 0.5 && Back >= m_Opts.m_FewestBack * Away &&
         Back <= m_Opts.m_MostBack * Away + Few;
}

Duration CallerClock::beyondUsual(const Book &Known, int Index, Duration Left,
                                  TimePoint Now) const {
  const double Lately = valueOf(Known.m_Lately, m_Opts.m_Compare, Now);
  if (valueOf(Known.m_Unusual, m_Opts.m_Compare, Now) <
      m_Opts.m_LeastSeconds * Lately)
    return 0us;
  // Near deadlines that some first tries had it may be one of them.
  constexpr int Near = 2;
  double Sum = 0;
  const auto End = Known.m_Steps.upper_bound(Index + Near);
  for (auto At = Known.m_Steps.lower_bound(Index - Near); At != End; ++At)
    Sum += valueOf(At->second.m_Tries, m_Opts.m_Forget, Now);
  if (Sum >= m_Opts.m_LeastPart * valueOf(Known.m_Firsts, m_Opts.m_Forget, Now))
    return 0us;
  const auto Longer = Known.m_Steps.upper_bound(Index);
  return Longer == Known.m_Steps.end() ? 0us : Longer->second.m_Shortest - Left;
}

Duration CallerClock::sinceFirstTry(const std::string &Route, Duration Left,
                                    TimePoint Now) {
  Book &Known = bookOf(Route, Now);
  const int Index = static_cast<int>(std::floor(
      std::log(std::max(1.0, inMillis(Left))) / std::log1p(m_Opts.m_Step)));
  add(Known.m_Lately, m_Opts.m_Compare, Now);
  const bool Unusual = !usual(Known, Index, Now);
  if (Unusual)
    add(Known.m_Unusual, m_Opts.m_Compare, Now);
  if (valueOf(Known.m_Firsts, m_Opts.m_Forget, Now) < m_Opts.m_LeastSeen ||
      !comeBack(Known, Now)) {
    learn(Known, Index, Left, Now);
    return 0us;
  }
  return Unusual ? beyondUsual(Known, Index, Left, Now) : 0us;
}

void CallerClock::turnedAway(const std::string &Route, TimePoint Now) {
  add(bookOf(Route, Now).m_TurnedAway, m_Opts.m_Compare, Now);
}

} // namespace havenstair
