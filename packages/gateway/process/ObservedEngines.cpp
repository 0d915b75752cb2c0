#include "gateway/process/ObservedEngines.h"

#include "wire/common/EventLoop.h"
#include <utility>

namespace havenstair {

ObservedEngines::ObservedEngines(std::unique_ptr<EngineControl> Inner,
                                 Heard Callback)
    : m_Inner(std::move(Inner)), m_Heard(std::move(Callback)) {}

void ObservedEngines::order(const UpstreamInstance &To,
                            const ResidencyOrder &Order,
                            const OrderStamp &Stamp, OrderDone Callback) {
  m_Inner->order(To, Order, Stamp, std::move(Callback));
}

void ObservedEngines::report(const UpstreamInstance &Of, ReportDone Callback) {
  m_Inner->report(Of, [this, Of, AskedAt = EventLoop::now(),
                       Callback = std::move(Callback)](
                          std::optional<ResidencyReport> Report) {
    if (Report)
      m_Heard(Of, *Report, AskedAt);
    Callback(std::move(Report));
  });
}

} // namespace havenstair
