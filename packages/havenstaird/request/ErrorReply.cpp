#include "havenstaird/request/ErrorReply.h"

namespace havenstair {

namespace {

constexpr Duration::rep MicrosPerSecond = 1000000;

/// `Retry-After` has whole seconds; the time is rounded up, so that no client
/// retries too early.
std::string retryAfterSeconds(Duration Time) {
  const auto Micros = Time.count();
  return std::to_string((Micros + MicrosPerSecond - 1) / MicrosPerSecond);
}

std::string errorType(int Status) {
  if (Status == 429)
    return "rate_limit_error";
  return Status < 500 ? "invalid_request_error" : "server_error";
}

} // namespace

Json errorBody(const Failure &Reason, const RequestId &Id) {
  const ErrorAnswer &Answer = answerFor(Reason.m_Kind);
  std::string Message(Answer.m_Message);
  if (!Reason.m_Detail.empty())
    Message += " " + Reason.m_Detail;
  Json Error{
      {"message", Message},
      {"type", errorType(Answer.m_HttpStatus)},
      {"code", Answer.m_Code},
      {"param", nullptr},
      {"run", Answer.m_RunState == RunState::NotRun ? "not_run" : "unknown"},
      {"request_id", Id.str()}};
  if (Answer.m_HasRetryAfter)
    Error["retry_after_ms"] = Reason.m_RetryAfter.count() / 1000;
  return Json{{"error", std::move(Error)}};
}

void replyError(const HttpExchangePtr &Exchange, const Failure &Reason,
                const RequestId &Id) {
  const ErrorAnswer &Answer = answerFor(Reason.m_Kind);
  HttpHeaders Headers{{"Content-Type", "application/json"}};
  if (!Id.empty())
    Headers.push_back({"Havenstair-Request-Id", Id.str()});
  if (Answer.m_HasRetryAfter)
    Headers.push_back({"Retry-After", retryAfterSeconds(Reason.m_RetryAfter)});
  if (Answer.m_HttpStatus == 401)
    Headers.push_back({"WWW-Authenticate", "Bearer"});
  Exchange->reply(Answer.m_HttpStatus, Headers,
                  dumpJson(errorBody(Reason, Id)));
}

} // namespace havenstair
