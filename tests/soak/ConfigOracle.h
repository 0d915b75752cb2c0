/// \file
/// Judges which configuration boxes show by the routes that they know.
#ifndef HAVENSTAIR_TESTS_SOAK_CONFIGORACLE_H
#define HAVENSTAIR_TESTS_SOAK_CONFIGORACLE_H

#include "soak/Disturbances.h"
#include "soak/SoakBounds.h"
#include "soak/SoakEvents.h"
#include <map>
#include <string>
#include <utility>

namespace havenstair {

/// A passing route is known to the version that brings it and to the next.
/// Versions count up by one.
class ConfigOracle {
public:
  ConfigOracle(const SoakBounds &Bounds, const Disturbances &Trouble,
               VerdictHook Broken)
      : m_Bounds(Bounds), m_Trouble(Trouble), m_Broken(std::move(Broken)) {}

  /// The store has acknowledged \p Version.
  void configured(std::uint64_t Version, TimePoint At) {
    m_Acknowledged[Version] = At;
  }
  /// A request on a passing route reaches an engine.
  void ran(const CallerRequest &Request, TimePoint At);
  /// The box answered by itself that it does not know the passing route.
  void unknown(const CallerRequest &Request, TimePoint At);

private:
  /// One start of one box.
  using Life = std::pair<std::string, int>;
  void judge(const CallerRequest &Request, std::uint64_t Newest, TimePoint At);
  bool calm(const CallerRequest &Request, Duration Before, TimePoint At) const;

  const SoakBounds &m_Bounds;
  const Disturbances &m_Trouble;
  VerdictHook m_Broken;
  std::map<std::uint64_t, TimePoint> m_Acknowledged;
  /// When each life first showed at least a version.
  std::map<Life, std::map<std::uint64_t, TimePoint>> m_Shown;
};

} // namespace havenstair

#endif
