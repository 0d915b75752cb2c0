/// \file
/// Judges how often servers fall that say that they are brittle.
#ifndef HAVENSTAIR_TESTS_SOAK_BRITTLEORACLE_H
#define HAVENSTAIR_TESTS_SOAK_BRITTLEORACLE_H

#include "soak/Disturbances.h"
#include "soak/SoakBounds.h"
#include "soak/SoakEvents.h"
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace havenstair {

/// Counts the falls of each service's servers while they are brittle. A fall
/// counts when most of what was turned away in the second before it came from
/// boxes in touch.
class BrittleOracle {
public:
  BrittleOracle(const SoakBounds &Bounds, const Disturbances &Trouble,
                VerdictHook Broken)
      : m_Bounds(Bounds), m_Trouble(Trouble), m_Broken(std::move(Broken)) {}

  /// All \p Servers of \p Service are brittle from now on.
  void began(const std::string &Service, int Servers);
  /// \p Engine of \p Service turns a request of \p Box away.
  void turnedAway(const std::string &Service, const std::string &Engine,
                  const std::string &Box, TimePoint At);
  void fell(const std::string &Engine, TimePoint At);

private:
  struct Span {
    int m_Servers = 0;
    int m_Falls = 0;
  };
  struct Refusal {
    TimePoint m_At;
    bool m_InTouch = false;
  };
  struct Server {
    std::string m_Service;
    std::deque<Refusal> m_Refusals; ///< Within the last second.
  };

  const SoakBounds &m_Bounds;
  const Disturbances &m_Trouble;
  VerdictHook m_Broken;
  std::map<std::string, Span> m_Spans; ///< By service, the last one of each.
  std::map<std::string, Server> m_Servers;
};

} // namespace havenstair

#endif
