/// \file
/// Lets others read the reports that engines give to who orders.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_OBSERVEDENGINECONTROL_H
#define HAVENSTAIR_GATEWAY_PROCESS_OBSERVEDENGINECONTROL_H

#include "decisions/common/Time.h"
#include "gateway/process/EngineControl.h"
#include <functional>
#include <memory>

namespace havenstair {

/// Passes each call on to another control and tells of the reports.
class ObservedEngineControl : public EngineControl {
public:
  /// \p Of answered what was asked at \p AskedAt.
  using ReportObserver =
      std::function<void(const UpstreamInstance &Of,
                         const ResidencyReport &Report, TimePoint AskedAt)>;

  ObservedEngineControl(std::unique_ptr<EngineControl> Inner,
                        ReportObserver Callback);

  void order(const UpstreamInstance &To, const ResidencyOrder &Order,
             const OrderStamp &Stamp, OrderDone Callback) override;
  void report(const UpstreamInstance &Of, ReportDone Callback) override;

private:
  std::unique_ptr<EngineControl> m_Inner;
  ReportObserver m_Observer;
};

} // namespace havenstair

#endif
