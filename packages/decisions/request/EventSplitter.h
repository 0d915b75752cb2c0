/// \file
/// Splits a stream of server-sent events between its events.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_EVENTSPLITTER_H
#define HAVENSTAIR_DECISIONS_REQUEST_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace havenstair {

/// Passes on complete events only and buffers the incomplete last one. A stream
/// that is resumed at another upstream continues with a complete event, so the
/// caller must not have been sent half of one.
class EventSplitter {
public:
  /// Appends \p Bytes. \returns all events that are now complete.
  std::string feed(std::string_view Bytes);
  /// Bytes after the last complete event.
  const std::string &rest() const { return m_Rest; }
  void dropRest() { m_Rest.clear(); }
  /// Numeric id of the last complete event that has one; empty before that.
  std::optional<std::int64_t> lastId() const { return m_LastId; }

private:
  void recordIds(std::string_view Events);

  std::string m_Rest;
  std::optional<std::int64_t> m_LastId;
};

} // namespace havenstair

#endif
