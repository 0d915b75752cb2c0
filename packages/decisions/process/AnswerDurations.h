/// \file
/// How long the answers of each route take.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_ANSWERDURATIONS_H
#define HAVENSTAIR_DECISIONS_PROCESS_ANSWERDURATIONS_H

#include "decisions/common/Time.h"
#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace havenstair {

/// Remembers the last answers of each route, to tell whether another one would
/// be whole before the process ends.
class AnswerDurations {
public:
  /// Answers of one route that are remembered.
  static constexpr std::size_t Remembered = 32;
  /// Part of them that expected() covers.
  static constexpr double Covered = 0.9;
  /// Routes that are remembered; answers of further ones are not.
  static constexpr std::size_t MaxRoutes = 4096;

  /// An answer on \p Route was whole \p Took after the request was read.
  void observe(const std::string &Route, Duration Took);
  /// \returns the time that most of the last answers on \p Route took at most;
  /// 0 if there were none.
  Duration expected(const std::string &Route) const;

private:
  struct Recent {
    std::array<Duration, Remembered> m_Took{};
    std::size_t m_Count = 0; ///< Of all answers so far.
  };

  std::map<std::string, Recent> m_Routes;
};

} // namespace havenstair

#endif
