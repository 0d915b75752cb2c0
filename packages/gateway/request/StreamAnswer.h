/// \file
/// What the caller of one request has been given of a stream.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_STREAMANSWER_H
#define HAVENSTAIR_GATEWAY_REQUEST_STREAMANSWER_H

#include "decisions/common/Time.h"
#include "decisions/request/EventSplitter.h"
#include "wire/common/HttpClient.h"
#include "wire/common/HttpServer.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace havenstair {

/// Passes whole events of one or more sends on as one stream, and tells whether
/// a send's part of it has been broken off.
class StreamAnswer {
public:
  /// How a send has ended.
  struct SendEnd {
    HttpEnd m_End = HttpEnd::Complete;
    bool m_FromBox = false; ///< It went to another box.
    bool m_Resumed = false; ///< Only the rest of a stream was requested.
    /// An upstream may have begun the stream for this request.
    bool m_MayHaveRun = false;
  };

  /// \p LastEvent is the last event that the caller has; empty if it has none.
  explicit StreamAnswer(std::optional<std::int64_t> LastEvent)
      : m_LastEvent(LastEvent) {}

  /// Begins to read the answer to another send.
  void beginSend() { m_Events = EventSplitter(); }
  /// \returns the events that \p Bytes complete, to be passed on.
  std::string feed(std::string_view Bytes) { return m_Events.feed(Bytes); }
  /// \returns the bytes after the last complete event.
  const std::string &rest() const { return m_Events.rest(); }
  /// Forgets the bytes after the last complete event.
  void dropRest() { m_Events = EventSplitter(); }
  /// Records that events of the present send are passed on.
  void onPassed(TimePoint Now);
  /// Records that the present send has ended.
  void onSendEnded(const SendEnd &Ended);
  /// \returns whether a send that has ended was broken off by its upstream: an
  /// event is incomplete, or events are known to be missing.
  bool brokeOff(const SendEnd &Ended) const;

  /// \returns whether the caller has received a part of the stream.
  bool begun() const { return m_Begun; }
  /// \returns the last event that the caller has; empty if it has none.
  const std::optional<std::int64_t> &lastEvent() const { return m_LastEvent; }
  /// \returns the longest time between two events.
  Duration longestGap() const { return m_LongestGap; }
  /// Records the framing that the caller's answer has.
  void setFraming(AnswerFraming Framing) { m_Framing = Framing; }
  /// \returns whether the end of the caller's stream would say more than \p End
  /// does.
  bool claimsMore(HttpEnd End) const {
    return End == HttpEnd::Closed && m_Begun &&
           m_Framing == AnswerFraming::Chunks;
  }

private:
  EventSplitter m_Events; ///< Of the present send.
  std::optional<std::int64_t> m_LastEvent;
  bool m_Begun = false;
  bool m_PartSeen = false; ///< A send ended inside an event.
  std::optional<TimePoint> m_LastPassedAt;
  Duration m_LongestGap = 0us;
  /// Of use once the stream has begun.
  AnswerFraming m_Framing = AnswerFraming::Chunks;
};

} // namespace havenstair

#endif
