#include "gateway/process/OrderLeader.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/Json.h"
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

/// A leader that is replaced learns of it within this time.
constexpr Duration DeposedNoticeDelay = 700ms;

} // namespace

std::optional<TimePoint> lastOrderOf(const LeaderElection::Predecessor &Leader,
                                     TimePoint OwnStart, TimePoint Now) {
  if (Leader.m_None)
    return std::nullopt;
  if (!Leader.m_SameMachine)
    return Now + DeposedNoticeDelay;
  return Leader.m_SameProcess ? Now : OwnStart;
}

OrderLeader::OrderLeader(EventLoop &Loop, CoordinationStore &Store,
                         EngineControl &Engines, ServingState &State,
                         DecisionLog &Log, Options Opts, Hooks Callbacks)
    : m_Loop(Loop), m_State(State), m_Log(Log), m_Opts(std::move(Opts)),
      m_Hooks(std::move(Callbacks)),
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
      m_Planner({.m_State = State,
                 .m_Engines = m_Engines,
                 .m_Moves = m_Moves,
                 .m_Orders = m_Orders,
                 .m_Log = Log},
                m_Opts.m_Planning) {
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
  m_Planner.startTerm();
  m_Engines.startTerm(lastOrderOf(Before, m_StartedAt, Now), Now);
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
  m_Planner.addDemand(Demand, EventLoop::now());
}

void OrderLeader::addMissing(const std::vector<ModelKey> &Keys) {
  m_Planner.addAwaited(Keys, EventLoop::now());
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
    m_Planner.expireAwaited(Now);
  if (Scope != PlanScope::None && mayPlan(Now))
    m_Planner.plan(Scope, m_Opts.m_Bounds, Now);
}

} // namespace havenstair
