#include "decisions/request/PromptPacing.h"

namespace havenstair {

std::optional<Duration> pacingDelay(const PacingFacts &Facts,
                                    const PacingOptions &Opts) {
  if (Facts.m_GapTarget <= 0us)
    return std::nullopt;
  if (Facts.m_PendingMs <= Opts.m_MaxGapFraction * inMillis(Facts.m_GapTarget))
    return std::nullopt;
  if (inMillis(Facts.m_Waited) >=
      Opts.m_MaxWaitFraction * inMillis(Facts.m_Target))
    return std::nullopt;
  return Opts.m_RecheckInterval;
}

} // namespace havenstair
