/// \file
/// What bounds a caller's connection at each of its stages. See
/// docs/design/caller-timeouts.md.
#ifndef HAVENSTAIR_DECISIONS_CONNECTION_CONNECTIONTIMEOUT_H
#define HAVENSTAIR_DECISIONS_CONNECTION_CONNECTIONTIMEOUT_H

#include "decisions/common/Time.h"
#include <cstdint>
#include <optional>

namespace havenstair {

/// How long the caller of a connection may take.
struct CallerTimeouts {
  Duration m_Header = 10s; ///< From the first byte of a head to its last.
  Duration m_Idle = 60s;   ///< Without progress.

  bool operator==(const CallerTimeouts &) const = default;
};

enum class ConnectionStage {
  AwaitingHead, ///< No byte of a further request has come.
  InHead,       ///< A part of a head has come.
  InBody,       ///< A part of a body is due, also of one that is dropped.
  Answering,    ///< A request is open, and its own limits bound it.
  Delivering    ///< An answer was handed over, and may not have been read.
};

const char *toString(ConnectionStage Stage);

/// What is known of the bytes towards the caller.
struct SendProgress {
  bool m_Unsent = false; ///< Some wait in the process.
  /// Some are with the system, and the other side has not acknowledged them.
  bool m_Unacknowledged = false;
  /// Bytes that the other side has acknowledged; empty if the system does not
  /// tell.
  std::optional<std::uint64_t> m_Acknowledged;
  Duration m_SinceAcknowledgement{}; ///< Of the last one, of bytes or not.
};

/// Decides when the caller of a connection counts as idle. Whoever makes
/// progress does not, and while a request is open its caller has nothing to
/// send.
class ConnectionTimeout {
public:
  struct Look {
    std::optional<Duration> m_Expired; ///< The limit that has been reached.
    TimePoint m_Next;                  ///< When to look again if none has.
  };

  explicit ConnectionTimeout(TimePoint Now)
      : m_Since(Now), m_ReadAt(Now), m_SentAt(Now) {}

  void enter(ConnectionStage Stage, TimePoint Now);
  /// Bytes have come.
  void noteRead(TimePoint Now) { m_ReadAt = Now; }
  /// The system has taken bytes, or the first ones wait for it.
  void noteSent(TimePoint Now) { m_SentAt = Now; }

  Look look(const CallerTimeouts &Limits, const SendProgress &Sent,
            TimePoint Now);
  /// \returns when to look, if nothing happens until then.
  TimePoint nextLook(const CallerTimeouts &Limits, TimePoint Now) const;

  ConnectionStage stage() const { return m_Stage; }
  TimePoint readAt() const { return m_ReadAt; }
  TimePoint sentAt() const { return m_SentAt; }

private:
  void noteAcknowledged(const SendProgress &Sent, TimePoint Now);
  Duration limit(const CallerTimeouts &Limits) const;
  TimePoint lastProgress() const;

  ConnectionStage m_Stage = ConnectionStage::AwaitingHead;
  TimePoint m_Since; ///< Begin of the stage.
  TimePoint m_ReadAt;
  TimePoint m_SentAt;
  std::uint64_t m_Acknowledged = 0;
};

} // namespace havenstair

#endif
