/// \file
/// Interface through which the gateway sends orders to engines and reads their
/// reports.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_ENGINECONTROL_H
#define HAVENSTAIR_GATEWAY_PROCESS_ENGINECONTROL_H

#include "decisions/process/ResidencyOrder.h"
#include <functional>
#include <optional>

namespace havenstair {

/// Interface to the engines, so that tests can substitute a fake. Callbacks run
/// from the event loop.
class EngineControl {
public:
  using OrderDone = std::function<void(OrderAnswer)>;
  using ReportDone = std::function<void(std::optional<ResidencyReport>)>;

  virtual ~EngineControl() = default;
  /// Sends \p Order to engine \p To; the callback gets the engine's answer.
  virtual void order(const UpstreamInstance &To, const ResidencyOrder &Order,
                     const OrderStamp &Stamp, OrderDone Callback) = 0;
  /// Asks engine \p From what it holds. The callback gets an empty optional
  /// when there was no usable report.
  virtual void report(const UpstreamInstance &From, ReportDone Callback) = 0;
};

} // namespace havenstair

#endif
