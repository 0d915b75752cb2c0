/// \file
/// Counts the requests at one upstream that crashes when it has to reject too
/// many. See docs/design/brittle.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_ROOMLEDGER_H
#define HAVENSTAIR_DECISIONS_PROCESS_ROOMLEDGER_H

#include "decisions/common/Time.h"
#include <deque>

namespace havenstair {

/// What an upstream takes from all boxes together without a crash.
struct RoomBound {
  int m_Slots = 1; ///< Requests that it runs at once.
  /// Requests per second that it can reject for lack of room.
  double m_RefusalsPerSecond = 0;

  bool operator==(const RoomBound &) const = default;
};

/// Decides whether an upstream has room for one more request from any box. It
/// never lets requests wait at the upstream, as that may stop queueing them
/// without notice: no more than the slots are used. A refusal shows that fewer
/// are available; they are tried again a few at a time.
class RoomLedger {
public:
  /// Refusals that are reported within this time may have happened within one
  /// second.
  static constexpr Duration Window = 1200ms;
  /// Time in which the refusal of a request is reported.
  static constexpr Duration SettlingTime = 150ms;

  /// \p InFlight: requests that are at the upstream already.
  RoomLedger(const RoomBound &Bound, int InFlight);

  /// Takes over a changed bound.
  void setBound(const RoomBound &Bound);
  /// \returns whether one more request may be sent at \p Now.
  bool hasRoom(TimePoint Now);
  /// Records that a request is sent.
  void recordSend(TimePoint Now);
  /// Records that a request has ended. \p Refused: for lack of room.
  void recordEnd(bool Refused, TimePoint Now);
  /// Compares with the load \p Running that boxes report. Of a difference that
  /// lasts, what is more than reports lag behind is corrected. To be called
  /// about once a second.
  void reconcile(int Running);
  /// When a request that has no room may be tried again. Each call gives
  /// another time, at the rate at which requests end.
  TimePoint nextRetryAt(TimePoint Now);

  int inFlight() const { return m_InFlight; }
  /// The most requests in flight that are allowed at present.
  int limit() const { return m_Limit; }

private:
  void advance(TimePoint Now);
  std::size_t refusalBudget() const;

  RoomBound m_Bound;
  int m_InFlight = 0;
  int m_Limit = 1;
  TimePoint m_GrowsAt{};
  std::deque<TimePoint> m_Refusals; ///< Of the last `Window`.
  std::deque<TimePoint> m_Sends;    ///< Of the last `SettlingTime`.
  std::deque<TimePoint> m_Ends;     ///< Of the last second.
  std::deque<int> m_Excess; ///< Of the requests in flight over reported loads.
  TimePoint m_NextRetryAt{};
};

} // namespace havenstair

#endif
