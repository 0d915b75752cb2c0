/// \file
/// State that all requests of the process share.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_SERVINGSTATE_H
#define HAVENSTAIR_GATEWAY_PROCESS_SERVINGSTATE_H

#include "decisions/common/DataCentreMap.h"
#include "decisions/process/AnswerDurations.h"
#include "decisions/process/CrashTracker.h"
#include "decisions/process/EndedUpstreams.h"
#include "decisions/process/FailureTracker.h"
#include "decisions/process/LatencyModel.h"
#include "decisions/process/LoadTracker.h"
#include "decisions/process/ModelDemand.h"
#include "decisions/process/PrefixIndex.h"
#include "decisions/process/SendBounds.h"
#include "decisions/process/ServingView.h"
#include "decisions/process/SharedRetryBudget.h"
#include "decisions/process/UpstreamReach.h"
#include "decisions/process/UpstreamSignals.h"
#include "decisions/process/WarmUpView.h"
#include "decisions/request/RetryDetector.h"
#include "decisions/version/ServingConfig.h"
#include "wire/common/EventLoop.h"
#include <memory>
#include <string>
#include <utility>

namespace havenstair {

/// State of one process. The configuration is replaced as a whole.
struct ServingState {
  /// Tokens of shared prompt prefixes that an engine is assumed to keep cached.
  static constexpr double PrefixTokens = 150000;

  std::string m_Zone; ///< The data centre of this box.
  DataCentreMap m_DataCentres;
  /// Null before the first configuration.
  std::shared_ptr<const ServingConfig> m_Config;
  ServingView m_Upstreams;
  WarmUpView m_WarmUp;
  UpstreamSignals m_Signals;
  SendBounds m_SendBounds{m_WarmUp, m_Signals};
  LoadTracker m_Loads;
  PrefixIndex m_Prefixes{PrefixTokens};
  LatencyModel m_Latency;
  FailureTracker m_Failures;
  UpstreamReach m_Reach;
  CrashTracker m_Crashes;
  EndedUpstreams m_Ended;
  SharedRetryBudget m_Budget{{}, EventLoop::now()};
  RetryDetector m_RetryDetector;
  ModelDemands m_Demand; ///< Demand since it was last taken.
  int m_Boxes = 1;       ///< Largest number of boxes known at one time.
  AnswerDurations m_AnswerDurations;
  bool m_Stopping = false;
  /// Of a process that stops: until when it takes requests, and when it answers
  /// those that are left, to end.
  TimePoint m_TakesUntil{};
  TimePoint m_EndsAt{};
  /// Whether operators may evacuate data centres; then the list of evacuations
  /// must be known before requests are sent.
  bool m_NeedsEvacuations = false;

  /// Forgets what was learned of an upstream that has left or restarted.
  void forget(const InstanceId &Id) {
    m_Prefixes.forget(Id);
    m_Latency.forget(Id);
    // Requests that still run on one that has only left the list continue to
    // count.
    if (!m_Upstreams.list().m_Instances.contains(Id))
      return;
    m_Failures.forget(Id);
    m_Loads.onRestart(Id);
  }

  /// Sets the data centre of this box, and the map of all data centres.
  void setLocation(const DataCentreName &Own, DataCentreMap Map) {
    m_Zone = Own.str();
    m_DataCentres = std::move(Map);
  }
  /// 0 before the first configuration.
  ConfigVersion configVersion() const {
    return m_Config ? m_Config->m_Version : 0;
  }
  /// Whether everything that is needed to route requests is known.
  bool hasRequiredState() const {
    return m_Config != nullptr && m_Upstreams.known() &&
           (!m_NeedsEvacuations ||
            !m_Upstreams.evacuations().m_Revision.none());
  }
  /// Whether this process can take requests.
  bool ready() const { return hasRequiredState() && !m_Stopping; }
  /// Whether this process takes requests, though it may not be ready for more
  /// callers.
  bool takesRequests(TimePoint Now) const {
    return !m_Stopping || Now < m_TakesUntil;
  }
  /// Whether an answer on \p Route that begins now is probably not whole when
  /// this process ends.
  bool outlasts(const std::string &Route, TimePoint Now) const {
    return m_Stopping && Now + m_AnswerDurations.expected(Route) > m_EndsAt;
  }
};

} // namespace havenstair

#endif
