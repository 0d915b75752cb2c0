/// \file
/// Calls to the operators' side of a box.
#ifndef HAVENSTAIR_HAVENSTAIR_COMMON_APICLIENT_H
#define HAVENSTAIR_HAVENSTAIR_COMMON_APICLIENT_H

#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include "wire/common/Json.h"
#include <string>

namespace havenstair {

/// Waits for each answer; made for a command, not for a server.
class ApiClient {
public:
  ApiClient(Endpoint Operators, std::string Token);

  /// \throws CommandError with the code that fits an answer that is no success.
  Json get(const std::string &Path);
  HttpAnswer send(HttpMethod Method, const std::string &Path, const Json &Body,
                  const HttpHeaders &Headers);
  /// The same client for the operators' side of another box.
  ApiClient at(const Endpoint &Operators) const;

private:
  HttpAnswer call(HttpMethod Method, const std::string &Path,
                  const std::string &Body, const HttpHeaders &Headers);

  Endpoint m_Operators;
  std::string m_Token;
};

/// Throws the CommandError that fits \p Answer, unless it is a success.
void checkAnswer(const HttpAnswer &Answer);

} // namespace havenstair

#endif
