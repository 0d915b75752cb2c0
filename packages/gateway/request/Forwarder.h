/// \file
/// Takes callers' requests and sends each to an upstream.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_FORWARDER_H
#define HAVENSTAIR_GATEWAY_REQUEST_FORWARDER_H

#include "decisions/request/ForwardingPolicy.h"
#include "decisions/request/PromptPacing.h"
#include "decisions/request/ReplicaAdmission.h"
#include "decisions/request/ReplicaChoice.h"
#include "gateway/common/ConfigVouch.h"
#include "gateway/process/ServingState.h"
#include "gateway/request/CrashDesk.h"
#include "gateway/request/EarlyRequests.h"
#include "gateway/request/PermitDesk.h"
#include "gateway/request/QuotaDesk.h"
#include "gateway/request/RequestDialect.h"
#include "gateway/request/ServerWordDesk.h"
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include "wire/common/HttpServer.h"
#include <functional>
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
  std::string m_Organisation; ///< Empty for nobody's.
  std::string_view m_Outcome; ///< "ok", or the code of an error kind.
  Duration m_FirstByte = 0us; ///< Zero when there was none.
  Duration m_Whole = 0us;
};

/// Owner of all requests of the process that are under way.
class Forwarder {
public:
  /// When a caller may come back, to another box, while this one stops.
  static constexpr Duration StoppingAway = 10ms;

  struct Options {
    ReplicaWeights m_Weights;
    AdmissionOptions m_Admission;
    Duration m_ConnectTimeout = 300ms;
    PacingOptions m_Pace;
    EarlyRequests::Options m_Early;
    std::size_t m_MaxAnswer = 16 << 20; ///< Bytes of a buffered answer.
  };
  struct Hooks {
    /// A request waits for a model or adapter that no upstream holds.
    std::function<void(const ModelKey &)> m_Missing;
    std::function<void(const RequestResult &)> m_Ended;
    std::function<void(std::string_view Outcome)> m_SendEnded;
    /// Whether the configuration is new enough to tell whose a key is.
    std::function<bool()> m_MayTrustKeys;
    std::function<ConfigVouch(TimePoint Now)> m_ConfigVouch;
    std::function<double()> m_Random; ///< From 0 to 1.
  };

  Forwarder(EventLoop &Loop, HttpClient &Client, ServingState &State,
            RequestDialect Dialect, DecisionLog &Log, Options Opts,
            Hooks Callbacks);
  ~Forwarder();
  Forwarder(const Forwarder &) = delete;
  Forwarder &operator=(const Forwarder &) = delete;

  /// Before the first request.
  void setDesks(std::weak_ptr<QuotaDesk> Quotas,
                std::weak_ptr<PermitDesk> Permits,
                std::weak_ptr<CrashDesk> Crashes,
                std::weak_ptr<ServerWordDesk> Words) {
    m_Quotas = std::move(Quotas);
    m_Permits = std::move(Permits);
    m_Crashes = std::move(Crashes);
    m_Words = std::move(Words);
  }
  void handle(const HttpExchangePtr &Exchange);
  /// Answers a request that is not to be sent anywhere.
  void refuse(const HttpExchangePtr &Exchange, const Failure &Reason);
  /// The list of upstreams has changed: waiting requests look again.
  void upstreamsChanged();
  /// Requests were barred or cleared, or servers asked whether they ended.
  void crashesChanged();
  /// The box may know all that it serves by now, or stops: requests that were
  /// kept for that go on.
  void releaseEarly();
  std::size_t open() const { return m_Open.size() + m_Early.size(); }

private:
  friend class ProxiedRequest;

  void refuseUnread(const HttpExchangePtr &Exchange, const Failure &Reason,
                    const std::string &Id);
  void keepOrRefuse(const EarlyRequests::Item &Item);
  void refuseOverdue();
  void begin(EarlyRequests::Item Item);
  void remove(const std::shared_ptr<ProxiedRequest> &Ended);

  EventLoop &m_Loop;
  HttpClient &m_Client;
  ServingState &m_State;
  RequestDialect m_Dialect;
  DecisionLog &m_Log;
  Options m_Opts;
  Hooks m_Hooks;
  std::weak_ptr<QuotaDesk> m_Quotas;
  std::weak_ptr<PermitDesk> m_Permits;
  std::weak_ptr<CrashDesk> m_Crashes;
  std::weak_ptr<ServerWordDesk> m_Words;
  EarlyRequests m_Early;
  Timer m_EarlyTimer;
  std::set<std::shared_ptr<ProxiedRequest>> m_Open;
};

} // namespace havenstair

#endif
