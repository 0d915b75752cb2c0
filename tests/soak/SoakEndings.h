/// \file
/// Draws how the answers of a soak's server end.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKENDINGS_H
#define HAVENSTAIR_TESTS_SOAK_SOAKENDINGS_H

#include "standin/AnswerEnding.h"
#include <cstdint>
#include <random>

namespace havenstair {

/// Sound answers in any framing; while it harms, some that are cut, or end
/// otherwise than their framing says.
class SoakEndings {
public:
  explicit SoakEndings(std::uint64_t Seed) : m_Random(Seed) {}

  void setHarming(bool Harming) { m_Harming = Harming; }
  AnswerEnding next();
  /// The event, of those from \p First to \p Last, that \p Ending cuts.
  int cutIn(const AnswerEnding &Ending, int First, int Last);

private:
  int draw(int Least, int Most);
  AnswerEnding sound();
  AnswerEnding harmed();

  std::mt19937_64 m_Random;
  bool m_Harming = false;
};

} // namespace havenstair

#endif
