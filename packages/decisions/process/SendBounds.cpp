#include "decisions/process/SendBounds.h"

#include <algorithm>

namespace havenstair {

const char *toString(BoundKind Kind) {
  switch (Kind) {
  case BoundKind::Cold:
    return "cold";
  case BoundKind::Limit:
    return "limit";
  case BoundKind::Room:
    return "room";
  }
  return "unknown";
}

BoundKind SendBounds::kind(const InstanceId &Id) const {
  if (limited(Id))
    return BoundKind::Limit;
  return refusalLimited(Id) ? BoundKind::Room : BoundKind::Cold;
}

bool SendBounds::maySendUnasked(const InstanceId &Id, int Running, int Slots,
                                TimePoint Now) const {
  const auto NoRoom = m_NoRoomAt.find(Id);
  const bool RefusedLately =
      NoRoom != m_NoRoomAt.end() && Now - NoRoom->second < RoomLedger::Window;
  // Other boxes may be in the same position, and loads lag behind.
  return !RefusedLately && 2 * Running < Slots;
}

std::optional<SendBound> SendBounds::of(const InstanceId &Id,
                                        TimePoint Now) const {
  SendBound Result;
  if (m_WarmUp.cold(Id, Now))
    Result.m_Cold = *m_WarmUp.spec(Id);
  if (const AdvertisedLimit *Limit = m_Signals.limit(Id))
    Result.m_LimitPerSecond = Limit->m_RatePerSecond;
  if (const AdvertisedLimit *Limit = m_Signals.refusalLimit(Id))
    Result.m_RefusalsPerSecond = Limit->m_RatePerSecond;
  if (Result == SendBound{})
    return std::nullopt;
  return Result;
}

std::optional<TimePoint> SendBounds::boundEndsAt(const InstanceId &Id,
                                                 TimePoint Now) const {
  return limited(Id) || refusalLimited(Id) ? std::nullopt
                                           : m_WarmUp.warmAt(Id, Now);
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
