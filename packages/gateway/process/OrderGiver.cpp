#include "gateway/process/OrderGiver.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/Json.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace havenstair {

namespace {

/// While orders are given, while they may have to be, and otherwise.
constexpr Duration TickEvery = 50ms;
constexpr Duration StandbyTickEvery = 150ms;
constexpr Duration IdleTickEvery = 1s;
constexpr Duration PlanEvery = 200ms;
/// After a plan, this many times what it took passes before the next: plans of
/// a large fleet would leave no time for anything else.
constexpr int RestAfterPlan = 5;

/// Time for all boxes to hear that a model retires.
constexpr Duration RetireFor = 120ms;

/// How long requests are believed to wait for a missing model.
constexpr Duration MissingCounts = 5s;

/// Added to the time between the orders of two order givers.
constexpr Duration TurnMargin = 300ms;

constexpr Duration ReportEvery = 120ms;
/// Reports that are under way at one time. An answer takes some milliseconds,
/// and a box that is asked for thousands at once does nothing else.
constexpr std::size_t MostReportsAsked = 64;
constexpr Duration ReportAfterFailure = 400ms;
constexpr Duration UnloadTakes = 60ms;

/// No plan is made while engines return to the list or the list is read for the
/// first time, since their models seem missing.
constexpr Duration SettleFor = 1300ms;

/// A model that cannot be unloaded in this time stays.
constexpr Duration UnloadWithin = 6s;

/// A move whose engine takes no order in this time is planned anew.
constexpr Duration BeginWithin = 1500ms;

/// Most moves that one plan begins.
constexpr std::size_t MostMoves = 6;

/// A holder that is replaced hears of it within this.
constexpr Duration LastOrderOfOther = 700ms;

/// Engines tell of themselves as they were up to this long ago.
constexpr Duration ReportLag = 300ms;

/// An order that an engine took before it was delisted may begin until then.
constexpr Duration OrderOutlivesEntry = 5s;

/// An order may be carried out this long after it was sent.
constexpr Duration OrderLife = EngineLedger::Options{}.m_OrderLife;

/// Usual work a second, in ms, that each replica of a model beyond the first
/// tells of: a third of an engine, at which engines are comfortable.
constexpr double SpareReplicaTellsMs = 300;

} // namespace

OrderGiver::OrderGiver(EventLoop &Loop, CoordinationStore &Store,
                       EngineControl &Engines, ServingState &State,
                       DecisionLog &Log, Options Opts, Hooks Callbacks)
    : m_Loop(Loop), m_Control(Engines), m_State(State), m_Log(Log),
      m_Opts(std::move(Opts)), m_Hooks(std::move(Callbacks)),
      m_Rates(m_Opts.m_Rates),
      m_Claim(Store, Log, m_Opts.m_Claim,
              {.m_Taken =
                   [this](const HolderClaim::Former &Before) { taken(Before); },
               .m_Lost = [this] { lost(); },
               .m_Prepared = [this] { return m_State.knowsAll(); },
               .m_HolderRead = m_Hooks.m_HolderRead,
               .m_Random = m_Hooks.m_Random}),
      m_Shortage(Log) {
  tickLater();
}

void OrderGiver::tickLater() {
  const Duration Away = giving()             ? TickEvery
                        : m_Claim.eligible() ? StandbyTickEvery
                                             : IdleTickEvery;
  m_Timer = m_Loop.after(Away, [this] {
    tick();
    tickLater();
  });
}

OrderGiver::~OrderGiver() = default;

void OrderGiver::setBounds(const ServingBounds &Bounds) {
  m_Opts.m_Bounds = Bounds;
}

void OrderGiver::setVoters(std::set<BoxName> Others, bool Eligible) {
  const bool Before = m_Claim.eligible();
  m_Claim.setVoters(std::move(Others), Eligible);
  if (Before != Eligible)
    tickLater();
}

void OrderGiver::taken(const HolderClaim::Former &Before) {
  const TimePoint Now = EventLoop::now();
  const bool Own = Before.m_SameMachine;
  tickLater();
  m_MayOrderFrom = Before.m_None || Own
                       ? Now
                       : Now + m_Opts.m_Bounds.m_LeaderHandover + TurnMargin;
  m_Engines.clear();
  m_Gone.clear();
  m_ClaimedAt = Now;
  m_Ceiling = LoadRateLimiter();
  m_Expected = false;
  // Nobody tells the holder before that it is one no more at once.
  const TimePoint LastOrder = Own ? Now : Now + LastOrderOfOther;
  m_FormerOrdersUntil = Before.m_None ? Now : LastOrder + ReportLag;
  if (!Before.m_None)
    m_Ceiling.assumeFullWindow(LastOrder);
  m_Log.write("giver", {{"token", m_Claim.token()},
                        {"before", Before.m_Holder},
                        {"orders_in_ms", (m_MayOrderFrom - Now) / 1ms}});
}

void OrderGiver::lost() {
  m_Engines.clear();
  m_Log.write("giver_lost", {{"token", m_Claim.token()}});
}

void OrderGiver::leave() {
  m_Left = true;
  m_Claim.release();
}

bool OrderGiver::mayOrder(TimePoint Now) const {
  return Now >= m_MayOrderFrom && m_Claim.sure(Now);
}

const EngineSpec *OrderGiver::specOf(const std::string &Service) const {
  const ServiceSpec *Found =
      m_State.m_Config ? m_State.m_Config->service(Service) : nullptr;
  return Found != nullptr && Found->m_Engine ? &*Found->m_Engine : nullptr;
}

void OrderGiver::demanded(const ModelDemands &Demand) {
  const TimePoint Now = EventLoop::now();
  for (const auto &[Key, Each] : Demand)
    m_Rates.add(Key, Each, Now);
}

void OrderGiver::missing(const std::vector<ModelKey> &Keys) {
  const TimePoint Now = EventLoop::now();
  for (const ModelKey &Key : Keys)
    m_Missing.try_emplace(Key, Wanted{.m_Since = Now}).first->second.m_Last =
        Now;
  if (giving())
    tickSoon(true);
}

/// In the next pass of the loop, once for all that ask for it by then, or as
/// soon as a plan may be made when one is wanted.
void OrderGiver::tickSoon(bool Plan) {
  TimePoint At = EventLoop::now();
  if (Plan) {
    // A whole plan may take long in a large fleet. What requests wait for is
    // planned by itself meanwhile.
    m_NextPlan = std::max(At, m_PlanFrom);
    m_AwaitedSoon = true;
    At = std::max(At, std::min(m_PlanFrom, m_AwaitedFrom));
  }
  if (std::exchange(m_TickSoon, true))
    return;
  m_SoonTimer = m_Loop.after(At - EventLoop::now(), [this] {
    m_TickSoon = false;
    tick();
  });
}

void OrderGiver::upstreamsChanged() {
  if (giving())
    refreshEngines(EventLoop::now());
}

void OrderGiver::evacuationsChanged(TimePoint Now) {
  if (!giving())
    return;
  refreshEngines(Now);
  keepCopiesOfReturned(Now);
  tickSoon(true);
}

/// Models that were brought elsewhere during an evacuation stay there until the
/// return has held: the engines that come back may be cold.
void OrderGiver::keepCopiesOfReturned(TimePoint Now) {
  const ServingView &View = m_State.m_Upstreams;
  const auto Returned = [&](const InstanceId &Id) {
    return View.evacuationEndedAt(entryOf(Id)) == Now;
  };
  std::set<std::string> Models;
  for (const auto &[Id, Each] : m_Engines)
    if (Returned(Id))
      for (const ResidentModel &Model : Each.m_Ledger.models())
        Models.insert(Model.m_Name);
  for (auto &[Id, Each] : m_Engines)
    if (!Returned(Id))
      Each.keep(Models, Now + SettleFor);
}

void OrderGiver::tick() {
  const TimePoint Now = EventLoop::now();
  if (m_Left)
    return;
  m_Claim.tick(Now);
  if (!giving())
    return;
  refreshEngines(Now);
  askReports(Now);
  advanceTasks(Now);
  if (Now >= m_NextPlan) {
    plan(Now);
    m_PlanFrom = Now + RestAfterPlan * (EventLoop::now() - Now);
    m_NextPlan = std::max(m_PlanFrom, Now + PlanEvery);
    m_AwaitedSoon = false;
  } else if (m_AwaitedSoon && Now >= m_AwaitedFrom) {
    m_AwaitedSoon = false;
    planAwaited(Now);
    m_AwaitedFrom = Now + RestAfterPlan * (EventLoop::now() - Now);
  }
  tellChanges();
}

void OrderGiver::refreshEngines(TimePoint Now) {
  std::erase_if(m_Engines, [&](auto &Each) {
    const auto &Listed = m_State.m_Upstreams.list().m_Instances;
    const auto Entry = Listed.find(Each.first);
    if (Entry != Listed.end() && specOf(Entry->second.m_Service) != nullptr)
      return false;
    m_Ceiling.onSettled(Each.first, Now + OrderOutlivesEntry);
    m_Gone[Each.first] = Each.second.m_Ledger.lateOrdersWithCall(Now);
    return true;
  });
  for (const auto &[Id, Entry] : m_State.m_Upstreams.list().m_Instances) {
    if (specOf(Entry.m_Service) == nullptr)
      continue;
    const auto [Place, New] = m_Engines.try_emplace(Id);
    ManagedEngine &Known = Place->second;
    // One that starts is empty. One that returns to the list, as all may do
    // after an outage of the store, brings models that seemed missing.
    const auto Before = m_Gone.extract(Id);
    if (New && (Before || Now - m_ClaimedAt < SettleFor))
      m_GrewAt = Now;
    if (Before) {
      Known.m_Ledger.setLateOrders(Before.mapped());
      Known.m_Ledger.expireLateOrders(Now);
    }
    const auto AgainAt = m_State.m_Upstreams.restartedAt(Id);
    const bool Again = Known.startedAgain(Entry.m_StartTime, Now);
    if (Again || (New && AgainAt && Now - *AgainAt <= OrderLife))
      countLateOrders(Id, Known, Now);
    // The first word is the engine's own: the list lags behind it.
    if (Known.m_Ledger.known())
      Known.m_Ledger.applyListEntry(Entry);
    if (m_State.m_Upstreams.isLeaving(Entry))
      Known.m_Task.reset();
  }
}

/// Orders to the former start of an engine may still be carried out by this
/// one.
void OrderGiver::countLateOrders(const InstanceId &Id, ManagedEngine &Of,
                                 TimePoint Now) {
  const std::size_t Loads = Of.m_Ledger.lateOrders().modelLoads();
  m_Ceiling.onSettled(Id, Now);
  m_Ceiling.addPossibleStarts(Loads, Now + OrderLife);
  // Those of the holder before this one are not known.
  const TimePoint FormerLate = m_FormerOrdersUntil + OrderLife;
  const bool Held = m_FormerOrdersUntil > m_ClaimedAt && Now < FormerLate;
  if (Held)
    Of.m_Ledger.blockLoadsUntil(FormerLate);
  m_Log.write("engine_again", {{"engine", Id},
                               {"born", Of.m_StartTime},
                               {"late_loads", Loads},
                               {"held", Held}});
}

void OrderGiver::askReports(TimePoint Now) {
  // What an engine says before the former holder's last order may change.
  if (Now < m_FormerOrdersUntil)
    return;
  auto Asked = static_cast<std::size_t>(
      std::count_if(m_Engines.begin(), m_Engines.end(), [](const auto &Each) {
        return Each.second.m_ReportAsked;
      }));
  // Engines that are under way first: those that are not known yet only hold
  // up what might be planned there.
  for (const bool Known : {true, false})
    for (auto &[Id, Each] : m_Engines) {
      const EngineLedger &Ledger = Each.m_Ledger;
      const bool Due = Ledger.known() == Known && !Each.m_ReportAsked &&
                       Ledger.needsReport() && !Ledger.awaitsAnswer() &&
                       Now >= Each.m_NextReport;
      if (!Due || Asked >= MostReportsAsked)
        continue;
      ++Asked;
      askReport(Id, Each, Now);
    }
}

void OrderGiver::askReport(const InstanceId &Id, ManagedEngine &Of,
                           TimePoint Now) {
  const auto Entry = m_State.m_Upstreams.list().m_Instances.find(Id);
  if (Entry == m_State.m_Upstreams.list().m_Instances.end())
    return;
  Of.m_ReportAsked = true;
  Of.m_NextReport = Now + ReportEvery;
  m_Control.report(Entry->second,
                   [this, Id, Token = m_Claim.token(),
                    Now](const std::optional<ResidencyReport> &Report) {
                     if (giving() && Token == m_Claim.token())
                       heard(Id, Report, Now);
                   });
}

void OrderGiver::heard(const InstanceId &Id,
                       const std::optional<ResidencyReport> &Report,
                       TimePoint AskedAt) {
  const auto Found = m_Engines.find(Id);
  if (Found == m_Engines.end())
    return;
  ManagedEngine &Of = Found->second;
  const TimePoint Now = EventLoop::now();
  Of.m_ReportAsked = false;
  if (!Report) {
    Of.m_NextReport = Now + ReportAfterFailure;
    return;
  }
  if (Of.startedAgain(Report->m_StartTime, Now))
    countLateOrders(Id, Of, Now);
  if (!Of.present(Report->m_StartTime))
    return;
  if (Of.heard(*Report, Now, AskedAt))
    countLateOrders(Id, Of, Now);
  settleLoad(Id, Of, Now);
  if (const auto Entry = m_State.m_Upstreams.list().m_Instances.find(Id);
      Entry != m_State.m_Upstreams.list().m_Instances.end())
    if (const EngineSpec *Spec = specOf(Entry->second.m_Service))
      advance(Id, Of, *Spec, Now);
  tellChange(Id, Of);
}

void OrderGiver::advanceTasks(TimePoint Now) {
  for (auto &[Id, Each] : m_Engines) {
    const auto Entry = m_State.m_Upstreams.list().m_Instances.find(Id);
    if (Entry == m_State.m_Upstreams.list().m_Instances.end())
      continue;
    if (const EngineSpec *Spec = specOf(Entry->second.m_Service))
      advance(Id, Each, *Spec, Now);
    Each.m_Ledger.expireLateOrders(Now);
    Each.expectOverdue(Now);
  }
}

void OrderGiver::advance(const InstanceId &Id, ManagedEngine &Of,
                         const EngineSpec &Spec, TimePoint Now) {
  if (const auto Again = Of.m_Ledger.resend(Now)) {
    give(Id, Of, *Again, LoadSource::Disk, Now);
    return;
  }
  const bool Unloading =
      Of.m_Task && Of.m_Task->m_Phase != EngineTask::Phase::Loading;
  if (Unloading && !Of.m_Ledger.acceptedModelOrder() &&
      Now - Of.m_Task->m_Since > UnloadWithin)
    Of.m_Task.reset();
  if (!Of.m_Task)
    return;
  if (!Of.m_Ledger.idle()) {
    // Counted as a replica that comes, it would keep others from being loaded.
    if (!Of.m_Ledger.acceptedModelOrder() &&
        Now - Of.m_Task->m_Since > BeginWithin)
      Of.m_Task.reset();
    return;
  }
  EngineTask &Current = *Of.m_Task;
  const PlannedMove &Move = Current.m_Move;
  if (Current.m_Phase == EngineTask::Phase::Retiring) {
    if (Now - Current.m_Since < RetireFor)
      return;
    Current.m_Phase = EngineTask::Phase::Unloading;
    Current.m_Since = Now;
  }
  if (Current.m_Phase == EngineTask::Phase::Unloading) {
    if (Of.m_Ledger.holds(Move.m_Evict)) {
      give(Id, Of, {.m_Load = false, .m_Model = Move.m_Evict, .m_Adapter = {}},
           LoadSource::Disk, Now);
      return;
    }
    Current.m_Phase = EngineTask::Phase::Loading;
    Current.m_Since = Now;
  }
  if (Move.m_Load.empty()) {
    Of.m_Task.reset();
    return;
  }
  if (Of.m_Ledger.holds(Move.m_Load)) {
    Of.m_ModelAt[Move.m_Load] = Now;
    Of.m_Task.reset();
    if (const auto Slowness = Of.loadEnded(Now))
      m_StoreSlowness.observe(*Slowness);
    return;
  }
  const LoadSource Source =
      nearestSource(Of.m_Ledger.inMemory(), Of.m_Ledger.onDisk(), Move.m_Load);
  const ResidencyOrder Load{
      .m_Load = true, .m_Model = Move.m_Load, .m_Adapter = {}};
  if (!Of.m_Ledger.allows(Load, Spec)) {
    // What it holds is not what the plan was made from.
    if (!Of.m_Ledger.needsReport())
      Of.m_Task.reset();
    return;
  }
  give(Id, Of, Load, Source, Now);
}

bool OrderGiver::give(const InstanceId &Id, ManagedEngine &To,
                      const ResidencyOrder &Order, LoadSource Source,
                      TimePoint) {
  const auto Entry = m_State.m_Upstreams.list().m_Instances.find(Id);
  const TimePoint Now = EventLoop::now();
  if (Entry == m_State.m_Upstreams.list().m_Instances.end() || !mayOrder(Now))
    return false;
  const EngineSpec *Spec = specOf(Entry->second.m_Service);
  if (Spec == nullptr || !To.m_Ledger.allows(Order, *Spec))
    return false;
  if (Order.m_Load && m_State.m_Upstreams.evacuated(Entry->second))
    return false;
  const bool FromStore =
      Order.m_Load && Order.m_Adapter.empty() && Source == LoadSource::Store;
  if (FromStore) {
    if (m_Ceiling.available(Now) == 0)
      return false;
    m_Ceiling.onOrdered(Id);
  }
  const OrderStamp Stamp{.m_Leader = m_Opts.m_Claim.m_Holder,
                         .m_FencingToken = m_Claim.token(),
                         .m_ExpectedCount = To.m_Ledger.begin(Order, Now)};
  m_Log.write("order",
              {{"engine", Id},
               {"load", Order.m_Load},
               {"model", Order.m_Model},
               {"adapter", Order.m_Adapter},
               {"source", sourceName(Source)},
               {"expected_count", Stamp.m_ExpectedCount},
               {"token", m_Claim.token()},
               {"reason",
                To.m_Task ? reasonName(To.m_Task->m_Move.m_Reason) : "adapter"},
               {"gain", To.m_Task ? To.m_Task->m_Move.m_Gain : 0}});
  m_Control.order(Entry->second, Order, Stamp,
                  [this, Id, Order, Source, Token = m_Claim.token(),
                   Born = To.m_StartTime](OrderAnswer Answer) {
                    if (giving() && Token == m_Claim.token())
                      orderAnswered({.m_Id = Id, .m_StartTime = Born}, Order,
                                    Source, Answer);
                  });
  return true;
}

/// A load has begun, or never will, once the engine's word is in.
void OrderGiver::settleLoad(const InstanceId &Id, const ManagedEngine &Of,
                            TimePoint Now) {
  if (!Of.m_Ledger.uncertain() && !Of.m_Ledger.awaitsAnswer())
    m_Ceiling.onSettled(Id, Now);
}

void OrderGiver::orderAnswered(const UpstreamIncarnation &Engine,
                               const ResidencyOrder &Order, LoadSource Source,
                               OrderAnswer Answer) {
  const InstanceId &Id = Engine.m_Id;
  const TimePoint Now = EventLoop::now();
  m_Hooks.m_Ordered(Order.m_Load ? "load" : "unload", answerName(Answer));
  if (Answer != OrderAnswer::Accepted)
    m_Log.write("order_answer", {{"engine", Id},
                                 {"load", Order.m_Load},
                                 {"model", Order.m_Model},
                                 {"adapter", Order.m_Adapter},
                                 {"answer", answerName(Answer)}});
  const auto Found = m_Engines.find(Id);
  // Whatever a former start answered, the order counts as late.
  if (Found == m_Engines.end() || !Found->second.present(Engine.m_StartTime))
    return;
  ManagedEngine &Of = Found->second;
  Of.m_Ledger.recordAnswer(Answer, Now);
  const bool ModelLoad = Order.m_Load && Order.m_Adapter.empty();
  settleLoad(Id, Of, Now);
  Of.m_NextReport = Now + UnloadTakes;
  if (Answer == OrderAnswer::Accepted) {
    const auto Entry = m_State.m_Upstreams.list().m_Instances.find(Id);
    const EngineSpec *Spec =
        Entry == m_State.m_Upstreams.list().m_Instances.end()
            ? nullptr
            : specOf(Entry->second.m_Service);
    if (ModelLoad && Spec != nullptr) {
      const Duration Nominal = loadTime(Spec->model(Order.m_Model), Source);
      Of.loadBegan(Source, Nominal, m_StoreSlowness.factor(), Now);
      Of.m_NextReport = Now + Nominal;
    }
    if (!Order.m_Adapter.empty()) {
      Of.m_AdapterAt[{Order.m_Model, Order.m_Adapter}] = Now;
      Of.m_AdapterOrderAt = Now;
      Of.m_NextReport = Now + ReportEvery;
    }
  }
  tickSoon(!Order.m_Adapter.empty());
}

bool OrderGiver::mayPlan(TimePoint Now) const {
  // Engines that start together appear one after the other.
  return mayOrder(Now) && m_State.knowsAll() && Now - m_GrewAt >= SettleFor;
}

/// Adapters that requests wait for: they arrive in some milliseconds.
void OrderGiver::planAwaited(TimePoint Now) {
  if (!mayPlan(Now))
    return;
  AdapterOptions Awaited = m_Opts.m_Adapters;
  Awaited.m_Copies = false;
  for (const ServiceSpec &Service : m_State.m_Config->m_Services)
    if (Service.m_Engine)
      planAdapterMoves(Service.m_Name, *Service.m_Engine, Awaited, Now);
}

void OrderGiver::plan(TimePoint Now) {
  std::erase_if(m_Missing, [&](const auto &Each) {
    return Now - Each.second.m_Last > MissingCounts ||
           resident(Each.first.m_Model, Each.first.m_Adapter);
  });
  if (!mayPlan(Now))
    return;
  countFormerLoads(Now);
  expectByReplicas(Now);
  for (const ServiceSpec &Service : m_State.m_Config->m_Services)
    if (Service.m_Engine) {
      planModels(Service.m_Name, *Service.m_Engine, Now);
      planAdapterMoves(Service.m_Name, *Service.m_Engine, m_Opts.m_Adapters,
                       Now);
    }
}

std::map<AdapterKey, double>
OrderGiver::adapterRates(const std::string &Service, TimePoint Now) const {
  std::map<AdapterKey, double> Result;
  for (const auto &[Key, Rate] : m_Rates.rates(Now))
    if (Key.m_Service == Service && !Key.m_Adapter.empty())
      Result[{Key.m_Model, Key.m_Adapter}] = Rate.m_Requests;
  return Result;
}

/// Before demand is known, replicas beyond the first tell of it: whoever placed
/// them, the operators or another order giver, expected it there.
void OrderGiver::expectByReplicas(TimePoint Now) {
  if (std::exchange(m_Expected, true))
    return;
  std::map<ModelKey, std::size_t> Replicas;
  for (const auto &[Id, Each] : m_Engines) {
    const UpstreamInstance &Entry = entryOf(Id);
    for (const ResidentModel &Model :
         Each.m_Ledger.known() ? Each.m_Ledger.models() : Entry.m_Models)
      ++Replicas[{Entry.m_Service, Model.m_Name, ""}];
  }
  for (const auto &[Key, Count] : Replicas)
    if (Count > 1)
      m_Rates.expect(
          Key,
          {.m_WorkMs = SpareReplicaTellsMs * static_cast<double>(Count - 1)},
          Now);
}

/// A load from the store that takes longer than the window of their bound is
/// still under way at its end: once all engines have spoken, those under way
/// are all that count of the former holder's.
void OrderGiver::countFormerLoads(TimePoint Now) {
  if (!m_Ceiling.assumesFullWindow())
    return;
  const auto Shortest = m_State.m_Config->shortestStoreLoad();
  if (!Shortest ||
      Now < m_FormerOrdersUntil + m_Opts.m_Bounds.m_CeilingWindow - *Shortest)
    return;
  const auto UnderWay = static_cast<std::size_t>(
      std::count_if(m_Engines.begin(), m_Engines.end(), [](const auto &Each) {
        const EngineLedger &Ledger = Each.second.m_Ledger;
        return !Ledger.known() || Ledger.acceptedModelOrder();
      }));
  m_Ceiling.setFormerLoads(UnderWay, Now);
  m_Log.write("former_loads",
              {{"under_way", UnderWay}, {"engines", m_Engines.size()}});
}

PlannerInput OrderGiver::plannerInput(const std::string &Service,
                                      TimePoint Now) {
  PlannerInput Input;
  Input.m_StoreLoads = m_Ceiling.available(Now);
  Input.m_StoreSlowness = m_StoreSlowness.factor();
  ModelDemand All;
  for (const auto &[Key, Rate] : m_Rates.rates(Now))
    if (Key.m_Service == Service && Key.m_Adapter.empty()) {
      Input.m_Demand[Key.m_Model] = Rate.m_WorkMs / 1000;
      All += Rate;
    }
  for (const auto &[Key, Rate] : m_Rates.baseline(Now))
    if (Key.m_Service == Service)
      Input.m_Usual[Key.m_Model] = Rate.m_WorkMs / 1000;
  for (const auto &[Key, Since] : m_Missing)
    if (Key.m_Service == Service)
      Input.m_Awaited.insert(Key.m_Model);
  for (const auto &[Id, Each] : m_Engines) {
    const UpstreamInstance &Entry = entryOf(Id);
    if (Entry.m_Service != Service)
      continue;
    double Slowness = m_State.m_Latency.slowness(Id);
    if (const AdvertisedLimit *Limit = m_State.m_Words.limit(Id);
        Limit != nullptr && All.m_Requests > 0)
      Slowness /=
          busyFraction(Limit->m_RatePerSecond, All.m_WorkMs / All.m_Requests);
    Input.m_Engines.push_back(
        Each.forModels(Entry, Slowness, m_Opts.m_ReplicaStays, Now));
    Input.m_Engines.back().m_Leaving = m_State.m_Upstreams.isLeaving(Entry);
  }
  return Input;
}

void OrderGiver::planModels(const std::string &Service, const EngineSpec &Spec,
                            TimePoint Now) {
  m_Ceiling.configure({.m_LoadsPerSecond = Spec.m_LoadsPerSecond,
                       .m_Window = m_Opts.m_Bounds.m_CeilingWindow,
                       .m_Overage = m_Opts.m_Bounds.m_CeilingOverage});
  PlannerInput Input = plannerInput(Service, Now);
  m_Shortage.tell(Input, replicas(), Now);
  for (const PlannedMove &Move :
       planReplicas(Input, Spec, m_Opts.m_Planner, MostMoves)) {
    ManagedEngine &At = m_Engines.at(Move.m_Engine);
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
    advance(Move.m_Engine, At, Spec, Now);
  }
}

/// The part of its time that a replica of each model takes of an engine.
std::map<std::string, double>
OrderGiver::replicaShares(const std::string &Service, TimePoint Now) const {
  std::map<std::string, double> Result;
  for (const auto &[Model, Count] : replicas()) {
    const ModelDemand Rate = m_Rates.rate({Service, Model, ""}, Now);
    Result[Model] = Rate.m_WorkMs / 1000 / static_cast<double>(Count);
  }
  return Result;
}

bool OrderGiver::evacuated(const InstanceId &Id) const {
  const ServingView &View = m_State.m_Upstreams;
  const auto Entry = View.list().m_Instances.find(Id);
  return Entry != View.list().m_Instances.end() &&
         View.evacuated(Entry->second);
}

bool OrderGiver::resident(const std::string &Model,
                          const std::string &Adapter) const {
  return std::any_of(m_Engines.begin(), m_Engines.end(), [&](const auto &Each) {
    return Each.second.m_Ledger.holds(Model, Adapter) && !evacuated(Each.first);
  });
}

std::map<std::string, std::size_t> OrderGiver::replicas() const {
  std::map<std::string, std::size_t> Result;
  for (const auto &[Id, Each] : m_Engines)
    if (!evacuated(Id))
      for (const ResidentModel &Model : Each.m_Ledger.models())
        ++Result[Model.m_Name];
  return Result;
}

void OrderGiver::planAdapterMoves(const std::string &Service,
                                  const EngineSpec &Spec,
                                  const AdapterOptions &Opts, TimePoint Now) {
  const std::map<std::string, double> Shares = replicaShares(Service, Now);
  std::vector<AdapterEngine> Engines;
  for (const auto &[Id, Each] : m_Engines) {
    const UpstreamInstance &Entry = entryOf(Id);
    if (Entry.m_Service != Service || m_State.m_Upstreams.isLeaving(Entry) ||
        !Each.m_Ledger.known())
      continue;
    double Busy = 0;
    for (const ResidentModel &Model : Each.m_Ledger.models())
      Busy += Shares.at(Model.m_Name);
    Engines.push_back(Each.forAdapters(Id, Busy, m_Opts.m_AdapterStays, Now));
  }
  std::vector<std::pair<TimePoint, AdapterKey>> Waiting;
  for (const auto &[Key, Since] : m_Missing)
    if (Key.m_Service == Service && !Key.m_Adapter.empty())
      Waiting.push_back({Since.m_Since, {Key.m_Model, Key.m_Adapter}});
  std::sort(Waiting.begin(), Waiting.end());
  std::vector<AdapterKey> Missing;
  for (const auto &[Since, Key] : Waiting)
    Missing.push_back(Key);
  for (const AdapterMove &Move :
       planAdapters(Engines, Missing, adapterRates(Service, Now), Spec, Opts))
    give(Move.m_Engine, m_Engines.at(Move.m_Engine), Move.m_Order,
         LoadSource::Disk, Now);
}

FleetContentsFrame OrderGiver::contents() const {
  FleetContentsFrame Frame{.m_FencingToken = m_Claim.token(), .m_Engines = {}};
  const TimePoint Now = EventLoop::now();
  for (const auto &[Id, Each] : m_Engines)
    if (giving() && Each.m_Ledger.known() && Each.differsFrom(entryOf(Id), Now))
      Frame.m_Engines.push_back(Each.contents(Id, Now));
  return Frame;
}

/// Engines that are not listed are not kept.
const UpstreamInstance &OrderGiver::entryOf(const InstanceId &Id) const {
  return m_State.m_Upstreams.list().m_Instances.at(Id);
}

void OrderGiver::takeNews(const InstanceId &Id, ManagedEngine &Of,
                          TimePoint Now, FleetContentsFrame &Frame) {
  if (!Of.m_Ledger.known())
    return;
  if (auto News = Of.takeNews(entryOf(Id), Now))
    Frame.m_Engines.push_back(std::move(*News));
}

void OrderGiver::tellChanges() {
  const TimePoint Now = EventLoop::now();
  FleetContentsFrame Frame{.m_FencingToken = m_Claim.token(), .m_Engines = {}};
  for (auto &[Id, Each] : m_Engines)
    takeNews(Id, Each, Now, Frame);
  if (!Frame.m_Engines.empty())
    m_Hooks.m_Contents(Frame);
}

/// Reports come by the hundred: were all engines looked at for each, a box
/// would do nothing else as it takes over.
void OrderGiver::tellChange(const InstanceId &Id, ManagedEngine &Of) {
  FleetContentsFrame Frame{.m_FencingToken = m_Claim.token(), .m_Engines = {}};
  takeNews(Id, Of, EventLoop::now(), Frame);
  if (!Frame.m_Engines.empty())
    m_Hooks.m_Contents(Frame);
}

} // namespace havenstair
