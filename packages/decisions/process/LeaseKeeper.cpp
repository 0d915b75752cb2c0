#include "decisions/process/LeaseKeeper.h"

#include <algorithm>
#include <utility>

namespace havenstair {

LeaseKeeper::LeaseKeeper(Options Opts) : m_Opts(std::move(Opts)) {}

std::optional<LeaseAction> LeaseKeeper::tick(TimePoint Now) {
  if (m_CallInFlight || Now < m_NextCall)
    return std::nullopt;
  m_CallInFlight = true;
  if (m_LeaseId.empty())
    return CreateLease{};
  return RenewLease{m_LeaseId};
}

void LeaseKeeper::onGranted(const std::string &LeaseId, TimePoint SentAt) {
  m_CallInFlight = false;
  m_LeaseId = LeaseId;
  m_HeldUntil =
      std::max(m_HeldUntil, SentAt + m_Opts.m_TimeToLive - m_Opts.m_Margin);
  m_NextCall = SentAt + m_Opts.m_RenewEvery;
}

void LeaseKeeper::onFailed(TimePoint RetryAt) {
  m_CallInFlight = false;
  m_NextCall = RetryAt;
}

void LeaseKeeper::onLost(TimePoint Now) {
  m_CallInFlight = false;
  m_LeaseId.clear();
  m_HeldUntil = TimePoint{};
  m_NextCall = Now;
}

void LeaseKeeper::onStoreRestored(TimePoint RetryAt) {
  m_CallInFlight = false;
  m_LeaseId.clear();
  m_NextCall = RetryAt;
}

bool LeaseKeeper::held(TimePoint Now) const { return Now < m_HeldUntil; }

} // namespace havenstair
