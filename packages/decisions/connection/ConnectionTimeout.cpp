#include "decisions/connection/ConnectionTimeout.h"

#include <algorithm>

namespace havenstair {

namespace {

/// Looks within an idle timeout while bytes may wait for the caller: progress
/// of the other side shows only when one looks.
constexpr int LooksWithinTimeout = 4;

} // namespace

const char *toString(ConnectionStage Stage) {
  switch (Stage) {
  case ConnectionStage::AwaitingHead:
    return "awaiting_head";
  case ConnectionStage::InHead:
    return "in_head";
  case ConnectionStage::InBody:
    return "in_body";
  case ConnectionStage::Answering:
    return "answering";
  case ConnectionStage::Delivering:
    return "delivering";
  }
  return "unknown";
}

void ConnectionTimeout::enter(ConnectionStage Stage, TimePoint Now) {
  m_Stage = Stage;
  m_Since = Now;
}

/// Also an answer to a probe of a closed window is an acknowledgement, so only
/// one after a change tells of progress.
void ConnectionTimeout::noteAcknowledged(const SendProgress &Sent,
                                         TimePoint Now) {
  if (!Sent.m_Acknowledged || *Sent.m_Acknowledged == m_Acknowledged)
    return;
  m_Acknowledged = *Sent.m_Acknowledged;
  m_SentAt = std::max(m_SentAt, Now - Sent.m_SinceAcknowledgement);
}

Duration ConnectionTimeout::limit(const CallerTimeouts &Limits) const {
  return m_Stage == ConnectionStage::InHead ? Limits.m_Header : Limits.m_Idle;
}

TimePoint ConnectionTimeout::lastProgress() const {
  switch (m_Stage) {
  case ConnectionStage::InHead:
    return m_Since;
  case ConnectionStage::InBody:
    return std::max(m_Since, m_ReadAt);
  case ConnectionStage::Answering:
    return m_SentAt;
  case ConnectionStage::AwaitingHead:
  case ConnectionStage::Delivering:
    return std::max(m_Since, m_SentAt);
  }
  return m_Since;
}

ConnectionTimeout::Look ConnectionTimeout::look(const CallerTimeouts &Limits,
                                                const SendProgress &Sent,
                                                TimePoint Now) {
  noteAcknowledged(Sent, Now);
  if (m_Stage == ConnectionStage::Delivering && !Sent.m_Unsent &&
      !Sent.m_Unacknowledged)
    m_Stage = ConnectionStage::AwaitingHead;
  const bool Bounded = m_Stage != ConnectionStage::Answering || Sent.m_Unsent;
  const Duration Limit = limit(Limits);
  if (Bounded && Now >= lastProgress() + Limit)
    return {.m_Expired = Limit, .m_Next = Now};
  return {.m_Expired = std::nullopt, .m_Next = nextLook(Limits, Now)};
}

TimePoint ConnectionTimeout::nextLook(const CallerTimeouts &Limits,
                                      TimePoint Now) const {
  const Duration Limit = limit(Limits);
  const TimePoint Between = Now + Limit / LooksWithinTimeout;
  const TimePoint Due = lastProgress() + Limit;
  switch (m_Stage) {
  case ConnectionStage::Answering:
    return Now < Due ? std::min(Between, Due) : Between;
  case ConnectionStage::Delivering:
    return std::min(Between, Due);
  case ConnectionStage::AwaitingHead:
  case ConnectionStage::InHead:
  case ConnectionStage::InBody:
    return Due;
  }
  return Due;
}

} // namespace havenstair
