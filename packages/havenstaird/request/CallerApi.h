/// \file
/// The API towards callers: who asks, what it may do, and its answer.
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

/// What a caller asks for, read from its HTTP request.
/// \throws RequestError with the kind of what is wrong.
ForwardedRequest readModelRequest(const HttpExchange &Exchange,
                                  Duration DefaultDeadline);
ForwardedRequest readServiceRequest(const HttpExchange &Exchange,
                                    Duration DefaultDeadline);

/// Handles each request of the caller side.
class CallerApi {
public:
  /// Starts the work. \returns a hook that gives it up when the caller left.
  using Start =
      std::function<std::function<void()>(ForwardedRequest, AnswerSinkPtr)>;

  struct Options {
    std::function<const Table &()> m_Table;
    Start m_Start;
    /// Asks whether a group's concurrency limit allows one more request.
    std::function<void(const GroupRow &, std::function<void(bool)>)> m_Enter;
    /// A request that was counted for the limit ended.
    std::function<void(const GroupName &)> m_Left;
    Duration m_DefaultDeadline = 5s;
    std::string m_IdPrefix; ///< Name of the box; part of request ids.
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
