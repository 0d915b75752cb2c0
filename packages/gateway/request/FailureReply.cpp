#include "gateway/request/FailureReply.h"

#include "wire/common/Json.h"
#include <cstdio>

namespace havenstair {

namespace {

std::string secondsText(Duration Time) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f", inSeconds(Time));
  return Text;
}

} // namespace

void replyWithFailure(const HttpExchangePtr &Exchange, const Failure &Reason,
                      HttpHeaders Headers) {
  const ErrorAnswer &Answer = answerFor(Reason.m_Kind);
  Headers.push_back({"Content-Type", "application/json"});
  if (Answer.m_HasRetryAfter && Reason.m_RetryAfter > 0us)
    Headers.push_back({"Retry-After", secondsText(Reason.m_RetryAfter)});
  const Json Body{
      {"error",
       {{"code", Answer.m_Code},
        {"message", Answer.m_Message},
        {"run", Answer.m_RunState == RunState::NotRun ? "not_run" : "unknown"},
        {"detail", Reason.m_Detail}}}};
  Exchange->reply(Answer.m_HttpStatus, Headers, dumpJson(Body));
}

} // namespace havenstair
