/// \file
/// Limits retries over all boxes without communication between them.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_SHAREDRETRYBUDGET_H
#define HAVENSTAIR_DECISIONS_PROCESS_SHAREDRETRYBUDGET_H

#include "decisions/common/Time.h"
#include <deque>
#include <map>
#include <string>

namespace havenstair {

/// Limits a box's retries for each service in a sliding window to
/// `Margin x (Ratio x requests + Allowance / boxes)`. Each box counts its own
/// requests and retries; the sum over all boxes then keeps the fleet's bound.
class SharedRetryBudget {
public:
  struct Options {
    double m_Ratio = 0.2;    ///< Retries per request.
    double m_Allowance = 10; ///< Retries per window, of all boxes together.
    Duration m_Window = 10s;
    double m_Margin = 0.8; ///< Fraction of the bound that is used.
  };

  /// \p Started: when the process started. What the box spent before a restart
  /// is not known, so its share of the allowance grows over the first window.
  /// Otherwise a box would get the share again with each restart.
  explicit SharedRetryBudget(Options Opts, TimePoint Started = TimePoint::min())
      : m_Opts(Opts), m_Started(Started) {}

  /// Replaces the bounds and keeps the counts.
  void configure(Options Opts) { m_Opts = Opts; }

  /// Counts a caller's request for \p Service.
  void recordRequest(const std::string &Service, TimePoint Now);
  /// Takes one retry. \returns false when none is left. \p Boxes: the highest
  /// number of boxes that may share the allowance.
  bool trySpend(const std::string &Service, int Boxes, TimePoint Now);
  /// Retries in the window that ends at \p Now.
  std::size_t spent(const std::string &Service, TimePoint Now);

private:
  struct Counts {
    std::deque<TimePoint> m_Requests;
    std::deque<TimePoint> m_Retries;
  };

  /// The counts of \p Service, without those before the current window.
  Counts &current(const std::string &Service, TimePoint Now);

  double allowanceFraction(TimePoint Now) const;

  Options m_Opts;
  TimePoint m_Started;
  std::map<std::string, Counts> m_Services;
};

} // namespace havenstair

#endif
