#include "decisions/request/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace havenstair {

namespace {

constexpr std::string_view IdField = "id:";

/// Position after the last blank line of \p Text; 0 without one. Lines end with
/// LF or CRLF (HTML Living Standard, section 9.2.6).
std::size_t endOfEvents(std::string_view Text) {
  const std::size_t AfterLf = Text.rfind("\n\n");
  const std::size_t AfterCrLf = Text.rfind("\n\r\n");
  std::size_t End = 0;
  if (AfterLf != std::string_view::npos)
    End = AfterLf + 2;
  if (AfterCrLf != std::string_view::npos)
    End = std::max(End, AfterCrLf + 3);
  return End;
}

} // namespace

std::string EventSplitter::feed(std::string_view Bytes) {
  m_Rest.append(Bytes);
  const std::size_t End = endOfEvents(m_Rest);
  std::string Complete = m_Rest.substr(0, End);
  m_Rest.erase(0, End);
  recordIds(Complete);
  return Complete;
}

void EventSplitter::recordIds(std::string_view Events) {
  std::size_t Start = 0;
  while (Start < Events.size()) {
    const std::size_t End = std::min(Events.find('\n', Start), Events.size());
    std::string_view Line = Events.substr(Start, End - Start);
    Start = End + 1;
    if (!Line.starts_with(IdField))
      continue;
    Line.remove_prefix(IdField.size());
    while (Line.starts_with(' '))
      Line.remove_prefix(1);
    std::int64_t Id = 0;
    const auto Parsed =
        std::from_chars(Line.data(), Line.data() + Line.size(), Id);
    if (Parsed.ec == std::errc())
      m_LastId = Id;
  }
}

} // namespace havenstair
