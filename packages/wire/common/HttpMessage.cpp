#include "wire/common/HttpMessage.h"

#include <algorithm>
#include <array>
#include <strings.h>
#include <utility>

namespace havenstair {

namespace {

constexpr std::array<std::pair<std::string_view, HttpMethod>, 7> MethodNames{
    {{"GET", HttpMethod::Get},
     {"POST", HttpMethod::Post},
     {"PUT", HttpMethod::Put},
     {"DELETE", HttpMethod::Delete},
     {"HEAD", HttpMethod::Head},
     {"OPTIONS", HttpMethod::Options},
     {"PATCH", HttpMethod::Patch}}};

constexpr const char *LengthField = "Content-Length";
constexpr const char *CodingField = "Transfer-Encoding";

constexpr int NoContentStatus = 204;
constexpr int NotModifiedStatus = 304;

/// Whether \p Each is the field \p Name, or would be without blanks behind its
/// name; evhttp takes these for a part of it.
bool resemblesField(const HttpHeader &Each, std::string_view Name) {
  return sameFieldName(std::string_view(Each.m_Name)
                           .substr(0, Each.m_Name.find_last_not_of(" \t") + 1),
                       Name);
}

} // namespace

std::optional<HttpMethod> parseHttpMethod(std::string_view Name) {
  for (const auto &[Text, Method] : MethodNames)
    if (Text == Name)
      return Method;
  return std::nullopt;
}

bool sameFieldName(std::string_view A, std::string_view B) {
  return A.size() == B.size() && strncasecmp(A.data(), B.data(), A.size()) == 0;
}

std::string findHeader(const HttpHeaders &Headers, std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (sameFieldName(Header.m_Name, Name))
      return Header.m_Value;
  return {};
}

AnswerFraming framingOf(HttpMethod Method, int Status,
                        const HttpHeaders &Headers) {
  if (Method == HttpMethod::Head || Status == NoContentStatus ||
      Status == NotModifiedStatus)
    return AnswerFraming::Length;
  if (!findHeader(Headers, CodingField).empty())
    return AnswerFraming::Chunks;
  return findHeader(Headers, LengthField).empty() ? AnswerFraming::Connection
                                                  : AnswerFraming::Length;
}

bool framedUnambiguously(const HttpHeaders &Headers) {
  const std::string Length = findHeader(Headers, LengthField);
  return std::all_of(Headers.begin(), Headers.end(),
                     [&](const HttpHeader &Each) {
                       if (resemblesField(Each, LengthField))
                         return sameFieldName(Each.m_Name, LengthField) &&
                                Each.m_Value == Length;
                       return !resemblesField(Each, CodingField) ||
                              (sameFieldName(Each.m_Name, CodingField) &&
                               sameFieldName(Each.m_Value, "chunked"));
                     });
}

} // namespace havenstair
