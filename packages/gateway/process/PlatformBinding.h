/// \file
/// Everything the gateway takes from one platform: names, formats and calls.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_PLATFORMBINDING_H
#define HAVENSTAIR_GATEWAY_PROCESS_PLATFORMBINDING_H

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

class EventLoop;
class HttpClient;

/// Hooks that a platform's adapter fills in. None of them decides anything.
struct PlatformBinding {
  /// The settings as they stand now. \throws SettingError for a bad file.
  std::function<GatewayOptions()> m_ReadOptions;
  std::function<std::unique_ptr<CoordinationStore>(EventLoop &, HttpClient &,
                                                   const Endpoint &)>
      m_MakeStore;
  std::function<std::unique_ptr<EngineControl>(HttpClient &)> m_MakeEngines;
  RequestDialect m_Dialect;

  std::string m_ConfigPrefix;   ///< Keys of the operators' configuration.
  std::string m_UpstreamPrefix; ///< Keys of running servers.
  /// Keys that ask for a data centre's evacuation while they stand; its name
  /// follows.
  std::string m_EvacuationPrefix;
  std::string m_OwnPrefix; ///< Keys that the gateway may write.
  std::string m_ReadinessPath;

  /// \throws DecodeError for a value that is no configuration.
  std::function<ServingConfig(const std::string &Value)> m_DecodeConfig;
  /// \throws DecodeError for a value that is no server.
  std::function<UpstreamInstance(const std::string &Key,
                                 const std::string &Value)>
      m_DecodeUpstream;
};

} // namespace havenstair

#endif
