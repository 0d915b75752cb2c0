#include "decisions/process/UpstreamSignals.h"

#include <algorithm>
#include <utility>

namespace havenstair {

const char *toString(LimitChange Change) {
  switch (Change) {
  case LimitChange::None:
    return "none";
  case LimitChange::Begun:
    return "begun";
  case LimitChange::Altered:
    return "altered";
  case LimitChange::Ended:
    return "ended";
  }
  return "unknown";
}

void UpstreamSignals::update(const InstanceList &List, TimePoint Now) {
  for (auto &[Id, Each] : m_Upstreams) {
    const auto Entry = List.m_Instances.find(Id);
    if (Entry == List.m_Instances.end()) {
      Each.m_GoneAt = Each.m_GoneAt.value_or(Now);
      continue;
    }
    Each.m_GoneAt.reset();
    if (Entry->second.m_StartTime > Each.m_StartTime)
      Each = Signals{.m_StartTime = Entry->second.m_StartTime};
  }
  std::erase_if(m_Upstreams, [&](const auto &Each) {
    return Each.second.m_GoneAt && Now - *Each.second.m_GoneAt > RememberFor;
  });
}

UpstreamSignals::Signals *
UpstreamSignals::signalsOf(const UpstreamIncarnation &Upstream) {
  Signals &Current = m_Upstreams[Upstream.m_Id];
  if (Upstream.m_StartTime > Current.m_StartTime)
    Current = Signals{.m_StartTime = Upstream.m_StartTime};
  return Current.m_StartTime == Upstream.m_StartTime ? &Current : nullptr;
}

LimitChange UpstreamSignals::record(LimitMember Which,
                                    const UpstreamIncarnation &Upstream,
                                    std::optional<double> PerSecond,
                                    const BoxName &Self, TimePoint SentAt,
                                    TimePoint Now) {
  const AdvertisedLimit *Before = find(Which, Upstream.m_Id);
  // Answers overlap, so one without a limit may be older than the limit.
  if (!PerSecond && (Before == nullptr || SentAt <= Before->m_ReceivedAt))
    return LimitChange::None;
  return merge(Which, Upstream, PerSecond, Self, 0us, Now);
}

LimitChange UpstreamSignals::merge(LimitMember Which,
                                   const UpstreamIncarnation &Upstream,
                                   std::optional<double> PerSecond,
                                   const BoxName &By, Duration Age,
                                   TimePoint Now) {
  Signals *Current = signalsOf(Upstream);
  if (Current == nullptr)
    return LimitChange::None;
  std::optional<AdvertisedLimit> &Limit = Current->*Which;
  if (!PerSecond)
    return std::exchange(Limit, std::nullopt) ? LimitChange::Ended
                                              : LimitChange::None;
  if (!Limit) {
    Limit = {.m_RatePerSecond = *PerSecond,
             .m_Since = Now - Age,
             .m_ReceivedAt = Now,
             .m_ReportedBy = By};
    return LimitChange::Begun;
  }
  if (Limit->m_RatePerSecond == *PerSecond)
    return LimitChange::None;
  Limit->m_RatePerSecond = *PerSecond;
  Limit->m_ReceivedAt = Now;
  Limit->m_ReportedBy = By;
  return LimitChange::Altered;
}

LimitChange UpstreamSignals::recordLimit(const UpstreamIncarnation &Upstream,
                                         std::optional<double> RatePerSecond,
                                         const BoxName &Self, TimePoint SentAt,
                                         TimePoint Now) {
  return record(&Signals::m_Limit, Upstream, RatePerSecond, Self, SentAt, Now);
}

LimitChange UpstreamSignals::mergeLimit(const UpstreamIncarnation &Upstream,
                                        std::optional<double> RatePerSecond,
                                        const BoxName &By, Duration Age,
                                        TimePoint Now) {
  return merge(&Signals::m_Limit, Upstream, RatePerSecond, By, Age, Now);
}

LimitChange UpstreamSignals::recordRefusalLimit(
    const UpstreamIncarnation &Upstream, std::optional<double> PerSecond,
    const BoxName &Self, TimePoint SentAt, TimePoint Now) {
  return record(&Signals::m_RefusalLimit, Upstream, PerSecond, Self, SentAt,
                Now);
}

LimitChange UpstreamSignals::mergeRefusalLimit(
    const UpstreamIncarnation &Upstream, std::optional<double> PerSecond,
    const BoxName &By, Duration Age, TimePoint Now) {
  return merge(&Signals::m_RefusalLimit, Upstream, PerSecond, By, Age, Now);
}

bool UpstreamSignals::recordLeaving(const UpstreamIncarnation &Upstream,
                                    const BoxName &By, TimePoint Now) {
  Signals *Current = signalsOf(Upstream);
  if (Current == nullptr || Current->m_Leaving)
    return false;
  Current->m_Leaving = {.m_Since = Now, .m_ReportedBy = By};
  return true;
}

bool UpstreamSignals::recordRetryAfter(const UpstreamIncarnation &Upstream,
                                       Duration For, TimePoint Now) {
  Signals *Current = signalsOf(Upstream);
  if (Current == nullptr || Current->m_RetryAt >= Now + For)
    return false;
  Current->m_RetryAt = Now + For;
  return true;
}

std::optional<TimePoint> UpstreamSignals::retryAt(const InstanceId &Id,
                                                  TimePoint Now) const {
  const auto Found = m_Upstreams.find(Id);
  if (Found == m_Upstreams.end() || Found->second.m_RetryAt <= Now)
    return std::nullopt;
  return Found->second.m_RetryAt;
}

std::size_t UpstreamSignals::backedOffCount(TimePoint Now) const {
  return static_cast<std::size_t>(std::count_if(
      m_Upstreams.begin(), m_Upstreams.end(),
      [&](const auto &Each) { return Each.second.m_RetryAt > Now; }));
}

std::map<UpstreamIncarnation, LeavingNotice> UpstreamSignals::leaving() const {
  std::map<UpstreamIncarnation, LeavingNotice> Result;
  for (const auto &[Id, Each] : m_Upstreams)
    if (Each.m_Leaving)
      Result[{.m_Id = Id, .m_StartTime = Each.m_StartTime}] = *Each.m_Leaving;
  return Result;
}

const AdvertisedLimit *UpstreamSignals::find(LimitMember Which,
                                             const InstanceId &Id) const {
  const auto Found = m_Upstreams.find(Id);
  if (Found == m_Upstreams.end())
    return nullptr;
  const std::optional<AdvertisedLimit> &Limit = Found->second.*Which;
  return Limit ? &*Limit : nullptr;
}

std::map<UpstreamIncarnation, AdvertisedLimit>
UpstreamSignals::all(LimitMember Which) const {
  std::map<UpstreamIncarnation, AdvertisedLimit> Result;
  for (const auto &[Id, Each] : m_Upstreams)
    if (const std::optional<AdvertisedLimit> &Limit = Each.*Which)
      Result[{.m_Id = Id, .m_StartTime = Each.m_StartTime}] = *Limit;
  return Result;
}

const AdvertisedLimit *UpstreamSignals::limit(const InstanceId &Id) const {
  return find(&Signals::m_Limit, Id);
}

std::map<UpstreamIncarnation, AdvertisedLimit> UpstreamSignals::limits() const {
  return all(&Signals::m_Limit);
}

const AdvertisedLimit *
UpstreamSignals::refusalLimit(const InstanceId &Id) const {
  return find(&Signals::m_RefusalLimit, Id);
}

std::map<UpstreamIncarnation, AdvertisedLimit>
UpstreamSignals::refusalLimits() const {
  return all(&Signals::m_RefusalLimit);
}

} // namespace havenstair
