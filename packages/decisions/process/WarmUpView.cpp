#include "decisions/process/WarmUpView.h"

#include <algorithm>

namespace havenstair {

void WarmUpView::configure(const std::vector<ServiceSpec> &Services) {
  m_Specs.clear();
  for (const ServiceSpec &Each : Services)
    if (Each.m_WarmUp.limited())
      m_Specs[Each.m_Name] = Each.m_WarmUp;
}

void WarmUpView::listed(const InstanceList &List, TimePoint Now) {
  for (auto &[Id, Each] : m_Servers)
    if (Each.m_Listed && !List.m_Instances.contains(Id)) {
      Each.m_Listed = false;
      Each.m_GoneAt = Now;
    }
  std::erase_if(m_Servers, [&](const auto &Each) {
    return !Each.second.m_Listed &&
           Now - Each.second.m_GoneAt > m_Opts.m_RememberFor;
  });
  for (const auto &[Id, Entry] : List.m_Instances) {
    const auto [Found, New] = m_Servers.try_emplace(Id);
    Server &Of = Found->second;
    // Without a birth, one that comes back may be another life.
    const bool Started = New || Entry.m_Born > Of.m_Entry.m_Born ||
                         (!Of.m_Listed && Entry.m_Born == 0);
    Of.m_Listed = true;
    // A late word of a former life.
    if (!New && Entry.m_Born < Of.m_Entry.m_Born)
      continue;
    if (Started) {
      Of.m_Entry = Entry;
      Of.m_WarmAt = Now + Entry.m_ColdFor;
      if (m_Known && Entry.m_ColdFor == 0us)
        start(Of, Now);
      Of.m_EventAt = Now;
    } else if (Entry != Of.m_Entry) {
      entryChanged(Of, Entry, Now);
    }
  }
  m_Known = true;
}

void WarmUpView::start(Server &Of, TimePoint Now) {
  const auto Spec = m_Specs.find(Of.m_Entry.m_Service);
  if (Spec != m_Specs.end())
    Of.m_WarmAt = Now + Spec->second.m_After;
  Of.m_EventAt = Now;
}

void WarmUpView::entryChanged(Server &Of, const UpstreamInstance &Entry,
                              TimePoint Now) {
  Of.m_Entry = Entry;
  if (Entry.m_ColdFor > 0us)
    Of.m_WarmAt = Now + Entry.m_ColdFor;
  else if (Now - Of.m_EventAt >= m_Opts.m_EntryLate)
    Of.m_WarmAt = Now;
  else // Unless the next entry says otherwise.
    Of.m_WarmAt = std::min(Of.m_WarmAt, Of.m_EventAt + m_Opts.m_EntryLate +
                                            m_Opts.m_EntryEvery);
}

bool WarmUpView::told(const InstanceId &Id, Duration ColdFor, TimePoint AskedAt,
                      TimePoint Now) {
  const auto Found = m_Servers.find(Id);
  if (Found == m_Servers.end() || AskedAt < Found->second.m_EventAt)
    return false;
  Server &Of = Found->second;
  const bool TurnsCold = ColdFor > 0us && Of.m_WarmAt <= Now;
  // An entry that was written before may still come.
  if (TurnsCold)
    Of.m_EventAt = AskedAt;
  Of.m_WarmAt = Now + ColdFor;
  return TurnsCold && spec(Id) != nullptr;
}

UpstreamLife WarmUpView::life(const InstanceId &Id) const {
  const auto Found = m_Servers.find(Id);
  return {.m_Id = Id,
          .m_Born =
              Found == m_Servers.end() ? 0 : Found->second.m_Entry.m_Born};
}

void WarmUpView::suspect(const InstanceId &Id, TimePoint Now) {
  if (const auto Found = m_Servers.find(Id); Found != m_Servers.end())
    start(Found->second, Now);
}

void WarmUpView::suspectAt(const DataCentreName &DataCentre, TimePoint Now) {
  for (auto &[Id, Each] : m_Servers)
    if (Each.m_Listed && Each.m_Entry.m_Zone == DataCentre.str())
      start(Each, Now);
}

std::optional<TimePoint> WarmUpView::warmAt(const InstanceId &Id,
                                            TimePoint Now) const {
  const auto Found = m_Servers.find(Id);
  if (Found == m_Servers.end() || Found->second.m_WarmAt <= Now ||
      spec(Id) == nullptr)
    return std::nullopt;
  return Found->second.m_WarmAt;
}

const WarmUpSpec *WarmUpView::spec(const InstanceId &Id) const {
  const auto Found = m_Servers.find(Id);
  if (Found == m_Servers.end())
    return nullptr;
  const auto Spec = m_Specs.find(Found->second.m_Entry.m_Service);
  return Spec == m_Specs.end() ? nullptr : &Spec->second;
}

DataCentreName WarmUpView::dataCentre(const InstanceId &Id) const {
  const auto Found = m_Servers.find(Id);
  return Found == m_Servers.end()
             ? DataCentreName()
             : DataCentreName(Found->second.m_Entry.m_Zone);
}

std::vector<InstanceId> WarmUpView::limited() const {
  std::vector<InstanceId> Result;
  for (const auto &[Id, Each] : m_Servers)
    if (Each.m_Listed && spec(Id) != nullptr)
      Result.push_back(Id);
  return Result;
}

std::map<DataCentreName, int>
WarmUpView::coldByDataCentre(TimePoint Now) const {
  std::map<DataCentreName, int> Result;
  for (const auto &[Id, Each] : m_Servers)
    if (Each.m_Listed && cold(Id, Now))
      ++Result[DataCentreName(Each.m_Entry.m_Zone)];
  return Result;
}

} // namespace havenstair
