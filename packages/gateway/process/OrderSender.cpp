#include "gateway/process/OrderSender.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/EventLoop.h"
#include "wire/common/Json.h"
#include <utility>

namespace havenstair {

namespace {

/// Expected duration of an unload.
constexpr Duration UnloadTime = 60ms;
/// An engine that has accepted an order for an adapter is asked for a report
/// after this time.
constexpr Duration AdapterReportDelay = 120ms;

bool concernsModel(const ResidencyOrder &Order) {
  return Order.m_Adapter.empty();
}

} // namespace

OrderSender::OrderSender(Dependencies Deps, std::string Machine,
                         Hooks Callbacks)
    : m_Deps(Deps), m_Machine(std::move(Machine)),
      m_Hooks(std::move(Callbacks)) {}

bool OrderSender::allowed(const InstanceId &Id, const ManagedEngine &To,
                          const ResidencyOrder &Order, TimePoint Now) const {
  const EngineSpec *Spec = m_Deps.m_Engines.specFor(Id);
  return Spec != nullptr && m_Hooks.m_MayOrder(Now) &&
         To.m_Ledger.allows(Order, *Spec) &&
         !(Order.m_Load && m_Deps.m_Engines.evacuated(Id));
}

/// Counts a load from the store of weights against the bound on loads. \returns
/// false when that is reached.
bool OrderSender::reserveLoad(const InstanceId &Id, const ResidencyOrder &Order,
                              LoadSource Source, TimePoint Now) {
  const bool FromStore =
      Order.m_Load && concernsModel(Order) && Source == LoadSource::Store;
  if (!FromStore)
    return true;
  LoadRateLimiter &Limiter = m_Deps.m_Engines.loadLimiter();
  if (Limiter.available(Now) == 0)
    return false;
  Limiter.onOrdered(Id);
  return true;
}

void OrderSender::send(const InstanceId &Id, ManagedEngine &To,
                       const ResidencyOrder &Order, LoadSource Source) {
  // A plan may take long, so its time does not show whether this box still
  // leads.
  const TimePoint Now = EventLoop::now();
  if (!allowed(Id, To, Order, Now) || !reserveLoad(Id, Order, Source, Now))
    return;
  const OrderStamp Stamp{.m_Leader = m_Machine,
                         .m_FencingToken = m_Deps.m_Election.token(),
                         .m_ExpectedCount = To.m_Ledger.begin(Order, Now)};
  m_Deps.m_Log.write(
      "order", {{"engine", Id},
                {"load", Order.m_Load},
                {"model", Order.m_Model},
                {"adapter", Order.m_Adapter},
                {"source", sourceName(Source)},
                {"expected_count", Stamp.m_ExpectedCount},
                {"token", Stamp.m_FencingToken},
                {"reason", To.m_Task ? reasonName(To.m_Task->m_Move.m_Reason)
                                     : "adapter"},
                {"gain", To.m_Task ? To.m_Task->m_Move.m_Gain : 0}});
  m_Deps.m_Control.order(m_Deps.m_Engines.entryOf(Id), Order, Stamp,
                         [this, Id, Order, Source,
                          Term = m_Deps.m_Election.term(),
                          Started = To.m_StartTime](OrderAnswer Answer) {
                           if (m_Deps.m_Election.leadsIn(Term))
                             onAnswered({.m_Id = Id, .m_StartTime = Started},
                                        Order, Source, Answer);
                         });
}

void OrderSender::onAnswered(const UpstreamIncarnation &Instance,
                             const ResidencyOrder &Order, LoadSource Source,
                             OrderAnswer Answer) {
  const InstanceId &Id = Instance.m_Id;
  const TimePoint Now = EventLoop::now();
  m_Hooks.m_Answered(Order.m_Load ? "load" : "unload", answerName(Answer));
  if (Answer != OrderAnswer::Accepted)
    m_Deps.m_Log.write("order_answer", {{"engine", Id},
                                        {"load", Order.m_Load},
                                        {"model", Order.m_Model},
                                        {"adapter", Order.m_Adapter},
                                        {"answer", answerName(Answer)}});
  ManagedEngine *Engine = m_Deps.m_Engines.find(Id);
  // Whatever an earlier incarnation answered, its orders already count as late.
  if (Engine == nullptr || !Engine->isCurrent(Instance.m_StartTime))
    return;
  Engine->m_Ledger.recordAnswer(Answer, Now);
  m_Deps.m_Engines.settleLoad(Id, *Engine, Now);
  Engine->m_NextReport = Now + UnloadTime;
  if (Answer == OrderAnswer::Accepted)
    onAccepted(Id, *Engine, Order, Source, Now);
  m_Hooks.m_Recorded(Order);
}

void OrderSender::onAccepted(const InstanceId &Id, ManagedEngine &Engine,
                             const ResidencyOrder &Order, LoadSource Source,
                             TimePoint Now) {
  if (!concernsModel(Order)) {
    Engine.m_AdapterOrderedAt[{Order.m_Model, Order.m_Adapter}] = Now;
    Engine.m_LastAdapterOrderAt = Now;
    Engine.m_NextReport = Now + AdapterReportDelay;
    return;
  }
  const EngineSpec *Spec = m_Deps.m_Engines.specFor(Id);
  if (!Order.m_Load || Spec == nullptr)
    return;
  const Duration Nominal = loadTime(Spec->model(Order.m_Model), Source);
  Engine.recordLoadStart(Source, Nominal,
                         m_Deps.m_Engines.storeSlowness().factor(), Now);
  Engine.m_NextReport = Now + Nominal;
}

} // namespace havenstair
