/// \file
/// A bound on repeated sends that holds over all boxes without asking them.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_SHAREDRETRYBUDGET_H
#define HAVENSTAIR_DECISIONS_PROCESS_SHAREDRETRYBUDGET_H

#include "decisions/common/Time.h"
#include <deque>
#include <map>
#include <string>

namespace havenstair {

/// For each service, repeats of a sliding window stay below
/// `Ratio x requests + Allowance / boxes`, where both parts are taken with a
/// margin. Each box counts its own; the sum over boxes keeps the bound of the
/// whole.
class SharedRetryBudget {
public:
  struct Options {
    double m_Ratio = 0.2;
    double m_Allowance = 10; ///< Of all boxes together.
    Duration m_Window = 10s;
    double m_Margin = 0.8; ///< Part of the bound that is used.
  };

  /// \p Started: when the process did. What it spent in a former life is not
  /// known, so its part of the allowance is there after a window only: boxes
  /// that start again would else have it once for each life.
  explicit SharedRetryBudget(Options Opts, TimePoint Started = TimePoint::min())
      : m_Opts(Opts), m_Started(Started) {}

  /// New bounds; what was counted stays.
  void configure(Options Opts) { m_Opts = Opts; }

  /// A caller's request for \p Service arrived.
  void requested(const std::string &Service, TimePoint Now);
  /// Takes one repeat. \returns false when none is left. \p Boxes: the most
  /// that may share the allowance.
  bool trySpend(const std::string &Service, int Boxes, TimePoint Now);
  /// Repeats in the window that ends at \p Now.
  std::size_t spent(const std::string &Service, TimePoint Now);

private:
  struct Counts {
    std::deque<TimePoint> m_Requests;
    std::deque<TimePoint> m_Repeats;
  };

  Counts &current(const std::string &Service, TimePoint Now);

  double grown(TimePoint Now) const;

  Options m_Opts;
  TimePoint m_Started;
  std::map<std::string, Counts> m_Services;
};

} // namespace havenstair

#endif
