/// \file
/// How long a caller has waited already, estimated from the deadlines that its
/// requests carry.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_RETRYDETECTOR_H
#define HAVENSTAIR_DECISIONS_REQUEST_RETRYDETECTOR_H

#include "decisions/common/Time.h"
#include <cstddef>
#include <map>
#include <string>

namespace havenstair {

/// Tells a caller's retries from first attempts; in doubt, a request counts as
/// a first attempt. It learns the deadlines that first attempts of a route
/// usually carry. A retry has a shorter deadline that hardly any first attempt
/// has, and there are about as many retries as refusals. See
/// docs/design/first-tries.md.
class RetryDetector {
public:
  struct Options {
    /// Relative width of a bucket of deadlines; deadlines within one bucket
    /// count as equal. Callers are told to wait for at least a twentieth of
    /// their deadline, so a retry falls into another bucket.
    double m_BucketWidth = 0.05;
    /// Least share of a route's attempts that makes a bucket of deadlines a
    /// usual one for first attempts. Even a kind of callers that makes up one
    /// in 25 of all, with deadlines spread by 30 percent, reaches it.
    double m_MinUsualShare = 0.01;
    /// Least share of retries among recent requests. Below it they are taken
    /// for first attempts: they add too little to the demand to be worth the
    /// risk of a mistake.
    double m_MinRetryShare = 0.04;
    /// Number of attempts that are learned from before any is judged. By then a
    /// kind of callers that makes up one in 25 has come 16 times.
    double m_MinLearned = 400;
    /// Half-life of the learned deadlines. Callers' programs change with their
    /// releases, in hours, and a box sees a few attempts of a route a minute.
    Duration m_LearningHalfLife = 1800s;
    /// Requests with unusual deadlines are retries only while their number,
    /// divided by that of this box's refusals, lies between these bounds.
    /// Callers retry at any box, and boxes refuse unevenly, so the two are not
    /// equal. Fewer means that callers do not retry, more that another kind of
    /// callers has come.
    double m_MinRetriesPerRefusal = 0.1;
    double m_MaxRetriesPerRefusal = 3;
    /// Half-life of both numbers: callers retry within their deadlines, and
    /// enough must be counted to be compared.
    Duration m_ComparisonHalfLife = 60s;
    /// Number of routes above which those without a request for
    /// m_LearningHalfLife are dropped; far more than a box serves at a time.
    std::size_t m_MaxRoutes = 1000;
  };

  RetryDetector() : RetryDetector(Options{}) {}
  explicit RetryDetector(Options Opts) : m_Opts(Opts) {}

  /// Records a request of \p Route whose caller has \p Left until its
  /// deadline. \returns the least time since the caller's first attempt; zero
  /// for a first attempt, and in doubt.
  Duration timeSinceFirstAttempt(const std::string &Route, Duration Left,
                                 TimePoint Now);
  /// Records that a request of \p Route was refused; its caller may retry.
  void recordRefusal(const std::string &Route, TimePoint Now);
  /// Number of routes that are kept.
  std::size_t routes() const { return m_Routes.size(); }

private:
  /// A count with exponential decay.
  struct DecayingCount {
    double m_Sum = 0; ///< Value at m_UpdatedAt.
    TimePoint m_UpdatedAt{};
  };
  /// First attempts whose deadlines lie within one bucket.
  struct Bucket {
    DecayingCount m_Attempts;
    Duration m_Shortest = 0us; ///< Shortest deadline among them.
  };
  /// What is known of one route.
  struct RouteStats {
    std::map<int, Bucket> m_Buckets; ///< By logarithm of the deadline.
    DecayingCount m_FirstAttempts;   ///< Over all buckets.
    DecayingCount m_Recent;          ///< All requests.
    DecayingCount m_Refused;
    DecayingCount m_Unusual; ///< Requests with an unusual deadline.
  };

  /// The statistics of \p Route; adds it, and drops idle routes, if needed.
  RouteStats &statsFor(const std::string &Route, TimePoint Now);
  static double valueOf(const DecayingCount &Counter, Duration HalfLife,
                        TimePoint Now);
  /// Adds one. \returns the new value.
  static double add(DecayingCount &Counter, Duration HalfLife, TimePoint Now);
  /// Records a first attempt with \p Left to its deadline.
  void learn(RouteStats &Stats, int Index, Duration Left, TimePoint Now) const;
  /// Whether first attempts usually have deadlines of bucket \p Index.
  bool usual(const RouteStats &Stats, int Index, TimePoint Now) const;
  /// Whether there are about as many requests with unusual deadlines as
  /// refusals.
  bool retriesMatchRefusals(const RouteStats &Stats, TimePoint Now) const;

  /// By how much the unusual deadline \p Left is shorter than the next longer
  /// one of first attempts; zero in doubt.
  Duration timeBelowUsual(const RouteStats &Stats, int Index, Duration Left,
                          TimePoint Now) const;

  Options m_Opts;
  std::map<std::string, RouteStats> m_Routes;
};

} // namespace havenstair

#endif
