/// \file
/// An engine control whose reports can be observed.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_OBSERVEDENGINECONTROL_H
#define HAVENSTAIR_GATEWAY_PROCESS_OBSERVEDENGINECONTROL_H

#include "decisions/common/Time.h"
#include "gateway/process/EngineControl.h"
#include <functional>
#include <memory>

namespace havenstair {

/// Passes each call on to another engine control and reports the engines'
/// answers to an observer.
class ObservedEngineControl : public EngineControl {
public:
  /// Engine \p From sent \p Report in answer to a question asked at \p AskedAt.
  using ReportObserver =
      std::function<void(const UpstreamInstance &From,
                         const ResidencyReport &Report, TimePoint AskedAt)>;

  ObservedEngineControl(std::unique_ptr<EngineControl> Inner,
                        ReportObserver Callback);

  void order(const UpstreamInstance &To, const ResidencyOrder &Order,
             const OrderStamp &Stamp, OrderDone Callback) override;
  void report(const UpstreamInstance &From, ReportDone Callback) override;

private:
  std::unique_ptr<EngineControl> m_Inner;
  ReportObserver m_Observer;
};

} // namespace havenstair

#endif
