/// \file
/// The HTTP API for callers: authentication, authorisation and answers.
#ifndef HAVENSTAIR_HAVENSTAIRD_REQUEST_CALLERAPI_H
#define HAVENSTAIR_HAVENSTAIRD_REQUEST_CALLERAPI_H

#include "decisions/process/GroupLimiter.h"
#include "decisions/process/RequestLog.h"
#include "decisions/request/ForwardedRequest.h"
#include "decisions/version/Table.h"
#include "havenstaird/request/AttemptRunner.h"
#include "wire/common/HttpServer.h"
#include "wire/common/Json.h"
#include <functional>

namespace havenstair {

class Metrics;

/// Reads the request of a caller from its HTTP request.
/// \throws RequestError with the kind of the error.
ForwardedRequest readModelRequest(const HttpExchange &Exchange,
                                  Duration DefaultDeadline);
ForwardedRequest readServiceRequest(const HttpExchange &Exchange,
                                    Duration DefaultDeadline);

/// Handles the HTTP requests of callers.
class CallerApi {
public:
  /// Starts a request. \returns a hook that cancels it, for when the caller has
  /// left.
  using Start =
      std::function<std::function<void()>(ForwardedRequest, AnswerSinkPtr)>;

  struct Options {
    std::function<const Table &()> m_Table;
    Start m_Start;
    /// Asks whether the concurrency limit of a group allows one more request.
    std::function<void(const GroupRow &, std::function<void(bool)>)> m_Enter;
    /// A request that was counted against the limit has ended.
    std::function<void(const GroupName &)> m_Left;
    Duration m_DefaultDeadline = 5s;
    std::string m_IdPrefix; ///< Prefix of request ids: the name of the box.
  };

  CallerApi(GroupLimiter &Limiter, Metrics &Numbers, RequestLog &Log,
            Options Opts);

  void handle(const HttpExchangePtr &Exchange);
  void turnedAway(const HttpExchangePtr &Exchange, HttpServer::Turned Why);

private:
  class CallerSink;

  void route(const HttpExchangePtr &Exchange, const RequestId &Id);
  const GroupRow &authenticate(const HttpExchange &Exchange) const;
  void listModels(const HttpExchangePtr &Exchange, const GroupRow &Row) const;
  void start(const HttpExchangePtr &Exchange, const GroupRow &Row,
             ForwardedRequest Request);
  void run(const HttpExchangePtr &Exchange, const GroupName &Group,
           ForwardedRequest Request);
  void ended(const GroupName &Group, double Tokens);
  RequestId nextId();

  GroupLimiter &m_Limiter;
  Metrics &m_Metrics;
  RequestLog &m_Log;
  Options m_Opts;
  std::uint64_t m_LastId = 0;
};

} // namespace havenstair

#endif
