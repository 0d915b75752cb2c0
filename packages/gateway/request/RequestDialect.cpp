#include "gateway/request/RequestDialect.h"

#include "wire/common/HttpClient.h"
#include <algorithm>
#include <array>

namespace havenstair {

namespace {

constexpr std::array<std::string_view, 10> ConnectionFields{
    "Connection", "Keep-Alive",    "Proxy-Connection",  "Proxy-Authenticate",
    "TE",         "Trailer",       "Transfer-Encoding", "Upgrade",
    "Expect",     "Content-Length"};

/// \returns whether the comma-separated \p List contains \p Name.
bool contains(std::string_view List, std::string_view Name) {
  std::size_t Start = 0;
  while (Start <= List.size()) {
    const std::size_t Comma = std::min(List.find(',', Start), List.size());
    std::string_view Item = List.substr(Start, Comma - Start);
    while (Item.starts_with(' '))
      Item.remove_prefix(1);
    while (Item.ends_with(' '))
      Item.remove_suffix(1);
    if (sameFieldName(Item, Name))
      return true;
    Start = Comma + 1;
  }
  return false;
}

} // namespace

HttpHeaders withoutConnectionFields(const HttpHeaders &Headers) {
  const std::string Options = findHeader(Headers, "Connection");
  HttpHeaders Result;
  for (const HttpHeader &Header : Headers) {
    const bool OfConnection =
        std::any_of(ConnectionFields.begin(), ConnectionFields.end(),
                    [&](std::string_view Field) {
                      return sameFieldName(Field, Header.m_Name);
                    });
    if (!OfConnection && !contains(Options, Header.m_Name))
      Result.push_back(Header);
  }
  return Result;
}

} // namespace havenstair
