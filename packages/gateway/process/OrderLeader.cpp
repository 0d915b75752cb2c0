#include "gateway/process/OrderLeader.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/Json.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace havenstair {

namespace {

/// Intervals of ticks: while this box leads, while it may be elected, and
/// otherwise.
constexpr Duration TickInterval = 50ms;
constexpr Duration StandbyTickInterval = 150ms;
constexpr Duration IdleTickInterval = 1s;

/// Added to the time between the orders of two leaders.
constexpr Duration HandoverMargin = 300ms;

/// Most moves that one plan starts.
constexpr std::size_t MaxMovesPerPlan = 6;

/// A leader that is replaced learns of it within this time.
constexpr Duration DeposedNoticeDelay = 700ms;

/// Work in milliseconds per second that each replica of a model beyond the
/// first stands for: a third of an engine, a comfortable load.
constexpr double SpareReplicaWorkMs = 300;

} // namespace

OrderLeader::OrderLeader(EventLoop &Loop, CoordinationStore &Store,
                         EngineControl &Engines, ServingState &State,
                         DecisionLog &Log, Options Opts, Hooks Callbacks)
    : m_Loop(Loop), m_State(State), m_Log(Log), m_Opts(std::move(Opts)),
      m_Hooks(std::move(Callbacks)), m_Rates(m_Opts.m_Rates),
      m_Election(Store, Log, m_Opts.m_Election,
                 {.m_Elected =
                      [this](const LeaderElection::Predecessor &Before) {
                        onElected(Before);
                      },
                  .m_Lost = [this] { onDeposed(); },
                  .m_Prepared = [this] { return m_State.hasRequiredState(); },
                  .m_KeysReadAt = m_Hooks.m_KeysReadAt,
                  .m_Era = m_Hooks.m_Era,
                  .m_Random = m_Hooks.m_Random}),
      m_Engines(State, Log),
      m_Orders({.m_Control = Engines,
                .m_Election = m_Election,
                .m_Engines = m_Engines,
                .m_Log = Log},
               m_Opts.m_Election.m_Machine,
               {.m_MayOrder = [this](TimePoint Now) { return mayOrder(Now); },
                .m_Answered = m_Hooks.m_OrderAnswered,
                .m_Recorded =
                    [this](const ResidencyOrder &Order) {
                      tickSoon(!Order.m_Adapter.empty());
                    }}),
      m_Moves(m_Engines, m_Orders),
      m_Contents(m_Election, m_Engines, m_Hooks.m_ContentsChanged),
      m_Reports(
          Engines, m_Election, m_Engines,
          [this](const InstanceId &Id, ManagedEngine &Engine, TimePoint Now) {
            m_Moves.advance(Id, Engine, Now);
            m_Contents.publish(Id, Engine, EventLoop::now());
          }),
      m_ShortageLog(Log) {
  tickLater();
}

void OrderLeader::tickLater() {
  const Duration Away = leading()               ? TickInterval
                        : m_Election.eligible() ? StandbyTickInterval
                                                : IdleTickInterval;
  m_Timer = m_Loop.after(Away, [this] {
    tick();
    tickLater();
  });
}

OrderLeader::~OrderLeader() = default;

void OrderLeader::setBounds(const ServingBounds &Bounds) {
  m_Opts.m_Bounds = Bounds;
}

void OrderLeader::setVoters(std::set<BoxName> Others, bool Eligible) {
  const bool Before = m_Election.eligible();
  m_Election.setVoters(std::move(Others), Eligible);
  if (Before != Eligible)
    tickLater();
}

void OrderLeader::onElected(const LeaderElection::Predecessor &Before) {
  const TimePoint Now = EventLoop::now();
  const bool SameMachine = Before.m_SameMachine;
  tickLater();
  m_EarliestOrder =
      Before.m_None || SameMachine
          ? Now
          : Now + m_Opts.m_Bounds.m_LeaderHandover + HandoverMargin;
  m_DemandSeeded = false;
  std::optional<TimePoint> LastOrder;
  // The former leader learns only with a delay that it was replaced.
  if (!Before.m_None)
    LastOrder = SameMachine ? Now : Now + DeposedNoticeDelay;
  m_Engines.startTerm(LastOrder, Now);
  m_Log.write("giver", {{"token", m_Election.token()},
                        {"before", Before.m_Machine},
                        {"orders_in_ms", (m_EarliestOrder - Now) / 1ms}});
}

void OrderLeader::onDeposed() {
  m_Engines.endTerm();
  m_Log.write("giver_lost", {{"token", m_Election.token()}});
}

void OrderLeader::resign() {
  m_Resigned = true;
  m_Election.release();
}

bool OrderLeader::mayOrder(TimePoint Now) const {
  return Now >= m_EarliestOrder && m_Election.confirmed(Now);
}

void OrderLeader::addDemand(const ModelDemands &Demand) {
  const TimePoint Now = EventLoop::now();
  for (const auto &[Key, Each] : Demand)
    m_Rates.add(Key, Each, Now);
}

void OrderLeader::addMissing(const std::vector<ModelKey> &Keys) {
  m_Awaited.add(Keys, EventLoop::now());
  if (leading())
    tickSoon(true);
}

/// Schedules one tick in the next pass of the loop, or, with \p Plan, as soon
/// as a plan may be made.
void OrderLeader::tickSoon(bool Plan) {
  const TimePoint Now = EventLoop::now();
  const TimePoint At = Plan ? m_Schedule.request(Now) : Now;
  if (std::exchange(m_TickSoon, true))
    return;
  m_SoonTimer = m_Loop.after(At - EventLoop::now(), [this] {
    m_TickSoon = false;
    tick();
  });
}

void OrderLeader::upstreamsChanged() {
  if (leading())
    m_Engines.refresh(EventLoop::now());
}

void OrderLeader::evacuationsChanged(TimePoint Now) {
  if (!leading())
    return;
  m_Engines.refresh(Now);
  m_Engines.keepCopiesAfterReturn(Now);
  tickSoon(true);
}

void OrderLeader::tick() {
  const TimePoint Now = EventLoop::now();
  if (m_Resigned)
    return;
  m_Election.tick(Now);
  if (!leading())
    return;
  m_Engines.refresh(Now);
  m_Reports.poll(Now);
  m_Moves.advanceAll(Now);
  const PlanScope Due = m_Schedule.due(Now);
  plan(Due, Now);
  m_Schedule.onPlanned(Due, Now, EventLoop::now());
  m_Contents.publishAll(EventLoop::now());
}

bool OrderLeader::mayPlan(TimePoint Now) const {
  // Engines that start together are listed one after the other.
  return mayOrder(Now) && m_State.hasRequiredState() && m_Engines.settled(Now);
}

void OrderLeader::plan(PlanScope Scope, TimePoint Now) {
  if (Scope == PlanScope::All)
    planAll(Now);
  else if (Scope == PlanScope::AwaitedAdapters)
    planAwaited(Now);
}

/// Plans only the adapters that requests wait for, which load in some
/// milliseconds.
void OrderLeader::planAwaited(TimePoint Now) {
  if (!mayPlan(Now))
    return;
  AdapterOptions Awaited = m_Opts.m_Adapters;
  Awaited.m_Copies = false;
  for (const ServiceSpec &Service : m_State.m_Config->m_Services)
    if (Service.m_Engine)
      planAdapterMoves(Service.m_Name, *Service.m_Engine, Awaited, Now);
}

void OrderLeader::planAll(TimePoint Now) {
  m_Awaited.expire(
      [this](const ModelKey &Key) {
        return m_Engines.resident(Key.m_Model, Key.m_Adapter);
      },
      Now);
  if (!mayPlan(Now))
    return;
  m_Engines.countPredecessorLoads(m_Opts.m_Bounds.m_CeilingWindow, Now);
  seedDemandFromReplicas(Now);
  for (const ServiceSpec &Service : m_State.m_Config->m_Services)
    if (Service.m_Engine) {
      planModels(Service.m_Name, *Service.m_Engine, Now);
      planAdapterMoves(Service.m_Name, *Service.m_Engine, m_Opts.m_Adapters,
                       Now);
    }
}

std::map<AdapterKey, double>
OrderLeader::adapterRates(const std::string &Service, TimePoint Now) const {
  std::map<AdapterKey, double> Result;
  for (const auto &[Key, Rate] : m_Rates.rates(Now))
    if (Key.m_Service == Service && !Key.m_Adapter.empty())
      Result[{Key.m_Model, Key.m_Adapter}] = Rate.m_Requests;
  return Result;
}

/// Derives usual demand from replicas beyond the first before any demand is
/// known: the operators or a former leader placed them where they expected it.
void OrderLeader::seedDemandFromReplicas(TimePoint Now) {
  if (std::exchange(m_DemandSeeded, true))
    return;
  std::map<ModelKey, std::size_t> Replicas;
  for (const auto &[Id, Each] : m_Engines.all()) {
    const UpstreamInstance &Entry = m_Engines.entryOf(Id);
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

PlannerInput OrderLeader::plannerInput(const std::string &Service,
                                       TimePoint Now) {
  PlannerInput Input;
  Input.m_StoreLoads = m_Engines.loadLimiter().available(Now);
  Input.m_StoreSlowness = m_Engines.storeSlowness().factor();
  ModelDemand All;
  for (const auto &[Key, Rate] : m_Rates.rates(Now))
    if (Key.m_Service == Service && Key.m_Adapter.empty()) {
      Input.m_Demand[Key.m_Model] = Rate.m_WorkMs / 1000;
      All += Rate;
    }
  for (const auto &[Key, Rate] : m_Rates.baseline(Now))
    if (Key.m_Service == Service)
      Input.m_Usual[Key.m_Model] = Rate.m_WorkMs / 1000;
  Input.m_Awaited = m_Awaited.models(Service);
  for (const auto &[Id, Each] : m_Engines.all()) {
    const UpstreamInstance &Entry = m_Engines.entryOf(Id);
    if (Entry.m_Service != Service)
      continue;
    double Slowness = m_State.m_Latency.slowness(Id);
    if (const AdvertisedLimit *Limit = m_State.m_Signals.limit(Id);
        Limit != nullptr && All.m_Requests > 0)
      Slowness /=
          busyFraction(Limit->m_RatePerSecond, All.m_WorkMs / All.m_Requests);
    Input.m_Engines.push_back(
        Each.modelPlanEntry(Entry, Slowness, m_Opts.m_MinReplicaStay, Now));
    Input.m_Engines.back().m_Leaving = m_State.m_Upstreams.isLeaving(Entry);
  }
  return Input;
}

void OrderLeader::planModels(const std::string &Service, const EngineSpec &Spec,
                             TimePoint Now) {
  m_Engines.loadLimiter().configure(
      {.m_LoadsPerSecond = Spec.m_LoadsPerSecond,
       .m_Window = m_Opts.m_Bounds.m_CeilingWindow,
       .m_Overage = m_Opts.m_Bounds.m_CeilingOverage});
  PlannerInput Input = plannerInput(Service, Now);
  m_ShortageLog.log(Input, m_Engines.replicas(), Now);
  for (const PlannedMove &Move :
       planReplicas(Input, Spec, m_Opts.m_Planner, MaxMovesPerPlan)) {
    ManagedEngine &At = m_Engines.all().at(Move.m_Engine);
    At.begin(Move, Now);
    m_Log.write(
        "move",
        {{"engine", Move.m_Engine},
         {"evict", Move.m_Evict},
         {"load", Move.m_Load},
         {"source", sourceName(Move.m_Source)},
         {"reason", reasonName(Move.m_Reason)},
         {"gain", Move.m_Gain},
         {"demand",
          Input.m_Demand[Move.m_Load.empty() ? Move.m_Evict : Move.m_Load]}});
    m_Moves.advance(Move.m_Engine, At, Now);
  }
}

/// Returns the share of an engine's time that each replica of a model takes.
std::map<std::string, double>
OrderLeader::replicaShares(const std::string &Service, TimePoint Now) const {
  std::map<std::string, double> Result;
  for (const auto &[Model, Count] : m_Engines.replicas()) {
    const ModelDemand Rate = m_Rates.rate({Service, Model, ""}, Now);
    Result[Model] = Rate.m_WorkMs / 1000 / static_cast<double>(Count);
  }
  return Result;
}

void OrderLeader::planAdapterMoves(const std::string &Service,
                                   const EngineSpec &Spec,
                                   const AdapterOptions &Opts, TimePoint Now) {
  const std::map<std::string, double> Shares = replicaShares(Service, Now);
  std::vector<AdapterEngine> Engines;
  for (const auto &[Id, Each] : m_Engines.all()) {
    const UpstreamInstance &Entry = m_Engines.entryOf(Id);
    if (Entry.m_Service != Service || m_State.m_Upstreams.isLeaving(Entry) ||
        !Each.m_Ledger.known())
      continue;
    double Busy = 0;
    for (const ResidentModel &Model : Each.m_Ledger.models())
      Busy += Shares.at(Model.m_Name);
    Engines.push_back(
        Each.adapterPlanEntry(Id, Busy, m_Opts.m_MinAdapterStay, Now));
  }
  for (const AdapterMove &Move :
       planAdapters(Engines, m_Awaited.adapters(Service),
                    adapterRates(Service, Now), Spec, Opts))
    m_Orders.send(Move.m_Engine, m_Engines.all().at(Move.m_Engine),
                  Move.m_Order, LoadSource::Disk);
}

} // namespace havenstair
