/// \file
/// Cuts a stream of server-sent events at the ends of its events.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_EVENTSPLITTER_H
#define HAVENSTAIR_DECISIONS_REQUEST_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace havenstair {

/// Holds back the part of an event that has not yet ended: when the stream
/// goes on elsewhere, the caller must not see half of one.
class EventSplitter {
public:
  /// Takes bytes as they come. \returns all events that are whole now.
  std::string feed(std::string_view Bytes);
  /// Bytes after the last whole event.
  const std::string &rest() const { return m_Rest; }
  void dropRest() { m_Rest.clear(); }
  /// Number of the last whole event that named one.
  std::optional<std::int64_t> lastId() const { return m_LastId; }

private:
  void recordIds(std::string_view Events);

  std::string m_Rest;
  std::optional<std::int64_t> m_LastId;
};

} // namespace havenstair

#endif
