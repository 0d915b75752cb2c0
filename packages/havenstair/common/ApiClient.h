/// \file
/// Client of the operators' HTTP interface of a box.
#ifndef HAVENSTAIR_HAVENSTAIR_COMMON_APICLIENT_H
#define HAVENSTAIR_HAVENSTAIR_COMMON_APICLIENT_H

#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include "wire/common/Json.h"
#include <string>

namespace havenstair {

/// Sends requests to the operators' address of one box. Each call blocks until
/// the answer is there, so it is for command-line use only.
class ApiClient {
public:
  /// \p Token authenticates the operator.
  ApiClient(Endpoint OperatorAddress, std::string Token);

  /// Returns the JSON that the box answers.
  /// \throws CommandError when no complete answer comes or the status is an
  /// error.
  Json get(const std::string &Path);
  /// Sends \p Body, or an empty body when it is null, and returns the answer
  /// whatever its status.
  /// \throws CommandError when no complete answer comes.
  HttpAnswer send(HttpMethod Method, const std::string &Path, const Json &Body,
                  const HttpHeaders &Headers);
  /// Returns a client with the same token for the operators' address of
  /// another box.
  ApiClient forAddress(const Endpoint &OperatorAddress) const;

private:
  HttpAnswer call(HttpMethod Method, const std::string &Path,
                  const std::string &Body, const HttpHeaders &Headers);

  Endpoint m_OperatorAddress;
  std::string m_Token;
};

/// Checks the status of \p Answer.
/// \throws CommandError with a matching exit code unless it is a success.
void checkAnswer(const HttpAnswer &Answer);

} // namespace havenstair

#endif
