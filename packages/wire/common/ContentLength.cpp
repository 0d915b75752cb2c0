#include "wire/common/ContentLength.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <system_error>

namespace havenstair {

std::optional<std::size_t> parseContentLength(std::string_view Value) {
  const auto IsDigit = [](char Sign) { return Sign >= '0' && Sign <= '9'; };
  const char *End = Value.data() + Value.size();
  std::size_t Length = 0;
  const auto Read = std::from_chars(Value.data(), End, Length);
  const bool Readable = !Value.empty() &&
                        std::all_of(Value.begin(), Value.end(), IsDigit) &&
                        Read.ec == std::errc() && Read.ptr == End &&
                        Length < std::numeric_limits<std::size_t>::max() / 4;
  return Readable ? std::optional(Length) : std::nullopt;
}

} // namespace havenstair
