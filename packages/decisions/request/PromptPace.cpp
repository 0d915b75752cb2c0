#include "decisions/request/PromptPace.h"

namespace havenstair {

std::optional<Duration> paceFor(const PaceFacts &Facts,
                                const PaceOptions &Opts) {
  if (Facts.m_GapTarget <= 0us)
    return std::nullopt;
  if (Facts.m_PendingMs <= Opts.m_GapPart * inMillis(Facts.m_GapTarget))
    return std::nullopt;
  if (inMillis(Facts.m_Waited) >= Opts.m_WaitPart * inMillis(Facts.m_Target))
    return std::nullopt;
  return Opts.m_LookAgain;
}

} // namespace havenstair
