#include "decisions/request/EventSplitter.h"

#include <charconv>

namespace havenstair {

namespace {

constexpr std::string_view IdField = "id:";
constexpr char CommentSign = ':';

/// The number that \p Line gives as an event's id; empty for other lines.
std::optional<std::int64_t> parseId(std::string_view Line) {
  if (!Line.starts_with(IdField))
    return std::nullopt;
  Line.remove_prefix(IdField.size());
  while (Line.starts_with(' '))
    Line.remove_prefix(1);
  std::int64_t Id = 0;
  const auto Parsed =
      std::from_chars(Line.data(), Line.data() + Line.size(), Id);
  return Parsed.ec == std::errc() ? std::optional(Id) : std::nullopt;
}

} // namespace

std::string EventSplitter::feed(std::string_view Bytes) {
  std::size_t At = m_Rest.size();
  m_Rest.append(Bytes);
  m_EventsEnd = 0;
  for (; At < m_Rest.size(); ++At)
    readByte(At);
  std::string Complete = m_Rest.substr(0, m_EventsEnd);
  m_Rest.erase(0, m_EventsEnd);
  m_LineStart -= m_EventsEnd;
  return Complete;
}

void EventSplitter::readByte(std::size_t At) {
  const char Byte = m_Rest[At];
  const bool SecondHalf = Byte == '\n' && m_AfterReturn;
  m_AfterReturn = Byte == '\r';
  if (SecondHalf) {
    // The line has ended with its CR.
    const bool EventEnded = m_EventsEnd == At;
    m_LineStart = At + 1;
    if (EventEnded)
      m_EventsEnd = At + 1;
    return;
  }
  if (Byte == '\n' || Byte == '\r')
    endLine(std::string_view(m_Rest).substr(m_LineStart, At - m_LineStart),
            At + 1);
}

void EventSplitter::endLine(std::string_view Line, std::size_t Next) {
  m_LineStart = Next;
  if (Line.empty())
    return endEvent(Next);
  if (Line.front() == CommentSign)
    return;
  m_FieldSeen = true;
  if (const auto Id = parseId(Line))
    m_PendingId = Id;
}

void EventSplitter::endEvent(std::size_t Next) {
  m_EventsEnd = Next;
  m_AnyEvent = m_AnyEvent || m_FieldSeen;
  m_FieldSeen = false;
  if (m_PendingId)
    m_LastId = m_PendingId;
  m_PendingId.reset();
}

} // namespace havenstair
