/// \file
/// The process that takes callers' requests and sends them to upstreams.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_GATEWAY_H
#define HAVENSTAIR_GATEWAY_PROCESS_GATEWAY_H

#include "decisions/process/MemoryBudget.h"
#include "gateway/common/DecisionLog.h"
#include "gateway/process/ConnectionGate.h"
#include "gateway/process/CrashExchange.h"
#include "gateway/process/Fleet.h"
#include "gateway/process/FleetExchange.h"
#include "gateway/process/GatewayMetrics.h"
#include "gateway/process/GatewayPolicy.h"
#include "gateway/process/ListenerLog.h"
#include "gateway/process/LoadMonitor.h"
#include "gateway/process/MeteredStore.h"
#include "gateway/process/OrderLeader.h"
#include "gateway/process/PassExchange.h"
#include "gateway/process/PermitExchange.h"
#include "gateway/process/PlatformBinding.h"
#include "gateway/process/QuotaExchange.h"
#include "gateway/process/ReachMonitor.h"
#include "gateway/process/ServingState.h"
#include "gateway/process/StartupLog.h"
#include "gateway/process/StopSequence.h"
#include "gateway/process/StoreCallLog.h"
#include "gateway/process/UpstreamRegistry.h"
#include "gateway/process/UpstreamSignalExchange.h"
#include "gateway/process/WatchCache.h"
#include "gateway/request/Forwarder.h"
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include "wire/common/HttpServer.h"
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace havenstair {

class StreamOriginExchange;

/// Owns and connects the components of one process, all of which run on one
/// event loop.
class Gateway {
public:
  /// Listens on each address as soon as it is free.
  /// \throws std::runtime_error when an address can never be bound.
  Gateway(EventLoop &Loop, PlatformBinding Binding, GatewayOptions Options,
          GatewayPolicy Policy, int LogDescriptor,
          std::function<void()> Stopped);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// The bound addresses, with their actual ports.
  Endpoint callers() const { return m_Callers->endpoint(); }
  Endpoint readiness() const { return m_Readiness->endpoint(); }
  Endpoint metrics() const { return m_MetricsServer->endpoint(); }
  /// State that all requests share.
  const ServingState &state() const { return m_State; }
  /// Number of requests that have no answer yet.
  std::size_t openRequests() const { return m_Forwarder.open(); }
  /// Whether this box sends orders to engines.
  bool leading() const { return m_Leader.leading(); }
  /// Number of linked boxes.
  std::size_t peers() const { return m_Fleet.linked().size(); }
  /// Number of boxes that this one is the relay of.
  std::size_t leaves() const { return m_Exchange.leafCount(); }
  /// Number of entries of the list of upstreams, as far as this box knows them.
  std::size_t listedUpstreams() const { return m_Registry.size(); }
  /// Frames that this box has sent to other boxes, by kind.
  const std::map<std::string_view, Fleet::Sent> &sent() const {
    return m_Fleet.sent();
  }
  /// Whether this box watches the list of upstreams itself.
  bool watchesList() const { return m_UpstreamCache.running(); }

  /// Reloads the settings; an invalid file leaves the last valid ones in force.
  void reload();
  /// Stops the process: the callback that the constructor got is called once no
  /// request is open and all answers are sent. Requests that are open shortly
  /// before the grace period ends get an answer that says whether they may have
  /// run; streams that have begun are cut.
  void stop();

private:
  Fleet::Hooks fleetHooks();
  CrashExchange::Hooks crashHooks();
  WatchCache::Options cacheOptions(const std::string &Prefix,
                                   Duration CoalesceDelay, Duration Wait,
                                   ReadKind FirstRead = ReadKind::Current);
  PortListener::Reporter listenerHook(std::string_view Name);
  std::function<void(const TimedOutConnection &)>
  timeoutHook(std::string_view Name);
  void onListening(std::string_view Name, const PortListener::Report &Now);
  bool ready() const;
  void startServers();
  void watchLoad();
  PassExchange::Hooks passHooks();
  void reachChanged();
  void noteStartup(StartupStep Step, std::string_view From);
  void onRequestEnded(const RequestResult &Result);
  void ownKeysChanged();
  void resync();
  void configChanged();
  /// What became of a configuration that arrived.
  enum class ConfigUse { Adopted, Known, Older, Unreadable };
  ConfigUse takeConfig(const StoreItem &Item);
  void applyLimits(const CallerLimits &Limits);
  void offerConfig(const StoreItem &Item);
  void keepConfig();
  void onConfigTaken();
  void shareLeaving();
  void reconcileLater();
  void logConfigRead(const WatchCache::ReadOutcome &End);
  StoreEraTracker::Hooks eraHooks();
  void onEraChanged(const StoreEraTracker::Change &Learned);
  void logRead(const std::string &Prefix, const WatchCache::ReadOutcome &End);
  WatchCache::Hooks cacheHooks(const std::string &Prefix,
                               std::function<void()> Changed);
  void logConfig(const ServingConfig &Config, StoreRevision Revision);
  InstanceList readUpstreams();
  void upstreamsChanged();
  void onUpstreamDraining();
  void evacuationsChanged();
  void endEvacuations();
  void applyEvacuations(Evacuations Asked);
  void applyBounds();
  bool mayTrustKeys() const;
  void takeRequest(const HttpExchangePtr &Exchange);
  void answerMetrics(const HttpExchangePtr &Exchange);
  void turnAway(const HttpExchangePtr &Exchange, TurnedAway Why);
  void answerReadiness(const HttpExchangePtr &Exchange);
  StopSequence::Hooks stopHooks();
  std::size_t unsentAnswers() const;

  EventLoop &m_Loop;
  PlatformBinding m_Binding;
  GatewayOptions m_Options;
  GatewayPolicy m_Policy;
  std::function<void()> m_Stopped;
  DecisionLog m_Log;
  GatewayMetrics m_Metrics;
  TimePoint m_StartedAt = EventLoop::now();
  StoreCallLog m_StoreCalls;
  StartupLog m_Startup;
  ListenerLog m_Listeners;
  mutable std::mt19937_64 m_Random;
  MemoryBudget m_Memory; ///< Bounds what requests and answers hold.
  HttpClient m_UpstreamHttp;
  HttpClient m_StoreHttp;
  StoreEraTracker m_Eras;
  std::unique_ptr<CoordinationStore> m_Store;
  std::unique_ptr<EngineControl> m_Engines;
  ServingState m_State;
  ReachMonitor m_ReachMonitor;
  Forwarder m_Forwarder;
  UpstreamRegistry m_Registry;
  WatchCache m_ConfigCache;
  StoreItem m_ConfigItem; ///< The configuration in force, as it was read.
  WatchCache m_UpstreamCache;
  WatchCache m_OwnKeysCache;
  WatchCache m_EvacuationCache;
  BoxName m_ProcessName; ///< Name of this process of the box.
  Fleet m_Fleet;
  OrderLeader m_Leader;
  FleetExchange m_Exchange;
  std::shared_ptr<QuotaExchange> m_Quotas;
  std::shared_ptr<PermitExchange> m_Permits;
  std::shared_ptr<CrashExchange> m_Crashes;
  std::shared_ptr<UpstreamSignalExchange> m_Signals;
  std::shared_ptr<StreamOriginExchange> m_StreamOrigins;
  std::unique_ptr<HttpServer> m_Callers;
  std::unique_ptr<LoadMonitor> m_Load;
  std::unique_ptr<ConnectionGate> m_Gate;
  std::unique_ptr<HttpServer> m_Readiness;
  std::unique_ptr<HttpServer> m_MetricsServer;
  std::shared_ptr<PassExchange> m_Passes; ///< Null without an address for it.
  Timer m_ReloadTimer;
  /// Ends what is kept against the list, and the evacuations, of a restored
  /// store.
  Timer m_ReconcileTimer;
  Timer m_EvacuationTimer;
  Timer m_OwnKeysTimer;
  Timer m_ReachTimer;
  StopSequence m_Stop;
};

} // namespace havenstair

#endif
