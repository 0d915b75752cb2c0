#include "decisions/process/ServingView.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// How long upstreams that disappeared from the list are remembered.
constexpr Duration RememberFor = 60s;

} // namespace

/// A late write of an earlier incarnation may have replaced the entry of the
/// newest one, whose previous entry is kept then.
void ServingView::keepNewestIncarnations(InstanceList &List) {
  for (auto Each = List.m_Instances.begin(); Each != List.m_Instances.end();) {
    UpstreamInstance &Entry = Each->second;
    const auto Before = m_List.m_Instances.find(Each->first);
    if (m_Incarnations.isCurrent(Entry.incarnation())) {
      m_Incarnations.record(Entry.incarnation());
    } else if (Before != m_List.m_Instances.end() &&
               m_Incarnations.isCurrent(Before->second.incarnation())) {
      Entry = Before->second;
    } else {
      Each = List.m_Instances.erase(Each);
      continue;
    }
    ++Each;
  }
}

void ServingView::markLeavingUpstreams(InstanceList &List, TimePoint Now) {
  for (auto &[Id, Notice] : m_LeavingNotices) {
    const auto Entry = List.m_Instances.find(Id);
    if (Entry == List.m_Instances.end())
      continue;
    Notice.m_Listed = Now;
    if (Entry->second.m_StartTime == Notice.m_StartTime)
      Entry->second.m_Draining = true;
  }
  std::erase_if(m_LeavingNotices, [&](const auto &Each) {
    return Now - Each.second.m_Listed > RememberFor;
  });
}

void ServingView::markLeaving(const UpstreamIncarnation &Upstream,
                              TimePoint Now) {
  if (!m_Incarnations.isCurrent(Upstream))
    return;
  m_LeavingNotices[Upstream.m_Id] = {.m_StartTime = Upstream.m_StartTime,
                                     .m_Listed = Now};
  const auto Entry = m_List.m_Instances.find(Upstream.m_Id);
  if (Entry == m_List.m_Instances.end() ||
      Entry->second.incarnation() != Upstream)
    return;
  Entry->second.m_Draining = true;
  m_Leaving.try_emplace(Upstream.m_Id,
                        Leaving{.m_Instance = Entry->second, .m_Since = Now});
  refresh(Upstream.m_Id, Now);
}

/// Forgets what is known of incarnations before those in \p List. \returns the
/// previous entries of the upstreams that have started again.
std::vector<UpstreamInstance>
ServingView::recordRestarts(const InstanceList &List, TimePoint Now) {
  std::vector<UpstreamInstance> Result;
  for (const auto &[Id, Each] : List.m_Instances) {
    if (!m_ListedIncarnations.record(Each.incarnation()))
      continue;
    const auto Before = m_List.m_Instances.find(Id);
    Result.push_back(Before == m_List.m_Instances.end() ? Each
                                                        : Before->second);
    forgetBefore(Each.incarnation());
    m_RestartedAt[Id] = Now;
  }
  return Result;
}

std::size_t ServingView::countWithStartTime() const {
  const auto Reports = [](const auto &Each) {
    return Each.second.m_StartTime != 0;
  };
  return static_cast<std::size_t>(std::count_if(
      m_List.m_Instances.begin(), m_List.m_Instances.end(), Reports));
}

std::optional<TimePoint> ServingView::restartedAt(const InstanceId &Id) const {
  const auto Found = m_RestartedAt.find(Id);
  return Found == m_RestartedAt.end() ? std::nullopt
                                      : std::optional(Found->second);
}

void ServingView::forgetBefore(const UpstreamIncarnation &Incarnation) {
  const InstanceId &Id = Incarnation.m_Id;
  m_Leaving.erase(Id);
  m_ListedAt.erase(Id);
  if (const auto Report = m_LeaderReports.find(Id);
      Report != m_LeaderReports.end() &&
      Report->second.m_StartTime != Incarnation.m_StartTime)
    m_LeaderReports.erase(Report);
  if (const auto Load = m_Loads.find(Id);
      Load != m_Loads.end() &&
      Load->second.m_StartTime != Incarnation.m_StartTime)
    m_Loads.erase(Load);
}

/// Keeps what the store had acknowledged of upstreams that are leaving or have
/// left.
void ServingView::onStoreRestored(TimePoint Now) {
  for (const auto &[Id, Each] : m_List.m_Instances)
    if (Each.m_Draining)
      m_LeavingNotices[Id] = {.m_StartTime = Each.m_StartTime, .m_Listed = Now};
  std::map<InstanceId, UpstreamInstance> Ended;
  for (const auto &[Id, Each] : m_Leaving)
    if (!m_List.m_Instances.contains(Id))
      Ended.emplace(Id, Each.m_Instance);
  m_Reconciler.onRestored(m_List, Ended, Now);
}

std::vector<UpstreamInstance> ServingView::update(InstanceList List,
                                                  TimePoint Now) {
  if (m_Known && List.m_Revision < m_List.m_Revision)
    return {};
  if (m_Known && List.m_Revision.m_Era > m_List.m_Revision.m_Era)
    onStoreRestored(Now);
  m_Reconciler.reconcile(List, Now);
  keepNewestIncarnations(List);
  markLeavingUpstreams(List, Now);
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
  const std::vector<UpstreamInstance> Restarted = recordRestarts(List, Now);
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
    m_LeaderReports.erase(Each.m_Id);
    m_Loads.erase(Each.m_Id);
    m_ListedAt.erase(Each.m_Id);
  }
  Gone.insert(Gone.end(), Restarted.begin(), Restarted.end());
  m_Current.clear();
  for (const auto &[Id, Each] : m_List.m_Instances)
    refresh(Id, Now);
  return Gone;
}

/// An evacuation that is requested again ends like any other one later.
void ServingView::keepEvacuations(Evacuations &Requested, TimePoint Now) {
  const StoreRevision &Before = m_Evacuations.m_Revision;
  if (!Before.none() && Requested.m_Revision.m_Era > Before.m_Era) {
    m_KeptEvacuations = m_Evacuations.m_DataCentres;
    m_EvacuationsKeptUntil = Now + m_Opts.m_KeepEvacuation;
  }
  if (Now >= m_EvacuationsKeptUntil)
    m_KeptEvacuations.clear();
  for (const DataCentreName &Each : Requested.m_DataCentres)
    m_KeptEvacuations.erase(Each);
  Requested.m_DataCentres.insert(m_KeptEvacuations.begin(),
                                 m_KeptEvacuations.end());
}

bool ServingView::setEvacuations(Evacuations Requested, TimePoint Now) {
  if (Requested.m_Revision < m_Evacuations.m_Revision)
    return false;
  keepEvacuations(Requested, Now);
  for (const DataCentreName &Each : m_Evacuations.m_DataCentres)
    if (!Requested.contains(Each))
      m_EvacuationEndedAt[Each] = Now;
  for (const DataCentreName &Each : Requested.m_DataCentres)
    m_EvacuationEndedAt.erase(Each);
  const bool Changed = Requested.m_DataCentres != m_Evacuations.m_DataCentres;
  m_Evacuations = std::move(Requested);
  return Changed;
}

bool ServingView::evacuated(const UpstreamInstance &Upstream) const {
  // A short cut for the usual case of none, as each request asks this for each
  // upstream.
  return !m_Evacuations.m_DataCentres.empty() &&
         m_Evacuations.contains(DataCentreName(Upstream.m_Zone));
}

std::optional<TimePoint>
ServingView::evacuationEndedAt(const UpstreamInstance &Upstream) const {
  const auto Found = m_EvacuationEndedAt.find(DataCentreName(Upstream.m_Zone));
  return Found == m_EvacuationEndedAt.end() ? std::nullopt
                                            : std::optional(Found->second);
}

void ServingView::refresh(const InstanceId &Id, TimePoint Now) {
  const auto Listed = m_List.m_Instances.find(Id);
  if (Listed == m_List.m_Instances.end())
    return;
  // The upstream has started again, and its new entry is not listed yet.
  if (!m_Incarnations.isCurrent(Listed->second.incarnation())) {
    m_Current.erase(Id);
    return;
  }
  UpstreamInstance &Current = m_Current[Id] = Listed->second;
  const auto Report = m_LeaderReports.find(Id);
  if (Report == m_LeaderReports.end())
    return;
  const TimePoint At = Report->second.m_At;
  if (Now - At <= m_Opts.m_LeaderReportTtl || At >= m_ListedAt[Id])
    Current.m_Models = Report->second.m_Models;
}

void ServingView::recordLeaderReport(const UpstreamIncarnation &Engine,
                                     std::vector<ResidentModel> Models,
                                     std::set<std::string> Retiring,
                                     TimePoint Now) {
  if (!m_Incarnations.isCurrent(Engine))
    return;
  if (m_Incarnations.record(Engine))
    m_Loads.erase(Engine.m_Id);
  m_LeaderReports[Engine.m_Id] = {.m_Models = std::move(Models),
                                  .m_Retiring = std::move(Retiring),
                                  .m_At = Now,
                                  .m_StartTime = Engine.m_StartTime};
  refresh(Engine.m_Id, Now);
}

void ServingView::recordLeaderLoad(const UpstreamIncarnation &Engine,
                                   const std::string &Model,
                                   TimePoint ServesAt) {
  if (!m_Incarnations.isCurrent(Engine))
    return;
  if (Model.empty())
    m_Loads.erase(Engine.m_Id);
  else
    m_Loads[Engine.m_Id] = {.m_Model = Model,
                            .m_ServesAt = ServesAt,
                            .m_StartTime = Engine.m_StartTime};
}

bool ServingView::anyAvailable(
    const std::string &Service,
    const std::function<bool(const InstanceId &)> &Excluded) const {
  return std::any_of(m_Current.begin(), m_Current.end(), [&](const auto &Each) {
    return Each.second.m_Service == Service && !isLeaving(Each.second) &&
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
    if (Engine == m_Current.end() || isLeaving(Engine->second) ||
        Engine->second.m_Service != Service ||
        Engine->second.holds(Model, "") || Excluded(Id))
      continue;
    Soonest = std::min(Soonest.value_or(Each.m_ServesAt), Each.m_ServesAt);
  }
  return Soonest;
}

bool ServingView::retiring(const InstanceId &Id, const std::string &Model,
                           TimePoint Now) const {
  const auto Found = m_LeaderReports.find(Id);
  return Found != m_LeaderReports.end() &&
         Found->second.m_Retiring.contains(Model) &&
         Now - Found->second.m_At <= m_Opts.m_RetiringTtl;
}

const UpstreamInstance *ServingView::find(const InstanceId &Id) const {
  const auto Listed = m_Current.find(Id);
  if (Listed != m_Current.end())
    return &Listed->second;
  const auto Gone = m_Leaving.find(Id);
  return Gone == m_Leaving.end() ? nullptr : &Gone->second.m_Instance;
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
        m_Incarnations.isCurrent(Each.m_Instance.incarnation()) &&
        Fits(Each.m_Instance))
      Result.push_back(&Each.m_Instance);
  return Result;
}

} // namespace havenstair
