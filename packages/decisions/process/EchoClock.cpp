#include "decisions/process/EchoClock.h"

namespace havenstair {

namespace {

/// Half a minute at four messages a second; older messages are never used.
constexpr std::size_t MaxRemembered = 128;

} // namespace

std::uint64_t EchoClock::nextNumber(TimePoint Now) {
  m_SentAt.push_back(Now);
  if (m_SentAt.size() > MaxRemembered)
    m_SentAt.pop_front();
  return ++m_Last;
}

void EchoClock::recordReceived(const BoxName &From, std::uint64_t Number) {
  m_LastReceived[From] = Number;
}

std::uint64_t EchoClock::echoFor(const BoxName &To) const {
  const auto Found = m_LastReceived.find(To);
  return Found == m_LastReceived.end() ? 0 : Found->second;
}

TimePoint EchoClock::sentAt(std::uint64_t Echo) const {
  const std::uint64_t Oldest = m_Last - m_SentAt.size() + 1;
  if (Echo < Oldest || Echo > m_Last)
    return {};
  return m_SentAt[static_cast<std::size_t>(Echo - Oldest)];
}

} // namespace havenstair
