#include "gateway/process/ManagedEngine.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// An adapter loads in some milliseconds; engines report it much later.
constexpr Duration AdapterLoadTime = 40ms;

/// Contents that differ from the list are published again after this, changed
/// or not: boxes may have missed them.
constexpr Duration RepublishAfter = 3s;

bool saysSame(const UpstreamInstance &Entry, const EngineContents &Contents) {
  return Contents.m_Models == Entry.m_Models && Contents.m_Retiring.empty() &&
         Contents.m_Loading.empty();
}

/// A load that is overdue is expected after this.
constexpr Duration OverdueDelay = 500ms;

} // namespace

bool ManagedEngine::recordStart(StartTime Started, TimePoint Now) {
  if (Started <= m_StartTime)
    return false;
  if (std::exchange(m_StartTime, Started) == 0)
    return false;
  m_Ledger.onRestart(Now);
  reset();
  return true;
}

bool ManagedEngine::recordReport(const ResidencyReport &Report, TimePoint Now,
                                 TimePoint AskedAt) {
  if (!m_Ledger.applyReport(Report, Now, AskedAt))
    return false;
  reset();
  return true;
}

void ManagedEngine::reset() {
  EngineLedger Ledger = std::move(m_Ledger);
  const StartTime Started = m_StartTime;
  *this = ManagedEngine();
  m_Ledger = std::move(Ledger);
  m_StartTime = Started;
}

void ManagedEngine::begin(const PlannedMove &Move, TimePoint Now) {
  using Phase = EngineTask::Phase;
  m_Task = {.m_Move = Move,
            .m_Phase = Move.m_Evict.empty() ? Phase::Loading : Phase::Retiring,
            .m_Since = Now};
  m_ServesAt = Now + fromMillis(Move.m_ServesInMs);
}

void ManagedEngine::keepModels(const std::set<std::string> &Models,
                               TimePoint At) {
  for (const ResidentModel &Model : m_Ledger.models())
    if (Models.contains(Model.m_Name))
      m_ModelLoadedAt[Model.m_Name] = At;
}

void ManagedEngine::recordLoadStart(LoadSource Source, Duration Nominal,
                                    double Slowness, TimePoint Now) {
  m_Load = {.m_Source = Source, .m_Nominal = Nominal, .m_Since = Now};
  const double Factor = Source == LoadSource::Store ? Slowness : 1;
  m_ServesAt = Now + fromMillis(Factor * inMillis(Nominal));
}

std::optional<double> ManagedEngine::recordLoadEnd(TimePoint Now) {
  const std::optional<Load> Ended = std::exchange(m_Load, std::nullopt);
  if (!Ended || Ended->m_Source != LoadSource::Store || Ended->m_Nominal <= 0us)
    return std::nullopt;
  return inMillis(Now - Ended->m_Since) / inMillis(Ended->m_Nominal);
}

void ManagedEngine::expectOverdue(TimePoint Now) {
  const auto &Order = m_Ledger.acceptedModelOrder();
  if (Order && Order->m_Load && Now >= m_ServesAt)
    m_ServesAt = Now + OverdueDelay;
}

PlannedEngine ManagedEngine::modelPlanEntry(const UpstreamInstance &Entry,
                                            double Slowness,
                                            Duration MinReplicaStay,
                                            TimePoint Now) const {
  PlannedEngine Planned{.m_Id = Entry.m_Id,
                        .m_InMemory = m_Ledger.inMemory(),
                        .m_OnDisk = m_Ledger.onDisk(),
                        .m_Slowness = Slowness,
                        .m_Movable = m_Ledger.idle() && !m_Task,
                        .m_Leaving = Entry.m_Draining,
                        .m_DataCentre = DataCentreName(Entry.m_Zone)};
  for (const auto &[Model, At] : m_ModelLoadedAt)
    if (Now - At < MinReplicaStay)
      Planned.m_RecentlyLoaded.insert(Model);
  for (const ResidentModel &Model :
       m_Ledger.known() ? m_Ledger.models() : Entry.m_Models)
    Planned.m_Models.insert(Model.m_Name);
  const auto AddComing = [&](const std::string &Model) {
    Planned.m_Models.insert(Model);
    Planned.m_Loading[Model] = std::max(0.0, inMillis(m_ServesAt - Now));
  };
  if (const auto &Order = m_Ledger.acceptedModelOrder();
      Order && Order->m_Load && !Order->m_Model.empty())
    AddComing(Order->m_Model);
  if (!m_Task)
    return Planned;
  Planned.m_Models.erase(m_Task->m_Move.m_Evict);
  if (!m_Task->m_Move.m_Load.empty())
    AddComing(m_Task->m_Move.m_Load);
  return Planned;
}

AdapterEngine ManagedEngine::adapterPlanEntry(const InstanceId &Id, double Busy,
                                              Duration MinAdapterStay,
                                              TimePoint Now) const {
  AdapterEngine Result{.m_Id = Id,
                       .m_Ledger = &m_Ledger,
                       .m_Busy = Busy,
                       .m_Retiring = {},
                       .m_RecentlyLoaded = {}};
  for (const auto &[Key, At] : m_AdapterOrderedAt)
    if (Now - At < MinAdapterStay)
      Result.m_RecentlyLoaded.insert(Key);
  if (m_Task)
    Result.m_Retiring.insert(m_Task->m_Move.m_Evict);
  return Result;
}

EngineContents ManagedEngine::lastingContents(const InstanceId &Id,
                                              TimePoint Now) const {
  EngineContents Result{.m_Engine = Id,
                        .m_StartTime = m_StartTime,
                        .m_Models = m_Ledger.models()};
  if (Now - m_LastAdapterOrderAt >= AdapterLoadTime)
    for (ResidentModel &Model : Result.m_Models)
      for (const std::string &Adapter : m_Ledger.loadingAdapters(Model.m_Name))
        Model.m_Adapters.insert(Adapter);
  if (m_Task && m_Task->m_Phase != EngineTask::Phase::Loading)
    Result.m_Retiring.insert(m_Task->m_Move.m_Evict);
  if (m_Task)
    Result.m_Loading = m_Task->m_Move.m_Load;
  else if (const auto &Order = m_Ledger.acceptedModelOrder();
           Order && Order->m_Load)
    Result.m_Loading = Order->m_Model;
  return Result;
}

EngineContents ManagedEngine::contents(const InstanceId &Id,
                                       TimePoint Now) const {
  EngineContents Result = lastingContents(Id, Now);
  if (!Result.m_Loading.empty())
    Result.m_ServesIn = std::max<Duration>(0us, m_ServesAt - Now);
  return Result;
}

bool ManagedEngine::differsFrom(const UpstreamInstance &Entry,
                                TimePoint Now) const {
  return !saysSame(Entry, lastingContents(Entry.m_Id, Now));
}

std::optional<EngineContents>
ManagedEngine::takeUpdate(const UpstreamInstance &Entry, TimePoint Now) {
  EngineContents Lasting = lastingContents(Entry.m_Id, Now);
  // The first time, the boxes know only what the list says.
  if (!m_Published) {
    m_Published = {.m_Engine = Entry.m_Id,
                   .m_StartTime = m_StartTime,
                   .m_Models = Entry.m_Models};
    m_PublishedServesAt = m_ServesAt;
    m_PublishedAt = Now;
  }
  const bool Changed =
      Lasting != *m_Published || m_ServesAt != m_PublishedServesAt;
  // Publishing all engines every few seconds would be most of the traffic
  // between the boxes of a large fleet.
  const bool Again =
      !saysSame(Entry, Lasting) && Now - m_PublishedAt >= RepublishAfter;
  if (!Changed && !Again)
    return std::nullopt;
  m_Published = std::move(Lasting);
  m_PublishedServesAt = m_ServesAt;
  m_PublishedAt = Now;
  return contents(Entry.m_Id, Now);
}

} // namespace havenstair
