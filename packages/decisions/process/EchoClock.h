/// \file
/// Bounds the age of peers' messages by this box's own clock.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_ECHOCLOCK_H
#define HAVENSTAIR_DECISIONS_PROCESS_ECHOCLOCK_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include <cstdint>
#include <deque>
#include <map>

namespace havenstair {

/// Each box numbers its messages and echoes the last number that it received
/// from the peer. A message that echoes a number was sent after this box sent
/// that number, however long it was delayed on the network or in a socket.
class EchoClock {
public:
  /// The number for a message sent at \p Now; the first is 1.
  std::uint64_t nextNumber(TimePoint Now);
  /// Records that the last message of \p From had \p Number.
  void recordReceived(const BoxName &From, std::uint64_t Number);
  /// The number to echo to \p To; 0 when nothing has come from it.
  std::uint64_t echoFor(const BoxName &To) const;
  /// When number \p Echo was sent; a message that echoes it was sent no
  /// earlier. The epoch for 0, for numbers that were never sent, and for those
  /// too old to be remembered.
  TimePoint sentAt(std::uint64_t Echo) const;
  /// Forgets what was received from \p Box.
  void forget(const BoxName &Box) { m_LastReceived.erase(Box); }

private:
  /// The last number received from each peer.
  std::map<BoxName, std::uint64_t> m_LastReceived;
  /// When the last numbers were sent, the newest last.
  std::deque<TimePoint> m_SentAt;
  /// The last number that was sent; 0 before the first.
  std::uint64_t m_Last = 0;
};

} // namespace havenstair

#endif
