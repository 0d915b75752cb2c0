/// \file
/// Carries out planned moves on engines.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_MOVEEXECUTOR_H
#define HAVENSTAIR_GATEWAY_PROCESS_MOVEEXECUTOR_H

#include "gateway/process/ManagedEngines.h"
#include "gateway/process/OrderSender.h"

namespace havenstair {

/// Takes each engine through its move: the model to be unloaded is retired,
/// then unloaded, then the new one is loaded. A move that makes no progress is
/// dropped, so that another can be planned.
class MoveExecutor {
public:
  MoveExecutor(ManagedEngines &Engines, OrderSender &Orders)
      : m_Engines(Engines), m_Orders(Orders) {}
  MoveExecutor(const MoveExecutor &) = delete;
  MoveExecutor &operator=(const MoveExecutor &) = delete;

  /// Takes the next step on all engines for which one is due.
  void advanceAll(TimePoint Now);
  /// Takes the next step on \p Engine, if one is due.
  void advance(const InstanceId &Id, ManagedEngine &Engine, TimePoint Now);

private:
  bool unload(const InstanceId &Id, ManagedEngine &Engine, TimePoint Now);
  void load(const InstanceId &Id, ManagedEngine &Engine, const EngineSpec &Spec,
            TimePoint Now);
  void onLoaded(ManagedEngine &Engine, TimePoint Now);

  ManagedEngines &m_Engines;
  OrderSender &m_Orders;
};

} // namespace havenstair

#endif
