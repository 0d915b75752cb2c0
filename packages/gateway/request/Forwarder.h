/// \file
/// Accepts callers' requests and forwards each to an upstream.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_FORWARDER_H
#define HAVENSTAIR_GATEWAY_REQUEST_FORWARDER_H

#include "decisions/process/MemoryBudget.h"
#include "decisions/request/ForwardingPolicy.h"
#include "decisions/request/PromptPacing.h"
#include "decisions/request/ReplicaAdmission.h"
#include "decisions/request/ReplicaChoice.h"
#include "gateway/common/ConfigFreshness.h"
#include "gateway/process/ServingState.h"
#include "gateway/request/CrashService.h"
#include "gateway/request/PassService.h"
#include "gateway/request/PermitService.h"
#include "gateway/request/QuotaService.h"
#include "gateway/request/RequestDialect.h"
#include "gateway/request/StartupQueue.h"
#include "gateway/request/StreamOriginService.h"
#include "gateway/request/UpstreamSignalService.h"
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include "wire/common/HttpServer.h"
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace havenstair {

class DecisionLog;
class ProxiedRequest;

/// How a request ended, for metrics.
struct RequestResult {
  std::string m_Route;
  std::string m_Organisation; ///< Empty if the caller belongs to none.
  std::string_view m_Outcome; ///< "ok", or the code of an error kind.
  Duration m_FirstByte = 0us; ///< Time to the first byte; zero if none came.
  Duration m_Whole = 0us;     ///< Time to the end of the answer.
};

/// Owns all requests of the process that are in progress.
class Forwarder {
public:
  /// Time after which a caller should retry, at another box, while this one
  /// stops.
  static constexpr Duration StoppingRetryAfter = 10ms;

  struct Options {
    ReplicaWeights m_Weights;
    AdmissionOptions m_Admission;
    Duration m_ConnectTimeout = 300ms;
    PacingOptions m_Pacing;
    StartupQueue::Options m_StartupQueue;
    /// Largest answer that is buffered before it is passed on, in bytes.
    std::size_t m_MaxAnswerBytes = 16 << 20;
    /// Bounds what all answers hold that are buffered.
    MemoryBudget m_Memory;
  };
  struct Hooks {
    /// Called when a request waits for a model or adapter that no upstream
    /// holds.
    std::function<void(const ModelKey &)> m_Missing;
    /// Called when a caller's request has ended.
    std::function<void(const RequestResult &)> m_Ended;
    /// Called when a send to an upstream has ended.
    std::function<void(std::string_view Outcome)> m_SendEnded;
    /// Called when it is known, or known to be unknown, how a stream began that
    /// a caller takes up.
    std::function<void(OriginSource)> m_Resumed;
    /// Called when an upstream has begun to answer a send.
    std::function<void(const UpstreamReach::Call &)> m_Reached;
    /// Called when a request that another box passed on has ended.
    std::function<void(std::string_view Outcome)> m_PassedEnded;
    /// Called when the connection of a send did not come up.
    std::function<void(const UpstreamReach::Call &)> m_ConnectFailed;
    /// \returns whether the configuration is recent enough to decide which
    /// organisation a key belongs to.
    std::function<bool()> m_MayTrustKeys;
    std::function<ConfigFreshness(TimePoint Now)> m_ConfigFreshness;
    std::function<double()> m_Random; ///< Random numbers from 0 to 1.
  };

  Forwarder(EventLoop &Loop, HttpClient &Client, ServingState &State,
            RequestDialect Dialect, DecisionLog &Log, Options Opts,
            Hooks Callbacks);
  ~Forwarder();
  Forwarder(const Forwarder &) = delete;
  Forwarder &operator=(const Forwarder &) = delete;

  /// Sets the services that requests use. To be called before the first
  /// request.
  void setServices(std::weak_ptr<QuotaService> Quotas,
                   std::weak_ptr<PermitService> Permits,
                   std::weak_ptr<CrashService> Crashes,
                   std::weak_ptr<UpstreamSignalService> Signals) {
    m_Quotas = std::move(Quotas);
    m_Permits = std::move(Permits);
    m_Crashes = std::move(Crashes);
    m_Signals = std::move(Signals);
  }
  /// Sets the service that passes requests on; without, none is.
  void setPassService(std::weak_ptr<PassService> Passes) {
    m_Passes = std::move(Passes);
  }
  /// Sets the service that knows how streams began; without, a stream that a
  /// caller takes up is refused.
  void setStreamOrigins(std::weak_ptr<StreamOriginService> Origins) {
    m_Origins = std::move(Origins);
  }
  /// Handles a request that another box passed on and that counts as open until
  /// \p Token is destroyed. This box must know what it needs to serve.
  void handlePassed(const HttpExchangePtr &Exchange,
                    std::shared_ptr<void> Token);
  /// \returns the id of a request; empty if it cannot be read.
  std::string idOf(const HttpExchange &Exchange) const;
  /// Handles a caller's request.
  void handle(const HttpExchangePtr &Exchange);
  /// Answers a request with \p Reason without sending it to an upstream.
  void refuse(const HttpExchangePtr &Exchange, const Failure &Reason);
  /// Called when the list of upstreams has changed. Waiting requests choose
  /// again.
  void upstreamsChanged();
  /// Called when requests were quarantined or cleared, or upstreams probed for
  /// crashes.
  void crashesChanged();
  /// Continues the requests in the startup queue if the box has all the state
  /// that it needs to serve, or stops.
  void releaseStartupQueue();
  /// Answers all requests in progress, as this process ends.
  void endAll();
  /// \returns the number of requests in progress, with those in the startup
  /// queue.
  std::size_t open() const { return m_Open.size() + m_StartupQueue.size(); }

private:
  friend class ProxiedRequest;

  void refuseUnread(const HttpExchangePtr &Exchange, const Failure &Reason,
                    const std::string &Id);
  void keepOrRefuse(const StartupQueue::Item &Item);
  void refuseExpired();
  void begin(StartupQueue::Item Item);
  void remove(const std::shared_ptr<ProxiedRequest> &Ended);
  void makeRoom(MemoryUse Use, std::size_t Wanted);
  std::shared_ptr<ProxiedRequest> largestOfHeaviest(std::size_t Wanted) const;
  bool releaseStalled(TimePoint Now);
  bool stalledLately(const InstanceId &Upstream, TimePoint Now) const;

  EventLoop &m_Loop;
  HttpClient &m_Client;
  ServingState &m_State;
  RequestDialect m_Dialect;
  DecisionLog &m_Log;
  Options m_Opts;
  Hooks m_Hooks;
  std::weak_ptr<QuotaService> m_Quotas;
  std::weak_ptr<PassService> m_Passes;
  std::weak_ptr<PermitService> m_Permits;
  std::weak_ptr<CrashService> m_Crashes;
  std::weak_ptr<UpstreamSignalService> m_Signals;
  std::weak_ptr<StreamOriginService> m_Origins;
  StartupQueue m_StartupQueue;
  Timer m_StartupTimer;
  std::set<std::shared_ptr<ProxiedRequest>> m_Open;
  /// When answers of these upstreams came too slowly while others found no
  /// room.
  std::map<InstanceId, TimePoint> m_StalledAt;
  /// When a search for memory found none, and how many bytes were wanted.
  TimePoint m_NothingFoundAt{};
  std::size_t m_NothingFoundFor = 0;
};

} // namespace havenstair

#endif
