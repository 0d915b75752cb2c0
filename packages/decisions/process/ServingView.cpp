#include "decisions/process/ServingView.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// How long upstreams that left are remembered.
constexpr Duration RememberFor = 60s;

} // namespace

/// A late write of an earlier start may lie over the entry of the newest, which
/// holds then.
void ServingView::keepNewestLives(InstanceList &List) {
  for (auto Each = List.m_Instances.begin(); Each != List.m_Instances.end();) {
    UpstreamInstance &Entry = Each->second;
    const auto Before = m_List.m_Instances.find(Each->first);
    if (m_Lives.isCurrent(Entry.life())) {
      m_Lives.record(Entry.life());
    } else if (Before != m_List.m_Instances.end() &&
               m_Lives.isCurrent(Before->second.life())) {
      Entry = Before->second;
    } else {
      Each = List.m_Instances.erase(Each);
      continue;
    }
    ++Each;
  }
}

void ServingView::markSaidLeaving(InstanceList &List, TimePoint Now) {
  for (auto &[Id, Said] : m_SaidLeaving) {
    const auto Entry = List.m_Instances.find(Id);
    if (Entry == List.m_Instances.end())
      continue;
    Said.m_Listed = Now;
    if (Entry->second.m_Born == Said.m_Born)
      Entry->second.m_Draining = true;
  }
  std::erase_if(m_SaidLeaving, [&](const auto &Each) {
    return Now - Each.second.m_Listed > RememberFor;
  });
}

void ServingView::saidLeaving(const UpstreamLife &Server, TimePoint Now) {
  if (!m_Lives.isCurrent(Server))
    return;
  m_SaidLeaving[Server.m_Id] = {.m_Born = Server.m_Born, .m_Listed = Now};
  const auto Entry = m_List.m_Instances.find(Server.m_Id);
  if (Entry == m_List.m_Instances.end() || Entry->second.life() != Server)
    return;
  Entry->second.m_Draining = true;
  m_Leaving.try_emplace(Server.m_Id,
                        Leaving{.m_Instance = Entry->second, .m_Since = Now});
  refresh(Server.m_Id, Now);
}

/// Forgets what is known of starts before those in \p List. \returns what they
/// were before.
std::vector<UpstreamInstance>
ServingView::startedAgain(const InstanceList &List, TimePoint Now) {
  std::vector<UpstreamInstance> Result;
  for (const auto &[Id, Each] : List.m_Instances) {
    if (!m_ListedLives.record(Each.life()))
      continue;
    const auto Before = m_List.m_Instances.find(Id);
    Result.push_back(Before == m_List.m_Instances.end() ? Each
                                                        : Before->second);
    forgetBefore(Each.life());
    m_AgainAt[Id] = Now;
  }
  return Result;
}

std::size_t ServingView::tellingBirth() const {
  const auto Tells = [](const auto &Each) { return Each.second.m_Born != 0; };
  return static_cast<std::size_t>(std::count_if(
      m_List.m_Instances.begin(), m_List.m_Instances.end(), Tells));
}

std::optional<TimePoint>
ServingView::startedAgainAt(const InstanceId &Id) const {
  const auto Found = m_AgainAt.find(Id);
  return Found == m_AgainAt.end() ? std::nullopt : std::optional(Found->second);
}

void ServingView::forgetBefore(const UpstreamLife &Life) {
  const InstanceId &Id = Life.m_Id;
  m_Leaving.erase(Id);
  m_ListedAt.erase(Id);
  if (const auto Word = m_Told.find(Id);
      Word != m_Told.end() && Word->second.m_Born != Life.m_Born)
    m_Told.erase(Word);
  if (const auto Load = m_Loads.find(Id);
      Load != m_Loads.end() && Load->second.m_Born != Life.m_Born)
    m_Loads.erase(Load);
}

std::vector<UpstreamInstance> ServingView::update(InstanceList List,
                                                  TimePoint Now) {
  if (m_Known && List.m_Revision < m_List.m_Revision)
    return {};
  keepNewestLives(List);
  markSaidLeaving(List, Now);
  std::vector<UpstreamInstance> Gone;
  std::erase_if(m_Leaving, [&](const auto &Each) {
    return Now - Each.second.m_Since > RememberFor;
  });
  for (const auto &[Id, Before] : m_List.m_Instances) {
    if (List.m_Instances.contains(Id))
      continue;
    m_Leaving.try_emplace(Id, Leaving{.m_Instance = Before, .m_Since = Now});
    Gone.push_back(Before);
  }
  const std::vector<UpstreamInstance> Again = startedAgain(List, Now);
  for (const auto &[Id, Each] : List.m_Instances) {
    if (Each.m_Draining)
      m_Leaving.try_emplace(Id, Leaving{.m_Instance = Each, .m_Since = Now});
    else
      m_Leaving.erase(Id);
  }
  for (const auto &[Id, Each] : List.m_Instances) {
    const auto Before = m_List.m_Instances.find(Id);
    if (Before == m_List.m_Instances.end() || Before->second != Each)
      m_ListedAt[Id] = Now;
  }
  m_List = std::move(List);
  m_Known = true;
  for (const UpstreamInstance &Each : Gone) {
    m_Told.erase(Each.m_Id);
    m_Loads.erase(Each.m_Id);
    m_ListedAt.erase(Each.m_Id);
  }
  Gone.insert(Gone.end(), Again.begin(), Again.end());
  m_Current.clear();
  for (const auto &[Id, Each] : m_List.m_Instances)
    refresh(Id, Now);
  return Gone;
}

bool ServingView::evacuate(Evacuations Asked, TimePoint Now) {
  if (Asked.m_Revision < m_Evacuations.m_Revision)
    return false;
  for (const DataCentreName &Each : m_Evacuations.m_DataCentres)
    if (!Asked.contains(Each))
      m_ReturnedAt[Each] = Now;
  for (const DataCentreName &Each : Asked.m_DataCentres)
    m_ReturnedAt.erase(Each);
  const bool Changed = Asked.m_DataCentres != m_Evacuations.m_DataCentres;
  m_Evacuations = std::move(Asked);
  return Changed;
}

bool ServingView::evacuated(const UpstreamInstance &Upstream) const {
  // Hardly ever is there one, and each request asks for each upstream.
  return !m_Evacuations.m_DataCentres.empty() &&
         m_Evacuations.contains(DataCentreName(Upstream.m_Zone));
}

std::optional<TimePoint>
ServingView::returnedAt(const UpstreamInstance &Upstream) const {
  const auto Found = m_ReturnedAt.find(DataCentreName(Upstream.m_Zone));
  return Found == m_ReturnedAt.end() ? std::nullopt
                                     : std::optional(Found->second);
}

void ServingView::refresh(const InstanceId &Id, TimePoint Now) {
  const auto Listed = m_List.m_Instances.find(Id);
  if (Listed == m_List.m_Instances.end())
    return;
  // It has started again, and the list does not say yet what it is now.
  if (!m_Lives.isCurrent(Listed->second.life())) {
    m_Current.erase(Id);
    return;
  }
  UpstreamInstance &Current = m_Current[Id] = Listed->second;
  const auto Word = m_Told.find(Id);
  if (Word == m_Told.end())
    return;
  const TimePoint At = Word->second.m_At;
  if (Now - At <= m_Opts.m_WordFresh || At >= m_ListedAt[Id])
    Current.m_Models = Word->second.m_Models;
}

void ServingView::told(const UpstreamLife &Engine,
                       std::vector<ResidentModel> Models,
                       std::set<std::string> Retiring, TimePoint Now) {
  if (!m_Lives.isCurrent(Engine))
    return;
  if (m_Lives.record(Engine))
    m_Loads.erase(Engine.m_Id);
  m_Told[Engine.m_Id] = {.m_Models = std::move(Models),
                         .m_Retiring = std::move(Retiring),
                         .m_At = Now,
                         .m_Born = Engine.m_Born};
  refresh(Engine.m_Id, Now);
}

void ServingView::toldLoad(const UpstreamLife &Engine, const std::string &Model,
                           TimePoint ServesAt) {
  if (!m_Lives.isCurrent(Engine))
    return;
  if (Model.empty())
    m_Loads.erase(Engine.m_Id);
  else
    m_Loads[Engine.m_Id] = {
        .m_Model = Model, .m_ServesAt = ServesAt, .m_Born = Engine.m_Born};
}

bool ServingView::anyOf(
    const std::string &Service,
    const std::function<bool(const InstanceId &)> &Excluded) const {
  return std::any_of(m_Current.begin(), m_Current.end(), [&](const auto &Each) {
    return Each.second.m_Service == Service && !leaves(Each.second) &&
           !Excluded(Each.first);
  });
}

std::optional<TimePoint>
ServingView::servesAt(const std::string &Service, const std::string &Model,
                      const std::function<bool(const InstanceId &)> &Excluded,
                      TimePoint Now) const {
  std::optional<TimePoint> Soonest;
  for (const auto &[Id, Each] : m_Loads) {
    if (Each.m_Model != Model || Now - Each.m_ServesAt > m_Opts.m_LoadOverdue)
      continue;
    const auto Engine = m_Current.find(Id);
    if (Engine == m_Current.end() || leaves(Engine->second) ||
        Engine->second.m_Service != Service ||
        Engine->second.holds(Model, "") || Excluded(Id))
      continue;
    Soonest = std::min(Soonest.value_or(Each.m_ServesAt), Each.m_ServesAt);
  }
  return Soonest;
}

bool ServingView::retiring(const InstanceId &Id, const std::string &Model,
                           TimePoint Now) const {
  const auto Found = m_Told.find(Id);
  return Found != m_Told.end() && Found->second.m_Retiring.contains(Model) &&
         Now - Found->second.m_At <= m_Opts.m_RetiringHolds;
}

const UpstreamInstance *ServingView::find(const InstanceId &Id) const {
  const auto Listed = m_Current.find(Id);
  if (Listed != m_Current.end())
    return &Listed->second;
  const auto Left = m_Leaving.find(Id);
  return Left == m_Leaving.end() ? nullptr : &Left->second.m_Instance;
}

std::vector<const UpstreamInstance *>
ServingView::candidates(const std::string &Service, const std::string &Model,
                        const std::string &Adapter,
                        const std::function<bool(const InstanceId &)> &Excluded,
                        TimePoint Now) const {
  const auto Fits = [&](const UpstreamInstance &Each) {
    return Each.m_Service == Service &&
           (Model.empty() || Each.holds(Model, Adapter)) && !evacuated(Each) &&
           !retiring(Each.m_Id, Model, Now) && !Excluded(Each.m_Id);
  };
  std::vector<const UpstreamInstance *> Result;
  for (const auto &[Id, Each] : m_Current)
    if (!Each.m_Draining && Fits(Each))
      Result.push_back(&Each);
  if (!Result.empty())
    return Result;
  for (const auto &[Id, Each] : m_Leaving)
    if (Now - Each.m_Since <= m_Opts.m_LastResort &&
        m_Lives.isCurrent(Each.m_Instance.life()) && Fits(Each.m_Instance))
      Result.push_back(&Each.m_Instance);
  return Result;
}

} // namespace havenstair
