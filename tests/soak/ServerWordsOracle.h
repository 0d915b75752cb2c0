/// \file
/// Judges whether boxes keep to what engines say of themselves in answers.
#ifndef HAVENSTAIR_TESTS_SOAK_SERVERWORDSORACLE_H
#define HAVENSTAIR_TESTS_SOAK_SERVERWORDSORACLE_H

#include "soak/Disturbances.h"
#include "soak/SoakBounds.h"
#include "soak/SoakEvents.h"
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace havenstair {

/// Limits are judged over all boxes, told or not; leaving and Retry-After by
/// the box that was told. Trouble of a box excuses it.
class ServerWordsOracle {
public:
  ServerWordsOracle(const SoakBounds &Bounds, const Disturbances &Trouble,
                    VerdictHook Broken)
      : m_Bounds(Bounds), m_Trouble(Trouble), m_Broken(std::move(Broken)) {}

  /// \p Request is the one whose answer says it.
  void said(const EngineWords &Words, const CallerRequest &Request);
  /// \p Engine starts again under its id; what it said before says nothing.
  void startedAgain(const std::string &Engine);
  /// \p Request is the one that arrives.
  void arrived(const EngineArrival &Arrival, const CallerRequest &Request);

private:
  struct Limit {
    double m_PerS = 0;
    TimePoint m_Since{};
    std::deque<TimePoint> m_Arrivals;
  };
  struct RetryAfter {
    TimePoint m_From{};
    TimePoint m_Until{};
    int m_Arrivals = 0;
  };
  using EngineAndBox = std::pair<std::string, std::string>;

  bool calm(const EngineArrival &Arrival, const CallerRequest &Request,
            TimePoint From) const;
  void judgeLimit(const EngineArrival &Arrival, const CallerRequest &Request);
  void judgeLeaving(const EngineArrival &Arrival, const CallerRequest &Request);
  void judgeRetryAfter(const EngineArrival &Arrival,
                       const CallerRequest &Request);

  const SoakBounds &m_Bounds;
  const Disturbances &m_Trouble;
  VerdictHook m_Broken;
  std::map<std::string, Limit> m_Limits;
  std::map<EngineAndBox, TimePoint> m_Leaving;
  std::map<EngineAndBox, RetryAfter> m_RetryAfters;
};

} // namespace havenstair

#endif
