/// \file
/// Judges where requests arrive and how often, against bounds in time.
#ifndef HAVENSTAIR_TESTS_SOAK_ROUTINGORACLE_H
#define HAVENSTAIR_TESTS_SOAK_ROUTINGORACLE_H

#include "soak/Disturbances.h"
#include "soak/SoakBounds.h"
#include "soak/SoakEvents.h"
#include <deque>
#include <map>
#include <set>
#include <string>

namespace havenstair {

/// A box is held to a bound only while it, the store and the link to the
/// engine have been calm for long enough.
class RoutingOracle {
public:
  RoutingOracle(const SoakBounds &Bounds, const Disturbances &Trouble,
                VerdictHook Broken)
      : m_Bounds(Bounds), m_Trouble(Trouble), m_Broken(std::move(Broken)) {}

  void sent(const CallerRequest &Request);
  /// \p Request is the one that arrives.
  void arrived(const EngineArrival &Arrival, const CallerRequest &Request);

  /// The store has acknowledged that the engine serves, or that it leaves.
  void engineServes(const std::string &Engine) { m_Leaving.erase(Engine); }
  void engineLeaves(const std::string &Engine, TimePoint At) {
    m_Leaving.try_emplace(Engine, At);
  }
  void evacuated(const std::string &DataCentre, TimePoint At) {
    m_Evacuated[DataCentre] = At;
  }
  void readmitted(const std::string &DataCentre) {
    m_Evacuated.erase(DataCentre);
  }
  /// The engine has said that it is cold until then.
  void engineCold(const std::string &Engine, TimePoint From, TimePoint Until);
  /// Requests to \p Target may be seen in these data centres only.
  void allowed(const std::string &Target, std::set<std::string> DataCentres) {
    m_Allowed[Target] = std::move(DataCentres);
  }

private:
  struct ServiceCounts {
    std::deque<TimePoint> m_Requests;
    std::deque<TimePoint> m_Repeats;
  };
  struct ColdSpan {
    TimePoint m_From;
    TimePoint m_Until;
    std::deque<TimePoint> m_Arrivals;
  };

  bool held(const EngineArrival &Arrival, const CallerRequest &Request,
            Duration Bound) const;
  void judgeLeaving(const EngineArrival &Arrival, const CallerRequest &Request);
  void judgeRepeat(const EngineArrival &Arrival);
  void judgeCold(const EngineArrival &Arrival);
  double requestsFor(const ServiceCounts &Of, TimePoint Now) const;

  const SoakBounds &m_Bounds;
  const Disturbances &m_Trouble;
  VerdictHook m_Broken;
  std::map<std::string, TimePoint> m_Leaving;
  std::map<std::string, TimePoint> m_Evacuated;
  std::map<std::string, ColdSpan> m_Cold;
  std::map<std::string, std::set<std::string>> m_Allowed;
  std::map<std::string, ServiceCounts> m_Services;
  std::set<std::string> m_Arrived;
};

} // namespace havenstair

#endif
