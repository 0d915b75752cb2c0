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

double RetryDetector::valueOf(const DecayingCount &Counter, Duration HalfLife,
                              TimePoint Now) {
  const double Age = static_cast<double>((Now - Counter.m_UpdatedAt).count()) /
                     static_cast<double>(HalfLife.count());
  return Counter.m_Sum * std::exp2(-std::max(0.0, Age));
}

double RetryDetector::add(DecayingCount &Counter, Duration HalfLife,
                          TimePoint Now) {
  Counter = {.m_Sum = valueOf(Counter, HalfLife, Now) + 1, .m_UpdatedAt = Now};
  return Counter.m_Sum;
}

void RetryDetector::learn(RouteStats &Stats, int Index, Duration Left,
                          TimePoint Now) const {
  Bucket &Learned = Stats.m_Buckets[Index];
  const bool New = add(Learned.m_Attempts, m_Opts.m_LearningHalfLife, Now) < 2;
  Learned.m_Shortest = New ? Left : std::min(Learned.m_Shortest, Left);
  add(Stats.m_FirstAttempts, m_Opts.m_LearningHalfLife, Now);
}

bool RetryDetector::usual(const RouteStats &Stats, int Index,
                          TimePoint Now) const {
  const auto Found = Stats.m_Buckets.find(Index);
  return Found != Stats.m_Buckets.end() &&
         valueOf(Found->second.m_Attempts, m_Opts.m_LearningHalfLife, Now) >=
             m_Opts.m_MinUsualShare *
                 valueOf(Stats.m_FirstAttempts, m_Opts.m_LearningHalfLife, Now);
}

bool RetryDetector::retriesMatchRefusals(const RouteStats &Stats,
                                         TimePoint Now) const {
  /// So few unusual deadlines may occur without any retry.
  constexpr double ChanceRetries = 2;
  const double Refusals =
      valueOf(Stats.m_Refused, m_Opts.m_ComparisonHalfLife, Now);
  const double Retries =
      valueOf(Stats.m_Unusual, m_Opts.m_ComparisonHalfLife, Now);
  return Refusals >= 0.5 &&
         Retries >= m_Opts.m_MinRetriesPerRefusal * Refusals &&
         Retries <= m_Opts.m_MaxRetriesPerRefusal * Refusals + ChanceRetries;
}

Duration RetryDetector::timeBelowUsual(const RouteStats &Stats, int Index,
                                       Duration Left, TimePoint Now) const {
  const double Recent =
      valueOf(Stats.m_Recent, m_Opts.m_ComparisonHalfLife, Now);
  if (valueOf(Stats.m_Unusual, m_Opts.m_ComparisonHalfLife, Now) <
      m_Opts.m_MinRetryShare * Recent)
    return 0us;
  // A deadline close to those of first attempts may belong to one of them.
  constexpr int Distance = 2;
  double Sum = 0;
  const auto End = Stats.m_Buckets.upper_bound(Index + Distance);
  for (auto Near = Stats.m_Buckets.lower_bound(Index - Distance); Near != End;
       ++Near)
    Sum += valueOf(Near->second.m_Attempts, m_Opts.m_LearningHalfLife, Now);
  if (Sum >= m_Opts.m_MinUsualShare *
                 valueOf(Stats.m_FirstAttempts, m_Opts.m_LearningHalfLife, Now))
    return 0us;
  const auto Longer = Stats.m_Buckets.upper_bound(Index);
  return Longer == Stats.m_Buckets.end() ? 0us
                                         : Longer->second.m_Shortest - Left;
}

Duration RetryDetector::timeSinceFirstAttempt(const std::string &Route,
                                              Duration Left, TimePoint Now) {
  RouteStats &Stats = statsFor(Route, Now);
  const int Index =
      static_cast<int>(std::floor(std::log(std::max(1.0, inMillis(Left))) /
                                  std::log1p(m_Opts.m_BucketWidth)));
  add(Stats.m_Recent, m_Opts.m_ComparisonHalfLife, Now);
  const bool Unusual = !usual(Stats, Index, Now);
  if (Unusual)
    add(Stats.m_Unusual, m_Opts.m_ComparisonHalfLife, Now);
  if (valueOf(Stats.m_FirstAttempts, m_Opts.m_LearningHalfLife, Now) <
          m_Opts.m_MinLearned ||
      !retriesMatchRefusals(Stats, Now)) {
    learn(Stats, Index, Left, Now);
    return 0us;
  }
  return Unusual ? timeBelowUsual(Stats, Index, Left, Now) : 0us;
}

void RetryDetector::recordRefusal(const std::string &Route, TimePoint Now) {
  add(statsFor(Route, Now).m_Refused, m_Opts.m_ComparisonHalfLife, Now);
}

} // namespace havenstair
