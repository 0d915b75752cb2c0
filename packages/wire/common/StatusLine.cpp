#include "wire/common/StatusLine.h"

namespace havenstair {

namespace {

/// `d` stands for a digit, `s` for the first digit of a status, and `e` for
/// what may follow one.
constexpr std::string_view Pattern = "HTTP/1.d sdde";
static_assert(Pattern.size() == CheckedStatusLine);

bool isDigit(char Byte) { return Byte >= '0' && Byte <= '9'; }

bool matches(char Byte, char Wanted) {
  switch (Wanted) {
  case 'd':
    return isDigit(Byte);
  case 's':
    return Byte >= '1' && Byte <= '5';
  case 'e':
    return Byte == ' ' || Byte == '\r' || Byte == '\n';
  default:
    return Byte == Wanted;
  }
}

} // namespace

StatusLineCheck checkStatusLine(std::string_view Start) {
  for (std::size_t At = 0; At < Pattern.size(); ++At) {
    if (At == Start.size())
      return StatusLineCheck::Unfinished;
    if (!matches(Start[At], Pattern[At]))
      return StatusLineCheck::Unsound;
  }
  return StatusLineCheck::Sound;
}

} // namespace havenstair
