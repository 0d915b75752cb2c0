#include "gateway/process/ResidencyPlanner.h"

#include "decisions/process/AdapterPlanner.h"
#include "gateway/common/DecisionLog.h"
#include "wire/common/Json.h"
#include <utility>

namespace havenstair {

namespace {

/// Most moves that one plan starts.
constexpr std::size_t MaxMovesPerPlan = 6;

/// Work in milliseconds per second that each replica of a model beyond the
/// first stands for: a third of an engine, a comfortable load.
constexpr double SpareReplicaWorkMs = 300;

/// Engines that \p WorkMs, in milliseconds of work per second, keep busy.
double enginesFor(double WorkMs) { return WorkMs / 1000; }

} // namespace

ResidencyPlanner::ResidencyPlanner(Dependencies Deps, Options Opts)
    : m_Deps(Deps), m_Opts(std::move(Opts)), m_Rates(m_Opts.m_Rates),
      m_ShortageLog(Deps.m_Log) {}

void ResidencyPlanner::addDemand(const ModelDemands &Demand, TimePoint Now) {
  for (const auto &[Key, Each] : Demand)
    m_Rates.add(Key, Each, Now);
}

void ResidencyPlanner::expireAwaited(TimePoint Now) {
  m_Awaited.expire(
      [this](const ModelKey &Key) {
        return m_Deps.m_Engines.resident(Key.m_Model, Key.m_Adapter);
      },
      Now);
}

void ResidencyPlanner::plan(PlanScope Scope, const ServingBounds &Bounds,
                            TimePoint Now) {
  if (Scope == PlanScope::All)
    planAll(Bounds, Now);
  else if (Scope == PlanScope::AwaitedAdapters)
    planAwaited(Now);
}

void ResidencyPlanner::planAll(const ServingBounds &Bounds, TimePoint Now) {
  m_Deps.m_Engines.countPredecessorLoads(Bounds.m_CeilingWindow, Now);
  seedDemandFromReplicas(Now);
  for (const ServiceSpec &Service : m_Deps.m_State.m_Config->m_Services) {
    if (!Service.m_Engine)
      continue;
    m_Deps.m_Engines.loadLimiter().configure(
        {.m_LoadsPerSecond = Service.m_Engine->m_LoadsPerSecond,
         .m_Window = Bounds.m_CeilingWindow,
         .m_Overage = Bounds.m_CeilingOverage});
    planModels(Service.m_Name, *Service.m_Engine, Now);
    planAdapterMoves(Service.m_Name, *Service.m_Engine, m_Opts.m_Adapters, Now);
  }
}

/// Plans only the adapters that requests wait for, which load in some
/// milliseconds.
void ResidencyPlanner::planAwaited(TimePoint Now) {
  AdapterOptions Awaited = m_Opts.m_Adapters;
  Awaited.m_Copies = false;
  for (const ServiceSpec &Service : m_Deps.m_State.m_Config->m_Services)
    if (Service.m_Engine)
      planAdapterMoves(Service.m_Name, *Service.m_Engine, Awaited, Now);
}

/// Derives usual demand from replicas beyond the first before any demand is
/// known: the operators or a former leader placed them where they expected it.
void ResidencyPlanner::seedDemandFromReplicas(TimePoint Now) {
  if (std::exchange(m_DemandSeeded, true))
    return;
  std::map<ModelKey, std::size_t> Replicas;
  for (const auto &[Id, Each] : m_Deps.m_Engines.all()) {
    const UpstreamInstance &Entry = m_Deps.m_Engines.entryOf(Id);
    for (const ResidentModel &Model :
         Each.m_Ledger.known() ? Each.m_Ledger.models() : Entry.m_Models)
      ++Replicas[{Entry.m_Service, Model.m_Name, ""}];
  }
  for (const auto &[Key, Count] : Replicas)
    if (Count > 1)
      m_Rates.expect(
          Key,
          {.m_WorkMs = SpareReplicaWorkMs * static_cast<double>(Count - 1)},
          Now);
}

/// Fills in the demand for the models of \p Service. \returns their sum.
ModelDemand ResidencyPlanner::addDemandTo(PlannerInput &Input,
                                          const std::string &Service,
                                          TimePoint Now) const {
  ModelDemand All;
  for (const auto &[Key, Rate] : m_Rates.rates(Now))
    if (Key.m_Service == Service && Key.m_Adapter.empty()) {
      Input.m_Demand[Key.m_Model] = enginesFor(Rate.m_WorkMs);
      All += Rate;
    }
  for (const auto &[Key, Rate] : m_Rates.baseline(Now))
    if (Key.m_Service == Service)
      Input.m_Usual[Key.m_Model] = enginesFor(Rate.m_WorkMs);
  Input.m_Awaited = m_Awaited.models(Service);
  return All;
}

/// By what factor an engine is slower than usual; one that advertises a limit
/// counts as slower, as it takes less work. \p Demand is that for all models of
/// its service.
double ResidencyPlanner::slowness(const InstanceId &Id,
                                  const ModelDemand &Demand) const {
  const double Measured = m_Deps.m_State.m_Latency.slowness(Id);
  const AdvertisedLimit *Limit = m_Deps.m_State.m_Signals.limit(Id);
  if (Limit == nullptr || Demand.m_Requests <= 0)
    return Measured;
  return Measured / busyFraction(Limit->m_RatePerSecond,
                                 Demand.m_WorkMs / Demand.m_Requests);
}

PlannerInput ResidencyPlanner::plannerInput(const std::string &Service,
                                            TimePoint Now) {
  ManagedEngines &Engines = m_Deps.m_Engines;
  PlannerInput Input;
  Input.m_StoreLoads = Engines.loadLimiter().available(Now);
  Input.m_StoreSlowness = Engines.storeSlowness().factor();
  const ModelDemand Demand = addDemandTo(Input, Service, Now);
  for (const auto &[Id, Each] : Engines.all()) {
    const UpstreamInstance &Entry = Engines.entryOf(Id);
    if (Entry.m_Service != Service)
      continue;
    PlannedEngine Planned = Each.modelPlanEntry(Entry, slowness(Id, Demand),
                                                m_Opts.m_MinReplicaStay, Now);
    Planned.m_Leaving = m_Deps.m_State.m_Upstreams.isLeaving(Entry);
    Input.m_Engines.push_back(std::move(Planned));
  }
  return Input;
}

void ResidencyPlanner::planModels(const std::string &Service,
                                  const EngineSpec &Spec, TimePoint Now) {
  PlannerInput Input = plannerInput(Service, Now);
  m_ShortageLog.log(Input, m_Deps.m_Engines.replicas(), Now);
  for (const PlannedMove &Move :
       planReplicas(Input, Spec, m_Opts.m_Planner, MaxMovesPerPlan))
    begin(Move,
          Input.m_Demand[Move.m_Load.empty() ? Move.m_Evict : Move.m_Load],
          Now);
}

/// Begins \p Move; \p Demand, in engines, is logged.
void ResidencyPlanner::begin(const PlannedMove &Move, double Demand,
                             TimePoint Now) {
  ManagedEngine &Engine = m_Deps.m_Engines.all().at(Move.m_Engine);
  Engine.begin(Move, Now);
  m_Deps.m_Log.write("move", {{"engine", Move.m_Engine},
                              {"evict", Move.m_Evict},
                              {"load", Move.m_Load},
                              {"source", sourceName(Move.m_Source)},
                              {"reason", reasonName(Move.m_Reason)},
                              {"gain", Move.m_Gain},
                              {"demand", Demand}});
  m_Deps.m_Moves.advance(Move.m_Engine, Engine, Now);
}

std::map<AdapterKey, double>
ResidencyPlanner::adapterRates(const std::string &Service,
                               TimePoint Now) const {
  std::map<AdapterKey, double> Result;
  for (const auto &[Key, Rate] : m_Rates.rates(Now))
    if (Key.m_Service == Service && !Key.m_Adapter.empty())
      Result[{Key.m_Model, Key.m_Adapter}] = Rate.m_Requests;
  return Result;
}

/// Returns the share of an engine's time that each replica of a model takes.
std::map<std::string, double>
ResidencyPlanner::replicaShares(const std::string &Service,
                                TimePoint Now) const {
  std::map<std::string, double> Result;
  for (const auto &[Model, Count] : m_Deps.m_Engines.replicas()) {
    const ModelDemand Rate = m_Rates.rate({Service, Model, ""}, Now);
    Result[Model] = enginesFor(Rate.m_WorkMs) / static_cast<double>(Count);
  }
  return Result;
}

std::vector<AdapterEngine>
ResidencyPlanner::adapterEngines(const std::string &Service,
                                 TimePoint Now) const {
  const std::map<std::string, double> Shares = replicaShares(Service, Now);
  std::vector<AdapterEngine> Result;
  for (const auto &[Id, Each] : m_Deps.m_Engines.all()) {
    const UpstreamInstance &Entry = m_Deps.m_Engines.entryOf(Id);
    if (Entry.m_Service != Service ||
        m_Deps.m_State.m_Upstreams.isLeaving(Entry) || !Each.m_Ledger.known())
      continue;
    double Busy = 0;
    for (const ResidentModel &Model : Each.m_Ledger.models())
      Busy += Shares.at(Model.m_Name);
    Result.push_back(
        Each.adapterPlanEntry(Id, Busy, m_Opts.m_MinAdapterStay, Now));
  }
  return Result;
}

void ResidencyPlanner::planAdapterMoves(const std::string &Service,
                                        const EngineSpec &Spec,
                                        const AdapterOptions &Opts,
                                        TimePoint Now) {
  for (const AdapterMove &Move :
       planAdapters(adapterEngines(Service, Now), m_Awaited.adapters(Service),
                    adapterRates(Service, Now), Spec, Opts))
    m_Deps.m_Orders.send(Move.m_Engine,
                         m_Deps.m_Engines.all().at(Move.m_Engine), Move.m_Order,
                         LoadSource::Disk);
}

} // namespace havenstair
