#include "decisions/request/RetryDetector.h"

#include <algorithm>
#include <cmath>

namespace havenstair {

RetryDetector::RouteStats &RetryDetector::statsFor(const std::string &Route,
                                                   TimePoint Now) {
  if (m_Routes.size() >= m_Opts.m_MaxRoutes && !m_Routes.contains(Route))
    std::erase_if(m_Routes, [&](const auto &Each) {
      return Now - Each.second.m_Recent.m_UpdatedAt > m_Opts.m_LearningHalfLife;
    });
  return m_Routes[Route];
}

double RetryDetector::valueOf(const DecayingCount &Of, Duration Half,
                              TimePoint Now) {
  const double Age = static_cast<double>((Now - Of.m_UpdatedAt).count()) /
                     static_cast<double>(Half.count());
  return Of.m_Sum * std::exp2(-std::max(0.0, Age));
}

double RetryDetector::add(DecayingCount &To, Duration Half, TimePoint Now) {
  To = {.m_Sum = valueOf(To, Half, Now) + 1, .m_UpdatedAt = Now};
  return To.m_Sum;
}

void RetryDetector::learn(RouteStats &To, int Index, Duration Left,
                          TimePoint Now) const {
  Bucket &At = To.m_Buckets[Index];
  const bool New = add(At.m_Attempts, m_Opts.m_LearningHalfLife, Now) < 2;
  At.m_Shortest = New ? Left : std::min(At.m_Shortest, Left);
  add(To.m_FirstAttempts, m_Opts.m_LearningHalfLife, Now);
}

bool RetryDetector::usual(const RouteStats &Known, int Index,
                          TimePoint Now) const {
  const auto At = Known.m_Buckets.find(Index);
  return At != Known.m_Buckets.end() &&
         valueOf(At->second.m_Attempts, m_Opts.m_LearningHalfLife, Now) >=
             m_Opts.m_MinUsualShare *
                 valueOf(Known.m_FirstAttempts, m_Opts.m_LearningHalfLife, Now);
}

bool RetryDetector::retriesMatchRefusals(const RouteStats &Known,
                                         TimePoint Now) const {
  /// So few may be there by chance.
  constexpr double Few = 2;
  const double Away =
      valueOf(Known.m_Refused, m_Opts.m_ComparisonHalfLife, Now);
  const double Back =
      valueOf(Known.m_Unusual, m_Opts.m_ComparisonHalfLife, Now);
  return Away >= 0.5 && Back >= m_Opts.m_MinRetriesPerRefusal * Away &&
         Back <= m_Opts.m_MaxRetriesPerRefusal * Away + Few;
}

Duration RetryDetector::timeBelowUsual(const RouteStats &Known, int Index,
                                       Duration Left, TimePoint Now) const {
  const double Lately =
      valueOf(Known.m_Recent, m_Opts.m_ComparisonHalfLife, Now);
  if (valueOf(Known.m_Unusual, m_Opts.m_ComparisonHalfLife, Now) <
      m_Opts.m_MinRetryShare * Lately)
    return 0us;
  // Near deadlines that some first tries had it may be one of them.
  constexpr int Near = 2;
  double Sum = 0;
  const auto End = Known.m_Buckets.upper_bound(Index + Near);
  for (auto At = Known.m_Buckets.lower_bound(Index - Near); At != End; ++At)
    Sum += valueOf(At->second.m_Attempts, m_Opts.m_LearningHalfLife, Now);
  if (Sum >= m_Opts.m_MinUsualShare *
                 valueOf(Known.m_FirstAttempts, m_Opts.m_LearningHalfLife, Now))
    return 0us;
  const auto Longer = Known.m_Buckets.upper_bound(Index);
  return Longer == Known.m_Buckets.end() ? 0us
                                         : Longer->second.m_Shortest - Left;
}

Duration RetryDetector::timeSinceFirstAttempt(const std::string &Route,
                                              Duration Left, TimePoint Now) {
  RouteStats &Known = statsFor(Route, Now);
  const int Index =
      static_cast<int>(std::floor(std::log(std::max(1.0, inMillis(Left))) /
                                  std::log1p(m_Opts.m_BucketWidth)));
  add(Known.m_Recent, m_Opts.m_ComparisonHalfLife, Now);
  const bool Unusual = !usual(Known, Index, Now);
  if (Unusual)
    add(Known.m_Unusual, m_Opts.m_ComparisonHalfLife, Now);
  if (valueOf(Known.m_FirstAttempts, m_Opts.m_LearningHalfLife, Now) <
          m_Opts.m_MinLearned ||
      !retriesMatchRefusals(Known, Now)) {
    learn(Known, Index, Left, Now);
    return 0us;
  }
  return Unusual ? timeBelowUsual(Known, Index, Left, Now) : 0us;
}

void RetryDetector::recordRefusal(const std::string &Route, TimePoint Now) {
  add(statsFor(Route, Now).m_Refused, m_Opts.m_ComparisonHalfLife, Now);
}

} // namespace havenstair
