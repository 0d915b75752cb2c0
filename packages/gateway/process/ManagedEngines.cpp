#include "gateway/process/ManagedEngines.h"

#include "gateway/common/DecisionLog.h"
#include <algorithm>
#include <set>

namespace havenstair {

namespace {

/// No plan is made this long after engines return to the list or the list is
/// first read, since models of engines that are not listed yet seem missing.
constexpr Duration SettleTime = 1300ms;

/// A report may be out of date by up to this.
constexpr Duration MaxReportLag = 300ms;

/// An order that an engine accepted before it left the list may start within
/// this time.
constexpr Duration DelistedOrderLife = 5s;

/// An order may be carried out this long after it was sent.
constexpr Duration OrderLife = EngineLedger::Options{}.m_OrderLife;

} // namespace

void ManagedEngines::startTerm(std::optional<TimePoint> LastPredecessorOrder,
                               TimePoint Now) {
  m_Engines.clear();
  m_DelistedEngines.clear();
  m_TermStart = Now;
  m_HasPredecessor = LastPredecessorOrder.has_value();
  m_LoadLimiter = LoadRateLimiter();
  m_ReportsCurrentFrom =
      LastPredecessorOrder ? *LastPredecessorOrder + MaxReportLag : Now;
  if (LastPredecessorOrder)
    m_LoadLimiter.assumeFullWindow(*LastPredecessorOrder);
}

void ManagedEngines::refresh(TimePoint Now) {
  dropDelisted(Now);
  for (const auto &[Id, Entry] : m_State.m_Upstreams.list().m_Instances)
    if (specOf(Entry.m_Service) != nullptr)
      update(Id, Entry, Now);
}

void ManagedEngines::dropDelisted(TimePoint Now) {
  std::erase_if(m_Engines, [&](auto &Each) {
    if (specFor(Each.first) != nullptr)
      return false;
    m_LoadLimiter.onSettled(Each.first, Now + DelistedOrderLife);
    m_DelistedEngines[Each.first] =
        Each.second.m_Ledger.lateOrdersWithCall(Now);
    return true;
  });
}

/// Takes over the list's entry of an engine, which may be new or have started
/// again.
void ManagedEngines::update(const InstanceId &Id, const UpstreamInstance &Entry,
                            TimePoint Now) {
  const auto [Place, New] = m_Engines.try_emplace(Id);
  ManagedEngine &Engine = Place->second;
  // An engine that starts is empty. Engines that return to the list, as all may
  // do after an outage of the store, bring back models that seemed missing.
  const auto Before = m_DelistedEngines.extract(Id);
  if (New && (Before || Now - m_TermStart < SettleTime))
    m_EnginesAddedAt = Now;
  if (Before) {
    Engine.m_Ledger.setLateOrders(Before.mapped());
    Engine.m_Ledger.expireLateOrders(Now);
  }
  const auto AgainAt = m_State.m_Upstreams.restartedAt(Id);
  const bool Again = Engine.recordStart(Entry.m_StartTime, Now);
  if (Again || (New && AgainAt && Now - *AgainAt <= OrderLife))
    onRestarted(Id, Engine, Now);
  // The first state must be the engine's own report: the list lags behind it.
  if (Engine.m_Ledger.known())
    Engine.m_Ledger.applyListEntry(Entry);
  if (m_State.m_Upstreams.isLeaving(Entry))
    Engine.m_Task.reset();
}

ManagedEngine *ManagedEngines::find(const InstanceId &Id) {
  const auto Match = m_Engines.find(Id);
  return Match == m_Engines.end() ? nullptr : &Match->second;
}

const UpstreamInstance *ManagedEngines::listed(const InstanceId &Id) const {
  const auto &Listed = m_State.m_Upstreams.list().m_Instances;
  const auto Entry = Listed.find(Id);
  return Entry == Listed.end() ? nullptr : &Entry->second;
}

const UpstreamInstance &ManagedEngines::entryOf(const InstanceId &Id) const {
  return m_State.m_Upstreams.list().m_Instances.at(Id);
}

const EngineSpec *ManagedEngines::specOf(const std::string &Service) const {
  const ServiceSpec *Spec =
      m_State.m_Config ? m_State.m_Config->service(Service) : nullptr;
  return Spec != nullptr && Spec->m_Engine ? &*Spec->m_Engine : nullptr;
}

const EngineSpec *ManagedEngines::specFor(const InstanceId &Id) const {
  const UpstreamInstance *Entry = listed(Id);
  return Entry == nullptr ? nullptr : specOf(Entry->m_Service);
}

void ManagedEngines::recordStart(const InstanceId &Id, ManagedEngine &Engine,
                                 StartTime Started, TimePoint Now) {
  if (Engine.recordStart(Started, Now))
    onRestarted(Id, Engine, Now);
}

void ManagedEngines::onRestarted(const InstanceId &Id, ManagedEngine &Engine,
                                 TimePoint Now) {
  const std::size_t Loads = Engine.m_Ledger.lateOrders().modelLoads();
  m_LoadLimiter.onSettled(Id, Now);
  m_LoadLimiter.addPossibleStarts(Loads, Now + OrderLife);
  // Orders of the leader before this one are unknown.
  const TimePoint FormerLate = m_ReportsCurrentFrom + OrderLife;
  const bool Held = m_HasPredecessor && Now < FormerLate;
  if (Held)
    Engine.m_Ledger.blockLoadsUntil(FormerLate);
  m_Log.write("engine_again", {{"engine", Id},
                               {"born", Engine.m_StartTime},
                               {"late_loads", Loads},
                               {"held", Held}});
}

void ManagedEngines::settleLoad(const InstanceId &Id,
                                const ManagedEngine &Engine, TimePoint Now) {
  if (!Engine.m_Ledger.uncertain() && !Engine.m_Ledger.awaitsAnswer())
    m_LoadLimiter.onSettled(Id, Now);
}

/// A load from the store that takes longer than the bound's window is still in
/// progress at the window's end, so once all engines have reported, only the
/// loads in progress count. Reports come only in the term.
void ManagedEngines::countPredecessorLoads(Duration Window, TimePoint Now) {
  if (!m_LoadLimiter.assumesFullWindow())
    return;
  const auto Shortest = m_State.m_Config->shortestStoreLoad();
  const TimePoint ReportedFrom =
      std::max(m_ReportsCurrentFrom, m_TermStart + MaxReportLag);
  if (!Shortest || Now < ReportedFrom + Window - *Shortest)
    return;
  const auto InProgress = static_cast<std::size_t>(
      std::count_if(m_Engines.begin(), m_Engines.end(), [](const auto &Each) {
        const EngineLedger &Ledger = Each.second.m_Ledger;
        return !Ledger.known() || Ledger.acceptedModelOrder();
      }));
  m_LoadLimiter.setFormerLoads(InProgress, Now);
  m_Log.write("former_loads",
              {{"under_way", InProgress}, {"engines", m_Engines.size()}});
}

void ManagedEngines::keepCopiesAfterReturn(TimePoint Now) {
  const auto Returned = [&](const InstanceId &Id) {
    return m_State.m_Upstreams.evacuationEndedAt(entryOf(Id)) == Now;
  };
  std::set<std::string> Models;
  for (const auto &[Id, Each] : m_Engines)
    if (Returned(Id))
      for (const ResidentModel &Model : Each.m_Ledger.models())
        Models.insert(Model.m_Name);
  for (auto &[Id, Each] : m_Engines)
    if (!Returned(Id))
      Each.keepModels(Models, Now + SettleTime);
}

bool ManagedEngines::evacuated(const InstanceId &Id) const {
  const UpstreamInstance *Entry = listed(Id);
  return Entry != nullptr && m_State.m_Upstreams.evacuated(*Entry);
}

bool ManagedEngines::resident(const std::string &Model,
                              const std::string &Adapter) const {
  return std::any_of(m_Engines.begin(), m_Engines.end(), [&](const auto &Each) {
    return Each.second.m_Ledger.holds(Model, Adapter) && !evacuated(Each.first);
  });
}

std::map<std::string, std::size_t> ManagedEngines::replicas() const {
  std::map<std::string, std::size_t> Result;
  for (const auto &[Id, Each] : m_Engines)
    if (!evacuated(Id))
      for (const ResidentModel &Model : Each.m_Ledger.models())
        ++Result[Model.m_Name];
  return Result;
}

bool ManagedEngines::settled(TimePoint Now) const {
  return Now - m_EnginesAddedAt >= SettleTime;
}

} // namespace havenstair
