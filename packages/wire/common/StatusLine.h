/// \file
/// Checks the start line of an HTTP answer.
#ifndef HAVENSTAIR_WIRE_COMMON_STATUSLINE_H
#define HAVENSTAIR_WIRE_COMMON_STATUSLINE_H

#include <cstddef>
#include <string_view>

namespace havenstair {

enum class StatusLineCheck {
  Unfinished, ///< More bytes are needed to tell.
  Sound,
  Unsound
};

/// The bytes of a status line that are checked.
constexpr std::size_t CheckedStatusLine = 13;

/// Checks that \p Start begins with a version of HTTP/1, one space, and a
/// status of three digits from 100 to 599 that a space or the line's end
/// follows (RFC 9112, section 4; RFC 9110, section 15).
StatusLineCheck checkStatusLine(std::string_view Start);

} // namespace havenstair

#endif
