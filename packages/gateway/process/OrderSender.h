/// \file
/// Sends the leader's orders to engines.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_ORDERSENDER_H
#define HAVENSTAIR_GATEWAY_PROCESS_ORDERSENDER_H

#include "gateway/process/EngineControl.h"
#include "gateway/process/LeaderElection.h"
#include "gateway/process/ManagedEngines.h"
#include <functional>
#include <string>
#include <string_view>

namespace havenstair {

class DecisionLog;

/// Sends orders, one at a time to each engine, while the rules allow it, and
/// records the answers. All references must outlive this object.
class OrderSender {
public:
  struct Dependencies {
    EngineControl &m_Control;
    const LeaderElection &m_Election;
    ManagedEngines &m_Engines;
    DecisionLog &m_Log;
  };
  struct Hooks {
    /// Returns whether this box may send an order at the given time.
    std::function<bool(TimePoint)> m_MayOrder;
    /// An engine has answered an order; for metrics.
    std::function<void(std::string_view Operation, std::string_view Answer)>
        m_Answered;
    /// The answer to an order is recorded, so that the next step can follow.
    std::function<void(const ResidencyOrder &)> m_Recorded;
  };

  /// \p Machine is the name by which orders identify this box.
  OrderSender(Dependencies Deps, std::string Machine, Hooks Callbacks);
  OrderSender(const OrderSender &) = delete;
  OrderSender &operator=(const OrderSender &) = delete;

  /// Sends \p Order to engine \p To. Does nothing when this box may not order
  /// now, the engine is not free for the order, or the bound on loads is
  /// reached. \p Source is where a model's weights would be loaded from.
  void send(const InstanceId &Id, ManagedEngine &To,
            const ResidencyOrder &Order, LoadSource Source);

private:
  bool allowed(const InstanceId &Id, const ManagedEngine &To,
               const ResidencyOrder &Order, TimePoint Now) const;
  bool reserveLoad(const InstanceId &Id, const ResidencyOrder &Order,
                   LoadSource Source, TimePoint Now);
  void onAnswered(const UpstreamIncarnation &Instance,
                  const ResidencyOrder &Order, LoadSource Source,
                  OrderAnswer Answer);
  void onAccepted(const InstanceId &Id, ManagedEngine &Engine,
                  const ResidencyOrder &Order, LoadSource Source,
                  TimePoint Now);

  Dependencies m_Deps;
  std::string m_Machine;
  Hooks m_Hooks;
};

} // namespace havenstair

#endif
