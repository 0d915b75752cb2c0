/// \file
/// Pauses between attempts, and a bound on the number of retries.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_BACKOFF_H
#define HAVENSTAIR_DECISIONS_PROCESS_BACKOFF_H

#include "decisions/common/Time.h"
#include <functional>

namespace havenstair {

/// A number from 0 to 1, drawn by the caller's source of randomness.
using RandomUnit = std::function<double()>;

/// The first and the longest pause between attempts.
struct RetryPauses {
  /// Pause after the first failure, before jitter.
  Duration m_First = 50ms;
  /// Longest pause, before jitter.
  Duration m_Cap = 5s;

  bool operator==(const RetryPauses &) const = default;
};

/// Exponential backoff with jitter and a cap. Jitter never takes away more than
/// nine tenths of a pause.
class Backoff {
public:
  struct Options {
    /// Pause after the first failure, before jitter.
    Duration m_First = 50ms;
    /// Longest pause, before jitter.
    Duration m_Cap = 5s;
    /// Source of the jitter; must not be empty when next() is called.
    RandomUnit m_Random;
  };

  explicit Backoff(Options Opts);

  /// The pause before the next attempt; doubles with each call up to the cap.
  Duration next();
  /// Starts again with the first pause, after a success.
  void reset() { m_Failures = 0; }
  /// Changes the pauses; the number of failures so far is kept.
  void setPauses(const RetryPauses &Pauses) {
    m_Opts.m_First = Pauses.m_First;
    m_Opts.m_Cap = Pauses.m_Cap;
  }

private:
  Options m_Opts;
  int m_Failures = 0;
};

/// Limits retries to a fraction of first attempts, so that an outage is not met
/// with more load.
class RetryBudget {
public:
  struct Options {
    /// Retries that each first attempt earns.
    double m_PerRequest = 0.1;
    /// Most retries that can be saved up; the budget starts with this many.
    double m_Most = 20;
  };

  explicit RetryBudget(Options Opts);

  /// Records a first attempt.
  void earn();
  /// Takes one retry. \returns false, and takes none, when less than one is
  /// left.
  bool trySpend();

private:
  Options m_Opts;
  double m_Saved;
};

} // namespace havenstair

#endif
