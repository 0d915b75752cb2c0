/// \file
/// Messages between the boxes of a gateway fleet about how streams began.
/// See docs/design/stream-versions.md.
#ifndef HAVENSTAIR_WIRE_CONNECTION_STREAMFRAMES_H
#define HAVENSTAIR_WIRE_CONNECTION_STREAMFRAMES_H

#include "decisions/process/StreamOrigins.h"
#include "wire/common/Json.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace havenstair {

/// A stream whose first event a caller was given.
struct BegunStream {
  std::string m_Attempt; ///< Attempt that brought its first event.
  StreamOrigin m_Origin;
  /// Time for which its caller may take it up; whole milliseconds.
  Duration m_Left = 0us;

  bool operator==(const BegunStream &) const = default;
};

/// Streams that began at the sender. The receiver remembers them for others.
struct StreamsBegunFrame {
  std::vector<BegunStream> m_Streams;
  /// The receiver is to write them to the store when that is needed.
  bool m_Store = false;

  bool operator==(const StreamsBegunFrame &) const = default;
};

/// How did the stream begin that a caller takes up at the sender?
struct StreamQueryFrame {
  std::uint64_t m_Id = 0; ///< Of this query of the sender.
  std::string m_Attempt;  ///< Empty when the caller names none.
  std::string m_Service;
  /// The receiver, a relay, is to ask the other relays if it does not know.
  bool m_AskOthers = false;

  bool operator==(const StreamQueryFrame &) const = default;
};

/// What the receiver of a query knows.
struct StreamAnswerFrame {
  std::uint64_t m_Id = 0;
  StreamOrigins::Knowledge m_Stream;
  /// The only version that the service had of late; empty for none or several.
  std::optional<SoftwareVersion> m_Only;
  bool m_Several = false; ///< The service had several versions of late.

  bool operator==(const StreamAnswerFrame &) const = default;
};

Json toJson(const StreamsBegunFrame &Frame);
Json toJson(const StreamQueryFrame &Frame);
Json toJson(const StreamAnswerFrame &Frame);

/// \throws DecodeError for a value of another form.
void fromJson(const Json &From, StreamsBegunFrame &Frame);
void fromJson(const Json &From, StreamQueryFrame &Frame);
void fromJson(const Json &From, StreamAnswerFrame &Frame);

} // namespace havenstair

#endif
