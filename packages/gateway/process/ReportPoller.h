/// \file
/// Asks engines what they hold.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_REPORTPOLLER_H
#define HAVENSTAIR_GATEWAY_PROCESS_REPORTPOLLER_H

#include "gateway/process/EngineControl.h"
#include "gateway/process/LeaderElection.h"
#include "gateway/process/ManagedEngines.h"
#include <functional>
#include <optional>

namespace havenstair {

/// Requests reports of the engines whose state is unknown or uncertain, and
/// records them. All references must outlive this object.
class ReportPoller {
public:
  /// Called when the report of an engine has been recorded.
  using Recorded =
      std::function<void(const InstanceId &, ManagedEngine &, TimePoint Now)>;

  ReportPoller(EngineControl &Control, const LeaderElection &Election,
               ManagedEngines &Engines, Recorded Callback);
  ReportPoller(const ReportPoller &) = delete;
  ReportPoller &operator=(const ReportPoller &) = delete;

  /// Requests the reports that are due, up to a number of calls in flight.
  void poll(TimePoint Now);

private:
  void request(const InstanceId &Id, ManagedEngine &Engine, TimePoint Now);
  void onReport(const InstanceId &Id,
                const std::optional<ResidencyReport> &Report,
                TimePoint AskedAt);

  EngineControl &m_Control;
  const LeaderElection &m_Election;
  ManagedEngines &m_Engines;
  Recorded m_Recorded;
};

} // namespace havenstair

#endif
