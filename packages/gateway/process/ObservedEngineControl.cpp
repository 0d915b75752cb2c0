#include "gateway/process/ObservedEngineControl.h"

#include "wire/common/EventLoop.h"
#include <utility>

namespace havenstair {

ObservedEngineControl::ObservedEngineControl(
    std::unique_ptr<EngineControl> Inner, ReportObserver Callback)
    : m_Inner(std::move(Inner)), m_Observer(std::move(Callback)) {}

void ObservedEngineControl::order(const UpstreamInstance &To,
                                  const ResidencyOrder &Order,
                                  const OrderStamp &Stamp, OrderDone Callback) {
  m_Inner->order(To, Order, Stamp, std::move(Callback));
}

void ObservedEngineControl::report(const UpstreamInstance &From,
                                   ReportDone Callback) {
  m_Inner->report(From, [this, From, AskedAt = EventLoop::now(),
                         Callback = std::move(Callback)](
                            std::optional<ResidencyReport> Report) {
    if (Report)
      m_Observer(From, *Report, AskedAt);
    Callback(std::move(Report));
  });
}

} // namespace havenstair
