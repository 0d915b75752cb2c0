/// \file
/// Orders to engines and their reports, as the gateway needs them.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_ENGINECONTROL_H
#define HAVENSTAIR_GATEWAY_PROCESS_ENGINECONTROL_H

#include "decisions/process/ResidencyOrder.h"
#include <functional>
#include <optional>

namespace havenstair {

/// Interface, so that tests can put a fake in its place.
class EngineControl {
public:
  using OrderDone = std::function<void(OrderAnswer)>;
  using ReportDone = std::function<void(std::optional<ResidencyReport>)>;

  virtual ~EngineControl() = default;
  virtual void order(const UpstreamInstance &To, const ResidencyOrder &Order,
                     const OrderStamp &Stamp, OrderDone Callback) = 0;
  /// Empty when the engine gave no usable report.
  virtual void report(const UpstreamInstance &Of, ReportDone Callback) = 0;
};

} // namespace havenstair

#endif
