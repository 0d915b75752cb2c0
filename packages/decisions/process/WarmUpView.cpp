#include "decisions/process/WarmUpView.h"

#include <algorithm>

namespace havenstair {

void WarmUpView::configure(const std::vector<ServiceSpec> &Services) {
  m_Specs.clear();
  for (const ServiceSpec &Each : Services)
    if (Each.m_WarmUp.limited())
      m_Specs[Each.m_Name] = Each.m_WarmUp;
}

void WarmUpView::update(const InstanceList &List, TimePoint Now) {
  for (auto &[Id, Each] : m_Upstreams)
    if (Each.m_Listed && !List.m_Instances.contains(Id)) {
      Each.m_Listed = false;
      Each.m_GoneAt = Now;
    }
  std::erase_if(m_Upstreams, [&](const auto &Each) {
    return !Each.second.m_Listed &&
           Now - Each.second.m_GoneAt > m_Opts.m_RememberFor;
  });
  for (const auto &[Id, Entry] : List.m_Instances) {
    const auto [Found, New] = m_Upstreams.try_emplace(Id);
    Upstream &Known = Found->second;
    // Without a start time, one that is listed again may have started again.
    const bool Started = New || Entry.m_StartTime > Known.m_Entry.m_StartTime ||
                         (!Known.m_Listed && Entry.m_StartTime == 0);
    Known.m_Listed = true;
    // A late write of an earlier incarnation.
    if (!New && Entry.m_StartTime < Known.m_Entry.m_StartTime)
      continue;
    if (Started) {
      Known.m_Entry = Entry;
      Known.m_WarmAt = Now + Entry.m_ColdFor;
      if (m_Known && Entry.m_ColdFor == 0us)
        startWarmUp(Known, Now);
      Known.m_EventAt = Now;
    } else if (Entry != Known.m_Entry) {
      entryChanged(Known, Entry, Now);
    }
  }
  m_Known = true;
}

void WarmUpView::startWarmUp(Upstream &Known, TimePoint Now) {
  const auto Spec = m_Specs.find(Known.m_Entry.m_Service);
  if (Spec != m_Specs.end())
    Known.m_WarmAt = Now + Spec->second.m_ColdTime;
  Known.m_EventAt = Now;
}

void WarmUpView::entryChanged(Upstream &Known, const UpstreamInstance &Entry,
                              TimePoint Now) {
  Known.m_Entry = Entry;
  if (Entry.m_ColdFor > 0us)
    Known.m_WarmAt = Now + Entry.m_ColdFor;
  else if (Now - Known.m_EventAt >= m_Opts.m_MaxEntryDelay)
    Known.m_WarmAt = Now;
  else // Until the next entry, which is certain to be written after the event.
    Known.m_WarmAt =
        std::min(Known.m_WarmAt, Known.m_EventAt + m_Opts.m_MaxEntryDelay +
                                     m_Opts.m_EntryInterval);
}

bool WarmUpView::recordColdTime(const InstanceId &Id, Duration ColdFor,
                                TimePoint AskedAt, TimePoint Now) {
  const auto Found = m_Upstreams.find(Id);
  if (Found == m_Upstreams.end() || AskedAt < Found->second.m_EventAt)
    return false;
  Upstream &Known = Found->second;
  const bool TurnsCold = ColdFor > 0us && Known.m_WarmAt <= Now;
  // An entry that was written before may still arrive.
  if (TurnsCold)
    Known.m_EventAt = AskedAt;
  Known.m_WarmAt = Now + ColdFor;
  return TurnsCold && spec(Id) != nullptr;
}

UpstreamIncarnation WarmUpView::incarnation(const InstanceId &Id) const {
  const auto Found = m_Upstreams.find(Id);
  return {.m_Id = Id,
          .m_StartTime = Found == m_Upstreams.end()
                             ? 0
                             : Found->second.m_Entry.m_StartTime};
}

void WarmUpView::suspect(const InstanceId &Id, TimePoint Now) {
  if (const auto Found = m_Upstreams.find(Id); Found != m_Upstreams.end())
    startWarmUp(Found->second, Now);
}

void WarmUpView::suspectAt(const DataCentreName &DataCentre, TimePoint Now) {
  for (auto &[Id, Each] : m_Upstreams)
    if (Each.m_Listed && Each.m_Entry.m_Zone == DataCentre.str())
      startWarmUp(Each, Now);
}

std::optional<TimePoint> WarmUpView::warmAt(const InstanceId &Id,
                                            TimePoint Now) const {
  const auto Found = m_Upstreams.find(Id);
  if (Found == m_Upstreams.end() || Found->second.m_WarmAt <= Now ||
      spec(Id) == nullptr)
    return std::nullopt;
  return Found->second.m_WarmAt;
}

const WarmUpSpec *WarmUpView::spec(const InstanceId &Id) const {
  const auto Found = m_Upstreams.find(Id);
  if (Found == m_Upstreams.end())
    return nullptr;
  const auto Spec = m_Specs.find(Found->second.m_Entry.m_Service);
  return Spec == m_Specs.end() ? nullptr : &Spec->second;
}

DataCentreName WarmUpView::dataCentre(const InstanceId &Id) const {
  const auto Found = m_Upstreams.find(Id);
  return Found == m_Upstreams.end()
             ? DataCentreName()
             : DataCentreName(Found->second.m_Entry.m_Zone);
}

std::vector<InstanceId> WarmUpView::limited() const {
  std::vector<InstanceId> Result;
  for (const auto &[Id, Each] : m_Upstreams)
    if (Each.m_Listed && spec(Id) != nullptr)
      Result.push_back(Id);
  return Result;
}

std::map<DataCentreName, int>
WarmUpView::coldByDataCentre(TimePoint Now) const {
  std::map<DataCentreName, int> Result;
  for (const auto &[Id, Each] : m_Upstreams)
    if (Each.m_Listed && cold(Id, Now))
      ++Result[DataCentreName(Each.m_Entry.m_Zone)];
  return Result;
}

} // namespace havenstair
