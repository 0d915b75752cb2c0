/// \file
/// Splits a stream of server-sent events between its events.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_EVENTSPLITTER_H
#define HAVENSTAIR_DECISIONS_REQUEST_EVENTSPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace havenstair {

/// Passes on complete events only and buffers the incomplete last one. A stream
/// that is resumed at another upstream continues with a complete event, so the
/// caller must not have been sent half of one. Lines end with LF, CRLF or CR
/// (HTML Living Standard, section 9.2.6).
class EventSplitter {
public:
  /// Appends \p Bytes. \returns all events that are now complete.
  std::string feed(std::string_view Bytes);
  /// Bytes after the last complete event.
  const std::string &rest() const { return m_Rest; }
  /// Whether rest() holds part of an event or of a line. Blank lines and
  /// comments belong to no event.
  bool insideEvent() const {
    return m_FieldSeen || m_LineStart < m_Rest.size();
  }
  /// Whether an event has been completed.
  bool anyEvent() const { return m_AnyEvent; }
  /// Numeric id of the last complete event that has one; empty before that.
  std::optional<std::int64_t> lastId() const { return m_LastId; }

private:
  void readByte(std::size_t At);
  void endLine(std::string_view Line, std::size_t Next);
  void endEvent(std::size_t Next);

  std::string m_Rest;
  std::size_t m_LineStart = 0; ///< Where the unfinished line begins in m_Rest.
  std::size_t m_EventsEnd = 0; ///< Where the last complete event ends in it.
  bool m_AfterReturn = false;  ///< The last byte was CR.
  bool m_FieldSeen = false;    ///< The unfinished event has a field.
  bool m_AnyEvent = false;
  std::optional<std::int64_t> m_PendingId; ///< Id of the unfinished event.
  std::optional<std::int64_t> m_LastId;
};

} // namespace havenstair

#endif
