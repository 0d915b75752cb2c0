/// \file
/// How callers and upstreams spell what the gateway reads and sets.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_REQUESTDIALECT_H
#define HAVENSTAIR_GATEWAY_REQUEST_REQUESTDIALECT_H

#include "decisions/request/RequestDescriptor.h"
#include "wire/common/HttpServer.h"
#include <functional>
#include <optional>
#include <string>

namespace havenstair {

/// What the gateway adds to a request that it sends to an upstream.
struct ForwardedFields {
  std::string m_Instance;     ///< Any other server must turn the request down.
  std::string m_Organisation; ///< Whose request it is; empty for nobody's.
  Duration m_TimeLeft = 0us;
  int m_Priority = 5;                      ///< 0 is the most urgent of 0 to 9.
  std::optional<std::int64_t> m_LastEvent; ///< Resume after this event.
};

/// What an answer's head says besides its status.
struct AnswerFacts {
  std::string m_RequestId;
  bool m_NotRun = false;
  bool m_Misdirected = false; ///< Another server may stand at the address.
  std::string m_Instance;     ///< Who answered; empty when it does not tell.
  /// How much longer it is cold; empty when it does not tell.
  std::optional<Duration> m_ColdFor;
  /// Requests a second that it takes from all boxes together; empty when it
  /// names no limit.
  std::optional<double> m_Limit;
  bool m_BadLimit = false; ///< It names one that cannot be read.
  bool m_Leaving = false;  ///< It says that it leaves.
  /// It turns the request away and wants nothing from this box for so long;
  /// empty when it names no time.
  std::optional<Duration> m_RetryAfter;
  bool m_BadRetryAfter = false; ///< It names one that cannot be read.
};

/// Hooks that one platform implements; they translate and decide nothing.
struct RequestDialect {
  /// \throws RequestError for a request that cannot be read.
  std::function<RequestDescriptor(const HttpExchange &)> m_Read;
  /// Header fields for the upstream, without those of the connection.
  std::function<HttpHeaders(const HttpHeaders &FromCaller,
                            const ForwardedFields &)>
      m_Forward;
  std::function<AnswerFacts(int Status, const HttpHeaders &)> m_ReadAnswer;
  /// Header fields of an answer that the gateway gives itself.
  std::function<HttpHeaders(const std::string &RequestId)> m_OwnAnswer;
};

/// \p Headers without the fields that concern one connection only (RFC 9110,
/// section 7.6.1) and without the length, which is set anew.
HttpHeaders withoutConnectionFields(const HttpHeaders &Headers);

} // namespace havenstair

#endif
