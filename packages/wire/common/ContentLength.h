/// \file
/// Reads the field that states the length of a body (RFC 9110, section 8.6).
#ifndef HAVENSTAIR_WIRE_COMMON_CONTENTLENGTH_H
#define HAVENSTAIR_WIRE_COMMON_CONTENTLENGTH_H

#include <cstddef>
#include <optional>
#include <string_view>

namespace havenstair {

/// Name of the field.
inline constexpr const char *ContentLengthField = "Content-Length";

/// \returns the bytes that \p Value of the field states; empty if it is not a
/// number, or is too large for sums with it.
std::optional<std::size_t> parseContentLength(std::string_view Value);

} // namespace havenstair

#endif
