#include "havenstair/common/ApiClient.h"

#include "havenstair/common/ExitCode.h"

namespace havenstair {

namespace {

constexpr Duration CallTimeout = 10s;

std::string errorMessage(const HttpAnswer &Answer) {
  try {
    const Json Error = field<Json>(parseJson(Answer.m_Body), "error");
    return field<std::string>(Error, "code") + ": " +
           field<std::string>(Error, "message");
  } catch (const DecodeError &) {
    return "status " + std::to_string(Answer.m_Status);
  }
}

} // namespace

ApiClient::ApiClient(Endpoint OperatorAddress, std::string Token)
    : m_OperatorAddress(std::move(OperatorAddress)), m_Token(std::move(Token)) {
}

ApiClient ApiClient::forAddress(const Endpoint &OperatorAddress) const {
  return ApiClient(OperatorAddress, m_Token);
}

HttpAnswer ApiClient::call(HttpMethod Method, const std::string &Path,
                           const std::string &Body,
                           const HttpHeaders &Headers) {
  EventLoop Loop;
  HttpClient Http(Loop);
  HttpCall Call;
  Call.m_To = m_OperatorAddress;
  Call.m_Method = Method;
  Call.m_Target = Path;
  Call.m_Headers = Headers;
  Call.m_Headers.push_back({"Authorization", "Bearer " + m_Token});
  Call.m_Body = Body;
  Call.m_IdleTimeout = CallTimeout;
  HttpAnswer Result;
  bool Done = false;
  Http.fetch(std::move(Call), [&](HttpAnswer Answer) {
    Result = std::move(Answer);
    Done = true;
  });
  Loop.runUntil([&] { return Done; }, CallTimeout * 2);
  if (!Done || Result.m_End != HttpEnd::Complete)
    throw CommandError(ExitCode::Unreachable,
                       "no answer from " + m_OperatorAddress.str());
  return Result;
}

void checkAnswer(const HttpAnswer &Answer) {
  if (Answer.ok())
    return;
  ExitCode Code = ExitCode::Failed;
  if (Answer.m_Status == 409)
    Code = ExitCode::Conflict;
  else if (Answer.m_Status == 422 || Answer.m_Status == 400)
    Code = ExitCode::Refused;
  throw CommandError(Code, errorMessage(Answer));
}

Json ApiClient::get(const std::string &Path) {
  const HttpAnswer Answer = call(HttpMethod::Get, Path, {}, {});
  checkAnswer(Answer);
  return parseJson(Answer.m_Body);
}

HttpAnswer ApiClient::send(HttpMethod Method, const std::string &Path,
                           const Json &Body, const HttpHeaders &Headers) {
  return call(Method, Path, Body.is_null() ? "" : dumpJson(Body), Headers);
}

} // namespace havenstair
