#include "gateway/process/MoveExecutor.h"

namespace havenstair {

namespace {

/// Time until all boxes know that a model is being retired.
constexpr Duration RetireNotice = 120ms;

/// A model that cannot be unloaded within this time stays.
constexpr Duration UnloadTimeout = 6s;

/// A move whose engine accepts no order within this time is planned anew.
constexpr Duration BeginTimeout = 1500ms;

void enterPhase(EngineTask &Task, EngineTask::Phase Phase, TimePoint Now) {
  Task.m_Phase = Phase;
  Task.m_Since = Now;
}

/// Whether \p Task, whose last order the engine has not accepted, takes too
/// long.
bool stalled(const EngineTask &Task, const EngineLedger &Ledger,
             TimePoint Now) {
  const Duration InPhase = Now - Task.m_Since;
  if (Task.m_Phase != EngineTask::Phase::Loading && InPhase > UnloadTimeout)
    return true;
  // Counted as a coming replica, the move would keep other engines from loading
  // the model.
  return !Ledger.idle() && InPhase > BeginTimeout;
}

} // namespace

void MoveExecutor::advanceAll(TimePoint Now) {
  for (auto &[Id, Each] : m_Engines.all()) {
    advance(Id, Each, Now);
    Each.m_Ledger.expireLateOrders(Now);
    Each.expectOverdue(Now);
  }
}

void MoveExecutor::advance(const InstanceId &Id, ManagedEngine &Engine,
                           TimePoint Now) {
  const EngineSpec *Spec = m_Engines.specFor(Id);
  if (Spec == nullptr)
    return;
  const EngineLedger &Ledger = Engine.m_Ledger;
  if (const auto Again = Engine.m_Ledger.resend(Now)) {
    m_Orders.send(Id, Engine, *Again, LoadSource::Disk);
    return;
  }
  if (Engine.m_Task && !Ledger.acceptedModelOrder() &&
      stalled(*Engine.m_Task, Ledger, Now))
    Engine.m_Task.reset();
  if (!Engine.m_Task || !Ledger.idle())
    return;
  if (unload(Id, Engine, Now))
    load(Id, Engine, *Spec, Now);
}

/// Retires and unloads the model that the move evicts. \returns whether the
/// engine no longer holds it.
bool MoveExecutor::unload(const InstanceId &Id, ManagedEngine &Engine,
                          TimePoint Now) {
  EngineTask &Task = *Engine.m_Task;
  if (Task.m_Phase == EngineTask::Phase::Retiring) {
    if (Now - Task.m_Since < RetireNotice)
      return false;
    enterPhase(Task, EngineTask::Phase::Unloading, Now);
  }
  if (Task.m_Phase == EngineTask::Phase::Unloading) {
    const std::string &Model = Task.m_Move.m_Evict;
    if (Engine.m_Ledger.holds(Model)) {
      m_Orders.send(Id, Engine,
                    {.m_Load = false, .m_Model = Model, .m_Adapter = {}},
                    LoadSource::Disk);
      return false;
    }
    enterPhase(Task, EngineTask::Phase::Loading, Now);
  }
  return true;
}

/// Loads the model of the move, if it has one, and ends the move when the
/// engine holds it.
void MoveExecutor::load(const InstanceId &Id, ManagedEngine &Engine,
                        const EngineSpec &Spec, TimePoint Now) {
  const EngineLedger &Ledger = Engine.m_Ledger;
  const std::string &Model = Engine.m_Task->m_Move.m_Load;
  if (Model.empty()) {
    Engine.m_Task.reset();
    return;
  }
  if (Ledger.holds(Model)) {
    onLoaded(Engine, Now);
    return;
  }
  const ResidencyOrder Order{.m_Load = true, .m_Model = Model, .m_Adapter = {}};
  if (!Ledger.allows(Order, Spec)) {
    // The engine holds something other than the plan assumed.
    if (!Ledger.needsReport())
      Engine.m_Task.reset();
    return;
  }
  m_Orders.send(Id, Engine, Order,
                nearestSource(Ledger.inMemory(), Ledger.onDisk(), Model));
}

void MoveExecutor::onLoaded(ManagedEngine &Engine, TimePoint Now) {
  Engine.m_ModelLoadedAt[Engine.m_Task->m_Move.m_Load] = Now;
  Engine.m_Task.reset();
  if (const auto Slowness = Engine.recordLoadEnd(Now))
    m_Engines.storeSlowness().observe(*Slowness);
}

} // namespace havenstair
