/// \file
/// What all requests of the process share.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_SERVINGSTATE_H
#define HAVENSTAIR_GATEWAY_PROCESS_SERVINGSTATE_H

#include "decisions/common/DataCentreMap.h"
#include "decisions/process/CrashBook.h"
#include "decisions/process/DemandBook.h"
#include "decisions/process/FailureBook.h"
#include "decisions/process/LatencyModel.h"
#include "decisions/process/LoadBook.h"
#include "decisions/process/PrefixIndex.h"
#include "decisions/process/SendBounds.h"
#include "decisions/process/ServerWords.h"
#include "decisions/process/ServingView.h"
#include "decisions/process/SharedRetryBudget.h"
#include "decisions/process/WarmUpView.h"
#include "decisions/request/CallerClock.h"
#include "decisions/version/ServingConfig.h"
#include "wire/common/EventLoop.h"
#include <memory>
#include <string>
#include <utility>

namespace havenstair {

/// Books of one process; the configuration is replaced as a whole.
struct ServingState {
  /// Tokens of shared parts that an engine is believed to keep.
  static constexpr double PrefixTokens = 150000;

  std::string m_Zone;
  DataCentreMap m_DataCentres;
  std::shared_ptr<const ServingConfig> m_Config; ///< Null before the first.
  ServingView m_Upstreams;
  WarmUpView m_WarmUp;
  ServerWords m_Words;
  SendBounds m_SendBounds{m_WarmUp, m_Words};
  LoadBook m_Loads;
  PrefixIndex m_Prefixes{PrefixTokens};
  LatencyModel m_Latency;
  FailureBook m_Failures;
  CrashBook m_Crashes;
  SharedRetryBudget m_Budget{{}, EventLoop::now()};
  CallerClock m_Callers;
  ModelDemands m_Demand; ///< Since it was last taken.
  int m_Boxes = 1;       ///< Most boxes known at one time.
  bool m_Stopping = false;
  /// Operators evacuate data centres: which ones must be known before requests
  /// are sent.
  bool m_NeedsEvacuations = false;

  /// Forgets what was learned of an upstream that has left or started again.
  void forget(const InstanceId &Id) {
    m_Prefixes.forget(Id);
    m_Latency.forget(Id);
    // What still runs on one that has only left goes on counting.
    if (!m_Upstreams.list().m_Instances.contains(Id))
      return;
    m_Failures.forget(Id);
    m_Loads.startedAgain(Id);
  }

  void setLocation(const DataCentreName &Own, DataCentreMap Map) {
    m_Zone = Own.str();
    m_DataCentres = std::move(Map);
  }
  /// 0 before the first.
  ConfigVersion configVersion() const {
    return m_Config ? m_Config->m_Version : 0;
  }
  /// Whether what requests are sent by is known.
  bool hasRequiredState() const {
    return m_Config != nullptr && m_Upstreams.known() &&
           (!m_NeedsEvacuations || m_Upstreams.evacuations().m_Revision > 0);
  }
  bool ready() const { return hasRequiredState() && !m_Stopping; }
};

} // namespace havenstair

#endif
