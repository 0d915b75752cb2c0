#include "gateway/request/SendStatistics.h"

#include "gateway/process/ServingState.h"
#include <utility>

namespace havenstair {

SendStatistics::SendStatistics(ServingState &State, Facts Of)
    : m_State(State), m_Facts(std::move(Of)) {
  m_State.m_Loads.onSent(m_Facts.m_Upstream.m_Id, m_Facts.m_WorkMs,
                         m_Facts.m_Tokens);
}

bool SendStatistics::upstreamRestarted() const {
  return m_State.m_Upstreams.superseded(m_Facts.m_Upstream);
}

void SendStatistics::onStarted(TimePoint Now) {
  m_Started = true;
  if (upstreamRestarted())
    return;
  const InstanceId &At = m_Facts.m_Upstream.m_Id;
  m_State.m_Loads.onFirstToken(At, m_Facts.m_WorkMs);
  m_State.m_Latency.observe(At, m_Facts.m_Model, m_Facts.m_PendingMs,
                            m_Facts.m_WorkMs, inMillis(Now - m_Facts.m_SentAt));
}

void SendStatistics::onEnded() {
  m_Running = false;
  if (upstreamRestarted())
    return;
  const InstanceId &At = m_Facts.m_Upstream.m_Id;
  if (!m_Started)
    m_State.m_Loads.onFirstToken(At, m_Facts.m_WorkMs);
  m_State.m_Loads.onEnded(At, m_Facts.m_Tokens);
}

void SendStatistics::recordOutcome(SendOutcome Outcome, bool Whole,
                                   TimePoint Now) {
  if (upstreamRestarted())
    return;
  const InstanceId &At = m_Facts.m_Upstream.m_Id;
  if (Outcome == SendOutcome::Answered || Whole)
    m_State.m_Failures.recordSuccess(At, Now);
  else if (Outcome == SendOutcome::NotSent)
    m_State.m_Failures.recordUnreachable(At, Now);
  else
    m_State.m_Failures.recordFailure(At, Now);
}

} // namespace havenstair
