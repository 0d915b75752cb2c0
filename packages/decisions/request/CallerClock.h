/// \file
/// How long a caller has waited already, from the deadlines that it sends.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_CALLERCLOCK_H
#define HAVENSTAIR_DECISIONS_REQUEST_CALLERCLOCK_H

#include "decisions/common/Time.h"
#include <map>
#include <string>

namespace havenstair {

/// Callers of one route begin with the same deadline; one that sends less has
/// tried before, so much ago. The longest deadline of a route is learned.
class CallerClock {
public:
  struct Options {
    /// What a first try may have lost on its way, as a part of the deadline.
    double m_Slack = 0.01;
    /// The longest deadline shrinks by half in this time unless it is seen.
    Duration m_Forget = 120s;
  };

  CallerClock() : CallerClock(Options{}) {}
  explicit CallerClock(Options Opts) : m_Opts(Opts) {}

  /// Time since the first try of a caller that has \p Left; zero for a first
  /// try.
  Duration sinceFirstTry(const std::string &Route, Duration Left,
                         TimePoint Now);

private:
  struct Longest {
    Duration m_Deadline = 0us;
    TimePoint m_At{};
  };

  Options m_Opts;
  std::map<std::string, Longest> m_Routes;
};

} // namespace havenstair

#endif
