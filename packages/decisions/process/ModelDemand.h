/// \file
/// The work that callers request of each model and adapter.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_MODELDEMAND_H
#define HAVENSTAIR_DECISIONS_PROCESS_MODELDEMAND_H

#include "decisions/common/Time.h"
#include <compare>
#include <map>
#include <string>

namespace havenstair {

/// Names a model of a service, or an adapter of the model.
struct ModelKey {
  std::string m_Service;
  std::string m_Model;
  std::string m_Adapter; ///< Empty for the model itself.

  auto operator<=>(const ModelKey &) const = default;
  bool operator==(const ModelKey &) const = default;
};

/// Requests and work over some time, or per second.
struct ModelDemand {
  double m_Requests = 0;
  /// Work in milliseconds of engine time.
  double m_WorkMs = 0;

  bool operator==(const ModelDemand &) const = default;

  ModelDemand &operator+=(const ModelDemand &Other) {
    m_Requests += Other.m_Requests;
    m_WorkMs += Other.m_WorkMs;
    return *this;
  }
};

using ModelDemands = std::map<ModelKey, ModelDemand>;

} // namespace havenstair

#endif
