/// \file
/// Waiting between tries, and a bound on how many tries there are.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_BACKOFF_H
#define HAVENSTAIR_DECISIONS_PROCESS_BACKOFF_H

#include "decisions/common/Time.h"
#include <functional>

namespace havenstair {

/// A number from 0 to 1, drawn by the caller's source of randomness.
using RandomUnit = std::function<double()>;

/// The first and the longest pause between tries.
struct RetryPauses {
  Duration m_First = 50ms;
  Duration m_Cap = 5s;

  bool operator==(const RetryPauses &) const = default;
};

/// Exponential backoff with full jitter and a cap.
class Backoff {
public:
  struct Options {
    Duration m_First = 50ms;
    Duration m_Cap = 5s;
    RandomUnit m_Random;
  };

  explicit Backoff(Options Opts);

  /// The wait before the next try; doubles with each call up to the cap.
  Duration next();
  void reset() { m_Failures = 0; }
  void setPauses(const RetryPauses &Pauses) {
    m_Opts.m_First = Pauses.m_First;
    m_Opts.m_Cap = Pauses.m_Cap;
  }

private:
  Options m_Opts;
  int m_Failures = 0;
};

/// Allows retries only as a share of first tries, so that an outage is not
/// answered with more load.
class RetryBudget {
public:
  struct Options {
    double m_PerRequest = 0.1; ///< Retries earned by each first try.
    double m_Most = 20;        ///< Most that can be saved up.
  };

  explicit RetryBudget(Options Opts);

  void earn();
  /// Takes one retry. \returns false when the budget is used up.
  bool trySpend();

private:
  Options m_Opts;
  double m_Saved;
};

} // namespace havenstair

#endif
