/// \file
/// Judges requests that end the engines that run them, by their content or by a
/// part of their prompts.
#ifndef HAVENSTAIR_TESTS_SOAK_CRASHORACLE_H
#define HAVENSTAIR_TESTS_SOAK_CRASHORACLE_H

#include "soak/Disturbances.h"
#include "soak/SoakBounds.h"
#include "soak/SoakEvents.h"
#include <map>
#include <string>

namespace havenstair {

/// Knows such a request by its body, which begins with Prefix. Bodies of the
/// requests that share a part are equal up to Separator.
class CrashOracle {
public:
  inline static const std::string Prefix = "crash ";
  inline static const std::string PartPrefix = "crash part ";
  static constexpr char Separator = '#';

  CrashOracle(const SoakBounds &Bounds, const Disturbances &Trouble,
              VerdictHook Broken)
      : m_Bounds(Bounds), m_Trouble(Trouble), m_Broken(std::move(Broken)) {}

  static bool crashes(const std::string &Body) {
    return Body.starts_with(Prefix);
  }
  /// \returns what the requests have in common that end engines as \p Body.
  static std::string causeOf(const std::string &Body) {
    return Body.substr(0, Body.find(Separator));
  }
  /// An engine ended under \p Body.
  void ended(const std::string &Body, TimePoint At);
  /// \p Request is the one that arrives.
  void arrived(const EngineArrival &Arrival, const CallerRequest &Request);
  /// \p Request is the one that is answered.
  void answered(const CallerAnswer &Answer, const CallerRequest &Request);
  /// Engines that ended under all such requests.
  int engines() const { return m_Engines; }

private:
  /// Engines that may end under \p Cause.
  int allowedEnds(const std::string &Cause) const;

  struct Story {
    int m_Ended = 0;
    int m_Late = 0; ///< Arrivals that count.
    TimePoint m_Known{};
  };

  const SoakBounds &m_Bounds;
  const Disturbances &m_Trouble;
  VerdictHook m_Broken;
  std::map<std::string, Story> m_Stories; ///< By the cause.
  int m_Engines = 0;
};

} // namespace havenstair

#endif
