/// \file
/// How old the words of other boxes are, by this box's own clock.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_ECHOCLOCK_H
#define HAVENSTAIR_DECISIONS_PROCESS_ECHOCLOCK_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include <cstdint>
#include <deque>
#include <map>

namespace havenstair {

/// Each box numbers what it tells, and echoes the last number that it got from
/// the receiver. A word that echoes a number was said after this box told that
/// number, however long it was held up on the way or in a socket.
class EchoClock {
public:
  /// The number of what is told at \p Now; the first is 1.
  std::uint64_t nextNumber(TimePoint Now);
  void recordReceived(const BoxName &From, std::uint64_t Number);
  /// What to echo to \p To; 0 before it has told anything.
  std::uint64_t echoFor(const BoxName &To) const;
  /// When \p Echo was told: what echoes it is not older. The beginning of time
  /// for 0, and for numbers that are long past.
  TimePoint sentAt(std::uint64_t Echo) const;
  void forget(const BoxName &Box) { m_LastReceived.erase(Box); }

private:
  std::map<BoxName, std::uint64_t> m_LastReceived;
  std::deque<TimePoint> m_SentAt; ///< Of the last numbers, the newest last.
  std::uint64_t m_Last = 0;
};

} // namespace havenstair

#endif
