/// \file
/// Tells when a box that starts had what it needs to serve.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_STARTUPLOG_H
#define HAVENSTAIR_GATEWAY_PROCESS_STARTUPLOG_H

#include "decisions/common/Time.h"
#include <map>
#include <string_view>

namespace havenstair {

class DecisionLog;

/// What a box waits for after its start.
enum class StartupStep {
  Boxes,       ///< The list of boxes.
  Config,      ///< A configuration.
  Upstreams,   ///< The list of upstreams.
  Evacuations, ///< The evacuated data centres.
  Contents,    ///< What the leader knows of the engines.
  Ready,       ///< It reports that it is ready.
  FirstAnswer  ///< It has passed an upstream's answer on.
};

const char *toString(StartupStep Step);

/// Writes one line for the first time of each step.
class StartupLog {
public:
  StartupLog(DecisionLog &Log, TimePoint StartedAt)
      : m_Log(Log), m_StartedAt(StartedAt) {}

  /// Records that \p Step is reached at \p Now; \p From tells by whom or what.
  /// Does nothing if it was reached before.
  void reached(StartupStep Step, std::string_view From, TimePoint Now);
  /// The steps that were reached, with the time that each took.
  const std::map<StartupStep, Duration> &reachedAfter() const {
    return m_ReachedAfter;
  }

private:
  DecisionLog &m_Log;
  TimePoint m_StartedAt;
  std::map<StartupStep, Duration> m_ReachedAfter;
};

} // namespace havenstair

#endif
