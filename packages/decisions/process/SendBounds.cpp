#include "decisions/process/SendBounds.h"

#include <algorithm>

namespace havenstair {

std::optional<SendBound> SendBounds::of(const InstanceId &Id,
                                        TimePoint Now) const {
  SendBound Result;
  if (m_WarmUp.cold(Id, Now))
    Result.m_Cold = *m_WarmUp.spec(Id);
  if (const NamedLimit *Limit = m_Words.limit(Id))
    Result.m_LimitPerS = Limit->m_PerS;
  if (Result == SendBound{})
    return std::nullopt;
  return Result;
}

std::optional<TimePoint> SendBounds::endsAt(const InstanceId &Id,
                                            TimePoint Now) const {
  return limited(Id) ? std::nullopt : m_WarmUp.warmAt(Id, Now);
}

void SendBounds::noteBusy(const InstanceId &Id, TimePoint Free, TimePoint Now) {
  std::erase_if(m_Free, [&](const auto &Each) { return Each.second <= Now; });
  // Each request that asks is told another time; the first is the next.
  const auto [Known, New] = m_Free.try_emplace(Id, Free);
  Known->second = std::min(Known->second, Free);
}

Duration SendBounds::permitWait(const InstanceId &Id, TimePoint Now) const {
  const auto Found = m_Free.find(Id);
  if (Found == m_Free.end() || !bound(Id, Now))
    return 0us;
  const TimePoint Free =
      std::min(endsAt(Id, Now).value_or(Found->second), Found->second);
  return std::max<Duration>(0us, Free - Now);
}

} // namespace havenstair
