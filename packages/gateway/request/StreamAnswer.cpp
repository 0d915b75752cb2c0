#include "gateway/request/StreamAnswer.h"

#include <algorithm>

namespace havenstair {

void StreamAnswer::onPassed(TimePoint Now) {
  m_Begun = true;
  if (m_LastPassedAt)
    m_LongestGap = std::max(m_LongestGap, Now - *m_LastPassedAt);
  m_LastPassedAt = Now;
  if (m_Events.lastId())
    m_LastEvent = m_Events.lastId();
}

void StreamAnswer::onSendEnded(const SendEnd &Ended) {
  // A box passes whole events on only, whatever its upstream broke off in.
  const bool BrokeBehindBox =
      Ended.m_FromBox && Ended.m_End == HttpEnd::Broken && m_Begun;
  m_PartSeen = m_PartSeen || m_Events.insideEvent() || BrokeBehindBox;
}

bool StreamAnswer::brokeOff(const SendEnd &Ended) const {
  if (m_Events.insideEvent())
    return true;
  // Without a framing, a rest without events may have been cut; only a caller
  // may ask for the rest of a stream that it has as a whole.
  const bool MayBeCut = Ended.m_End == HttpEnd::Closed &&
                        (!Ended.m_Resumed || Ended.m_MayHaveRun);
  return !m_Events.anyEvent() && (m_PartSeen || MayBeCut);
}

} // namespace havenstair
