/// \file
/// Translates between the platform's HTTP headers and what the gateway reads
/// and sets.
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
  /// Expected instance; any other upstream has to reject the request.
  std::string m_Instance;
  std::string m_Organisation; ///< Organisation of the caller; empty for none.
  Duration m_TimeLeft = 0us;  ///< Time until the request's deadline.
  int m_Priority = 5;         ///< From 0, the most urgent, to 9.
  /// The upstream resumes the stream after this event; empty to start anew.
  std::optional<std::int64_t> m_LastEvent;
};

/// What the head of an upstream's answer says besides its status.
struct AnswerFacts {
  std::string m_RequestId; ///< Request that the answer is for.
  bool m_NotRun = false;   ///< The upstream states that it did not run it.
  /// Another upstream may have taken over the address.
  bool m_Misdirected = false;
  std::string m_Instance; ///< Instance that answered; empty if not stated.
  /// Time for which the instance stays cold; empty if not stated.
  std::optional<Duration> m_ColdFor;
  /// Requests per second that the upstream accepts from all boxes together;
  /// empty if it sets no limit.
  std::optional<double> m_Limit;
  bool m_BadLimit = false; ///< The limit cannot be parsed.
  /// The upstream crashes when it rejects more requests than this in a second
  /// for lack of room; empty if it does not state that.
  std::optional<double> m_RefusalLimit;
  bool m_BadRefusalLimit = false; ///< The refusal limit cannot be parsed.
  /// The upstream rejects the request for lack of room.
  bool m_NoRoom = false;
  bool m_Leaving = false; ///< The upstream states that it leaves.
  /// The upstream rejects the request and asks this box to send nothing for
  /// this time; empty if it states no time.
  std::optional<Duration> m_RetryAfter;
  bool m_BadRetryAfter = false; ///< The time to retry after cannot be parsed.
};

/// Functions that a platform provides. They translate headers and make no
/// decisions.
struct RequestDialect {
  /// Reads a caller's request.
  /// \throws RequestError if the request cannot be parsed.
  std::function<RequestDescriptor(const HttpExchange &)> m_Read;
  /// \returns the header fields for the upstream, without connection-specific
  /// ones.
  std::function<HttpHeaders(const HttpHeaders &FromCaller,
                            const ForwardedFields &)>
      m_Forward;
  /// \returns the header fields for another box, which identifies the caller
  /// itself; only the time left and the last event are used.
  std::function<HttpHeaders(const HttpHeaders &FromCaller,
                            const ForwardedFields &)>
      m_PassOn;
  /// Reads the head of an upstream's answer.
  std::function<AnswerFacts(int Status, const HttpHeaders &)> m_ReadAnswer;
  /// \returns the header fields of an answer that the gateway generates itself.
  std::function<HttpHeaders(const std::string &RequestId)> m_FailureHeaders;
};

/// \returns \p Headers without connection-specific fields (RFC 9110, section
/// 7.6.1) and without the content length, which is computed anew.
HttpHeaders withoutConnectionFields(const HttpHeaders &Headers);

} // namespace havenstair

#endif
