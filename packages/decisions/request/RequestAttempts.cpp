#include "decisions/request/RequestAttempts.h"

namespace havenstair {

bool isRetryableElsewhere(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::Overloaded:
  case ErrorKind::NoResidentCopy:
  case ErrorKind::NoUpstream:
  case ErrorKind::OwnerUnavailable:
  case ErrorKind::OwnerLost:
  case ErrorKind::UpstreamFailed:
  case ErrorKind::StreamCut:
  case ErrorKind::OutcomeUnknown:
    return true;
  default:
    return false;
  }
}

void RequestAttempts::begin(AttemptId Id, const UpstreamName &Upstream) {
  m_Current = Id;
  m_CurrentUpstream = Upstream;
  ++m_Count;
  m_Tried.insert(Upstream);
}

bool RequestAttempts::accepts(AttemptId Id) const {
  if (!m_Opts.m_MatchAttempts)
    return true;
  return !m_Done && Id == m_Current;
}

void RequestAttempts::delivered(AttemptId Id) {
  if (accepts(Id))
    m_Delivered = true;
}

bool RequestAttempts::completed(AttemptId Id) {
  if (!accepts(Id))
    return false;
  m_Done = true;
  return true;
}

AttemptDecision RequestAttempts::failed(AttemptId Id, const Failure &Reason) {
  if (!accepts(Id))
    return Ignore{};
  m_Current = 0;
  m_LastFailure = Reason;
  m_HasLastFailure = true;
  // Only the box failed; the upstream may be tried through another box.
  if (Reason.m_Kind == ErrorKind::OwnerLost ||
      Reason.m_Kind == ErrorKind::OwnerUnavailable)
    m_Tried.erase(m_CurrentUpstream);
  const bool MayHaveRun =
      answerFor(Reason.m_Kind).m_RunState == RunState::Unknown;
  if (m_Delivered) {
    m_Done = true;
    return GiveUp{{.m_Kind = ErrorKind::StreamCut, .m_Detail = {}}};
  }
  if (MayHaveRun && m_Opts.m_Unsafe) {
    m_Done = true;
    return GiveUp{{.m_Kind = ErrorKind::OutcomeUnknown, .m_Detail = {}}};
  }
  if (m_Count < m_Opts.m_MaxAttempts && isRetryableElsewhere(Reason.m_Kind))
    return TryElsewhere{};
  m_Done = true;
  return GiveUp{Reason};
}

Failure RequestAttempts::exhausted(const Failure &WhenNone) const {
  return m_HasLastFailure ? m_LastFailure : WhenNone;
}

} // namespace havenstair
