#include "gateway/process/StartupLog.h"

#include "gateway/common/DecisionLog.h"

namespace havenstair {

const char *toString(StartupStep Step) {
  switch (Step) {
  case StartupStep::Boxes:
    return "boxes";
  case StartupStep::Config:
    return "config";
  case StartupStep::Upstreams:
    return "upstreams";
  case StartupStep::Evacuations:
    return "evacuations";
  case StartupStep::Contents:
    return "contents";
  case StartupStep::Ready:
    return "ready";
  case StartupStep::FirstAnswer:
    return "first_answer";
  }
  return "";
}

void StartupLog::reached(StartupStep Step, std::string_view From,
                         TimePoint Now) {
  const Duration After = Now - m_StartedAt;
  if (m_ReachedAfter.try_emplace(Step, After).second)
    m_Log.write(
        "startup",
        {{"step", toString(Step)}, {"from", From}, {"after_ms", After / 1ms}});
}

} // namespace havenstair
