/// \file
/// Methods, fields and framing of HTTP messages.
#ifndef HAVENSTAIR_WIRE_COMMON_HTTPMESSAGE_H
#define HAVENSTAIR_WIRE_COMMON_HTTPMESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace havenstair {

enum class HttpMethod { Get, Post, Put, Delete, Head, Options, Patch };

/// The method whose name is \p Name; empty for one that is not supported.
std::optional<HttpMethod> parseHttpMethod(std::string_view Name);

/// One header field.
struct HttpHeader {
  std::string m_Name;
  std::string m_Value;

  bool operator==(const HttpHeader &) const = default;
};
using HttpHeaders = std::vector<HttpHeader>;

/// Whether two names of fields are the same; case does not count.
bool sameFieldName(std::string_view A, std::string_view B);

/// Value of the field \p Name, by case-insensitive name; empty when absent.
std::string findHeader(const HttpHeaders &Headers, std::string_view Name);

/// Whether \p Headers can be read in one way only: not two lengths that
/// differ, nor a coding that is not decoded here.
bool framedUnambiguously(const HttpHeaders &Headers);

/// What tells where an answer ends (RFC 9112, section 6.3).
enum class AnswerFraming {
  Length,    ///< Its length, or a status or method that allows no body.
  Chunks,    ///< The last chunk.
  Connection ///< The end of its connection, which also ends a cut answer.
};

/// How the answer with \p Status and \p Headers to a call by \p Method is
/// framed.
AnswerFraming framingOf(HttpMethod Method, int Status,
                        const HttpHeaders &Headers);

} // namespace havenstair

#endif
