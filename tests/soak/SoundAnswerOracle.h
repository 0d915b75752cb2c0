/// \file
/// Judges whether answers that end soundly reach their callers as a whole.
#ifndef HAVENSTAIR_TESTS_SOAK_SOUNDANSWERORACLE_H
#define HAVENSTAIR_TESTS_SOAK_SOUNDANSWERORACLE_H

#include "soak/Disturbances.h"
#include "soak/SoakBounds.h"
#include "soak/SoakEvents.h"
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace havenstair {

/// An answer is judged when all of its runs were sound, it took less than a
/// bound, and its box, its engines and the ways between them were calm.
class SoundAnswerOracle {
public:
  SoundAnswerOracle(const SoakBounds &Bounds, const Disturbances &Trouble,
                    VerdictHook Broken)
      : m_Bounds(Bounds), m_Trouble(Trouble), m_Broken(std::move(Broken)) {}

  void ended(const EngineEnding &Ending);
  /// The runs of \p Engine have ended with it.
  void startedAgain(const std::string &Engine, TimePoint At) {
    m_LastStarts[Engine] = At;
  }
  void answered(const CallerAnswer &Answer, const CallerRequest &Request);

private:
  bool calm(const CallerAnswer &Answer, const CallerRequest &Request,
            const EngineEnding &Run) const;

  const SoakBounds &m_Bounds;
  const Disturbances &m_Trouble;
  VerdictHook m_Broken;
  std::map<std::string, TimePoint> m_LastStarts;           ///< By engine.
  std::map<std::string, std::vector<EngineEnding>> m_Runs; ///< By request.
};

} // namespace havenstair

#endif
