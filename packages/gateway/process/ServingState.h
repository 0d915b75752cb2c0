/// \file
/// What all requests of the process share.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_SERVINGSTATE_H
#define HAVENSTAIR_GATEWAY_PROCESS_SERVINGSTATE_H

#include "decisions/common/DataCentreMap.h"
#include "decisions/process/DemandBook.h"
#include "decisions/process/FailureBook.h"
#include "decisions/process/LatencyModel.h"
#include "decisions/process/LoadBook.h"
#include "decisions/process/PrefixIndex.h"
#include "decisions/process/ServingView.h"
#include "decisions/process/SharedRetryBudget.h"
#include "decisions/request/CallerClock.h"
#include "decisions/version/ServingConfig.h"
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
  LoadBook m_Loads;
  PrefixIndex m_Prefixes{PrefixTokens};
  LatencyModel m_Latency;
  FailureBook m_Failures;
  SharedRetryBudget m_Budget{{}};
  CallerClock m_Callers;
  ModelDemands m_Demand; ///< Since it was last taken.
  int m_Boxes = 1;       ///< Most boxes known at one time.
  bool m_Stopping = false;

  void standsIn(const DataCentreName &Own, DataCentreMap Map) {
    m_Zone = Own.str();
    m_DataCentres = std::move(Map);
  }
  /// 0 before the first.
  ConfigVersion configVersion() const {
    return m_Config ? m_Config->m_Version : 0;
  }
  bool ready() const {
    return m_Config != nullptr && m_Upstreams.known() && !m_Stopping;
  }
};

} // namespace havenstair

#endif
