#include "decisions/process/SendBounds.h"

#include <algorithm>

namespace havenstair {

std::optional<SendBound> SendBounds::of(const InstanceId &Id,
                                        TimePoint Now) const {
  SendBound Result;
  if (m_WarmUp.cold(Id, Now))
    Result.m_Cold = *m_WarmUp.spec(Id);
  if (const AdvertisedLimit *Limit = m_Signals.limit(Id))
    Result.m_LimitPerSecond = Limit->m_RatePerSecond;
  if (Result == SendBound{})
    return std::nullopt;
  return Result;
}

std::optional<TimePoint> SendBounds::boundEndsAt(const InstanceId &Id,
                                                 TimePoint Now) const {
  return limited(Id) ? std::nullopt : m_WarmUp.warmAt(Id, Now);
}

void SendBounds::recordNextPermit(const InstanceId &Id, TimePoint NextPermitAt,
                                  TimePoint Now) {
  std::erase_if(m_NextPermitAt,
                [&](const auto &Each) { return Each.second <= Now; });
  // Each request is given a retry time of its own; the earliest one counts.
  const auto [Known, New] = m_NextPermitAt.try_emplace(Id, NextPermitAt);
  Known->second = std::min(Known->second, NextPermitAt);
}

Duration SendBounds::permitWait(const InstanceId &Id, TimePoint Now) const {
  const auto Found = m_NextPermitAt.find(Id);
  if (Found == m_NextPermitAt.end() || !needsPermit(Id, Now))
    return 0us;
  const TimePoint NextPermitAt =
      std::min(boundEndsAt(Id, Now).value_or(Found->second), Found->second);
  return std::max<Duration>(0us, NextPermitAt - Now);
}

} // namespace havenstair
