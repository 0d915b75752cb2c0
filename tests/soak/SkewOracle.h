/// \file
/// Judges what is served while most new connections go to one box.
#ifndef HAVENSTAIR_TESTS_SOAK_SKEWORACLE_H
#define HAVENSTAIR_TESTS_SOAK_SKEWORACLE_H

#include "soak/SoakBounds.h"
#include "soak/SoakEvents.h"
#include <string>
#include <vector>

namespace havenstair {

/// Compares the share of requests that are served at the first try that a box
/// has read with that of the seconds before.
class SkewOracle {
public:
  /// What became of a request: of its first try that a box has read, or of its
  /// last one.
  struct Result {
    TimePoint m_At; ///< Of the first try.
    bool m_Read = false;
    bool m_Served = false;
    int m_Unread = 0; ///< Tries that were refused or closed unread.
    Duration m_Took{};
  };
  struct Count {
    int m_Requests = 0;
    int m_Served = 0;
    int m_Unread = 0;             ///< Tries that were refused or closed unread.
    int m_NeverRead = 0;          ///< Requests of which no try was read.
    std::vector<Duration> m_Took; ///< Of those served.

    double share() const;
    std::string str() const;
  };

  SkewOracle(const SoakBounds &Bounds, VerdictHook Broken)
      : m_Bounds(Bounds), m_Broken(std::move(Broken)) {}

  void began(TimePoint At) { m_From = At; }
  void ended(TimePoint At) { m_To = At; }
  void done(const Result &Of) { m_Results.push_back(Of); }
  /// Nothing more comes.
  void finish() const;

  /// What was sent in the seconds before.
  Count before() const;
  /// What was sent from the bound on.
  Count during() const;
  bool played() const { return m_To != TimePoint(); }

private:
  Count count(TimePoint From, TimePoint To) const;

  const SoakBounds &m_Bounds;
  VerdictHook m_Broken;
  TimePoint m_From{};
  TimePoint m_To{};
  std::vector<Result> m_Results;
};

} // namespace havenstair

#endif
