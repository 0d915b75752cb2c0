/// \file
/// Everything that the gateway takes from one platform: names, formats and
/// calls.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_PLATFORMBINDING_H
#define HAVENSTAIR_GATEWAY_PROCESS_PLATFORMBINDING_H

#include "decisions/process/StoreEraTracker.h"
#include "decisions/process/UpstreamInstance.h"
#include "decisions/version/ServingConfig.h"
#include "gateway/process/CoordinationStore.h"
#include "gateway/process/EngineControl.h"
#include "gateway/process/GatewayOptions.h"
#include "gateway/request/RequestDialect.h"
#include <functional>
#include <memory>
#include <string>

namespace havenstair {

class HttpClient;

/// Hooks and names that a platform's adapter fills in. None of the hooks makes
/// decisions.
struct PlatformBinding {
  /// Reads the current settings. \throws SettingsUnavailable while they cannot
  /// be read, and std::runtime_error for invalid ones.
  std::function<GatewayOptions()> m_ReadOptions;
  std::function<std::unique_ptr<CoordinationStore>(
      HttpClient &, const Endpoint &, StoreEraTracker &)>
      m_MakeStore;
  std::function<std::unique_ptr<EngineControl>(HttpClient &)> m_MakeEngines;
  RequestDialect m_Dialect;

  /// Prefix of the keys of the operators' configuration.
  std::string m_ConfigPrefix;
  std::string m_UpstreamPrefix; ///< Prefix of the keys of running upstreams.
  /// Prefix of the keys that request the evacuation of a data centre while they
  /// exist; the data centre's name follows.
  std::string m_EvacuationPrefix;
  std::string m_OwnPrefix; ///< Prefix of the keys that the gateway may write.
  /// Prefix of further keys that the gateway may write, which are read on
  /// demand and not watched.
  std::string m_StreamPrefix;
  std::string m_ReadinessPath;

  /// Decodes a configuration. \throws DecodeError when \p Value is not one.
  std::function<ServingConfig(const std::string &Value)> m_DecodeConfig;
  /// Decodes an entry of the list of upstreams. \throws DecodeError when \p
  /// Value is not one.
  std::function<UpstreamInstance(const std::string &Key,
                                 const std::string &Value)>
      m_DecodeUpstream;
};

} // namespace havenstair

#endif
