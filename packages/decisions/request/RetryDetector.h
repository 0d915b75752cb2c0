/// \file
/// How long a caller has waited already, from the deadlines that it sends.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_RETRYDETECTOR_H
#define HAVENSTAIR_DECISIONS_REQUEST_RETRYDETECTOR_H

#include "decisions/common/Time.h"
#include <cstddef>
#include <map>
#include <string>

namespace havenstair {

/// Tells second tries from first ones, and takes a try for a first one in
/// doubt. Learns with which deadlines callers of a route begin; a second try
/// comes with one that hardly any first try has, shorter than some, and about
/// as many come as were turned away. See docs/design/first-tries.md.
class RetryDetector {
public:
  struct Options {
    /// Deadlines within this part of each other count as equal: a second try
    /// is told from the twentieth of the deadline on that callers are told to
    /// stay away at least.
    double m_BucketWidth = 0.05;
    /// Part of a route's tries that makes a deadline one of first tries: even
    /// callers that are one in 25 of all, spread by 30 in 100, come to it.
    double m_MinUsualShare = 0.01;
    /// Fewer second tries than this part of all are not worth a mistake: taken
    /// for first ones they add so little to the demand.
    double m_MinRetryShare = 0.04;
    /// Tries before any is judged: a kind of callers that is one in 25 has
    /// come 16 times by then.
    double m_MinLearned = 400;
    /// What was learned counts half after this: callers' programs change with
    /// their releases, in hours, and a box sees some tries of a route a minute.
    Duration m_LearningHalfLife = 1800s;
    /// Tries with unusual deadlines are second ones while their number is that
    /// of the tries turned away here, within these factors: callers come back
    /// to any box, and boxes turn away unevenly; fewer means that they stay
    /// away, more that callers of another kind have come.
    double m_MinRetriesPerRefusal = 0.1;
    double m_MaxRetriesPerRefusal = 3;
    /// Both numbers count half after this: callers come back within their
    /// deadlines, and some must be counted to be compared.
    Duration m_ComparisonHalfLife = 60s;
    /// Routes that are remembered at least; beyond, those that nobody has asked
    /// for in the time of m_LearningHalfLife go. Far more than a box serves at
    /// a time.
    std::size_t m_MaxRoutes = 1000;
  };

  RetryDetector() : RetryDetector(Options{}) {}
  explicit RetryDetector(Options Opts) : m_Opts(Opts) {}

  /// Least time since the first try of a caller that has \p Left; zero for a
  /// first try, and in doubt.
  Duration timeSinceFirstAttempt(const std::string &Route, Duration Left,
                                 TimePoint Now);
  /// A caller of \p Route was not served, and may come back.
  void recordRefusal(const std::string &Route, TimePoint Now);
  std::size_t routes() const { return m_Routes.size(); }

private:
  /// Tries, counted with decay.
  struct DecayingCount {
    double m_Sum = 0;
    TimePoint m_UpdatedAt{};
  };
  /// First tries whose deadlines lie within one step.
  struct Bucket {
    DecayingCount m_Attempts;
    Duration m_Shortest = 0us;
  };
  struct RouteStats {
    std::map<int, Bucket> m_Buckets;
    DecayingCount m_FirstAttempts;
    DecayingCount m_Recent;
    DecayingCount m_Refused;
    DecayingCount m_Unusual;
  };

  /// What is known of \p Route; makes room for a new one.
  RouteStats &statsFor(const std::string &Route, TimePoint Now);
  static double valueOf(const DecayingCount &Of, Duration Half, TimePoint Now);
  static double add(DecayingCount &To, Duration Half, TimePoint Now);
  void learn(RouteStats &To, int Index, Duration Left, TimePoint Now) const;
  /// Whether first tries come with deadlines of step \p Index.
  bool usual(const RouteStats &Known, int Index, TimePoint Now) const;
  /// Whether those who come with unusual deadlines are about as many as were
  /// turned away.
  bool retriesMatchRefusals(const RouteStats &Known, TimePoint Now) const;

  /// Time since the first try for an unusual deadline; zero in doubt.
  Duration timeBelowUsual(const RouteStats &Known, int Index, Duration Left,
                          TimePoint Now) const;

  Options m_Opts;
  std::map<std::string, RouteStats> m_Routes;
};

} // namespace havenstair

#endif
