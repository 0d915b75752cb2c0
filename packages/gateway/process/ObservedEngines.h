/// \file
/// Lets others read the reports that engines give to who orders.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_OBSERVEDENGINES_H
#define HAVENSTAIR_GATEWAY_PROCESS_OBSERVEDENGINES_H

#include "decisions/common/Time.h"
#include "gateway/process/EngineControl.h"
#include <functional>
#include <memory>

namespace havenstair {

/// Passes each call on to another control and tells of the reports.
class ObservedEngines : public EngineControl {
public:
  /// \p Of answered what was asked at \p AskedAt.
  using Heard =
      std::function<void(const UpstreamInstance &Of,
                         const ResidencyReport &Report, TimePoint AskedAt)>;

  ObservedEngines(std::unique_ptr<EngineControl> Inner, Heard Callback);

  void order(const UpstreamInstance &To, const ResidencyOrder &Order,
             const OrderStamp &Stamp, OrderDone Callback) override;
  void report(const UpstreamInstance &Of, ReportDone Callback) override;

private:
  std::unique_ptr<EngineControl> m_Inner;
  Heard m_Heard;
};

} // namespace havenstair

#endif
