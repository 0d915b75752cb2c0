/// \file
/// Simulates boxes that send to one upstream that crashes when it has to reject
/// too many requests in a second.
#ifndef HAVENSTAIR_TESTS_DECISIONS_ROOMFLEET_H
#define HAVENSTAIR_TESTS_DECISIONS_ROOMFLEET_H

#include "decisions/process/ColdFleet.h"
#include "decisions/process/RoomLedger.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace havenstair {

/// Who decides whether a request may be sent.
enum class RoomStrategy {
  Ledger, ///< One box counts the requests at the upstream and issues permits.
  Loads   ///< Each box, by loads that lag behind and its part of the refusals.
};

/// All times are simulated. Messages between boxes take 1 to 20 ms.
class RoomFleet {
public:
  struct Options {
    RoomStrategy m_Strategy = RoomStrategy::Ledger;
    std::size_t m_Boxes = 8;
    RoomBound m_Bound;
    double m_Load = 2;       ///< Demand as a multiple of the capacity.
    double m_LostEnds = 0;   ///< Fraction of reports of an end that are lost.
    bool m_Shrinks = false;  ///< Fewer slots are available at times.
    Duration m_Work = 200ms; ///< Mean time that a request runs.
  };

  RoomFleet(const Options &Opts, std::uint64_t Seed)
      : m_Opts(Opts), m_Draw(Seed), m_Available(Opts.m_Bound.m_Slots),
        m_Ledger(Opts.m_Bound, 0), m_Own(Opts.m_Boxes),
        m_ClosedUntil(Opts.m_Boxes) {
    schedule(0us, [this] { arrive(); });
    schedule(250ms, [this] { shareLoads(); });
    schedule(1s, [this] { reconcile(); });
    if (Opts.m_Shrinks)
      schedule(3s, [this] { shrink(); });
  }

  void play(Duration For) {
    const TimePoint End = m_Now + For;
    while (m_Events.begin()->first <= End) {
      const auto Next = m_Events.begin();
      m_Now = Next->first;
      const auto Run = std::move(Next->second);
      m_Events.erase(Next);
      Run();
    }
    m_Now = End;
  }

  /// Most refusals in any second.
  std::size_t maxRefusals() const {
    std::size_t Most = 0;
    for (std::size_t First = 0, Next = 0; Next < m_Refusals.size(); ++Next) {
      while (m_Refusals[Next] - m_Refusals[First] >= 1s)
        ++First;
      Most = std::max(Most, Next - First + 1);
    }
    return Most;
  }
  /// Fraction of the slots' time that was used.
  double used() const { return m_WorkDone / capacity(); }

private:
  double capacity() const {
    return inSeconds(m_Now - TimePoint()) * m_Opts.m_Bound.m_Slots;
  }
  void schedule(Duration After, std::function<void()> Run) {
    m_Events.emplace(m_Now + After, std::move(Run));
  }
  Duration transit() { return 1ms + m_Draw.upTo(19ms); }

  void arrive() {
    const double PerSecond =
        m_Opts.m_Load * m_Opts.m_Bound.m_Slots / inSeconds(m_Opts.m_Work);
    schedule(2 * m_Draw.upTo(fromSeconds(1 / PerSecond)), [this] { arrive(); });
    const std::size_t Box = m_Draw.below(m_Opts.m_Boxes);
    if (m_Opts.m_Strategy == RoomStrategy::Ledger)
      return schedule(transit(), [this, Box] { askLedger(Box); });
    const int Seen = m_SharedLoad - ownShared(Box) + m_Own[Box];
    if (Seen < m_Opts.m_Bound.m_Slots && m_Now >= m_ClosedUntil[Box])
      send(Box);
  }

  void askLedger(std::size_t Box) {
    if (!m_Ledger.hasRoom(m_Now))
      return;
    m_Ledger.recordSend(m_Now);
    schedule(transit(), [this, Box] { send(Box); });
  }

  int ownShared(std::size_t Box) const {
    return m_OwnAtSharing.empty() ? 0 : m_OwnAtSharing[Box];
  }

  void send(std::size_t Box) {
    ++m_Own[Box];
    schedule(m_Draw.upTo(3ms), [this, Box] { atUpstream(Box); });
  }

  void atUpstream(std::size_t Box) {
    if (m_Running >= m_Available) {
      m_Refusals.push_back(m_Now);
      m_ClosedUntil[Box] =
          m_Now +
          fromSeconds(2 * static_cast<double>(m_Opts.m_Boxes) /
                      std::max(1.0, m_Opts.m_Bound.m_RefusalsPerSecond));
      return end(Box, true);
    }
    ++m_Running;
    const Duration Work = m_Opts.m_Work / 2 + m_Draw.upTo(m_Opts.m_Work);
    schedule(Work, [this, Box, Work] {
      --m_Running;
      m_WorkDone += inSeconds(Work);
      end(Box, false);
    });
  }

  void end(std::size_t Box, bool Refused) {
    --m_Own[Box];
    if (m_Draw.unit() >= m_Opts.m_LostEnds)
      schedule(transit(),
               [this, Refused] { m_Ledger.recordEnd(Refused, m_Now); });
  }

  void shareLoads() {
    schedule(250ms, [this] { shareLoads(); });
    m_OwnAtSharing = m_Own;
    m_SharedLoad = 0;
    for (int Each : m_Own)
      m_SharedLoad += Each;
  }

  void reconcile() {
    schedule(1s, [this] { reconcile(); });
    m_Ledger.reconcile(m_SharedLoad);
  }

  void shrink() {
    schedule(3s, [this] { shrink(); });
    const int Half = m_Opts.m_Bound.m_Slots / 2;
    m_Available = m_Opts.m_Bound.m_Slots -
                  static_cast<int>(m_Draw.below(
                      static_cast<std::size_t>(std::max(1, Half + 1))));
  }

  Options m_Opts;
  Dice m_Draw;
  TimePoint m_Now;
  std::multimap<TimePoint, std::function<void()>> m_Events;
  int m_Available = 1; ///< Slots that can be used.
  int m_Running = 0;
  double m_WorkDone = 0; ///< In seconds of a slot.
  std::vector<TimePoint> m_Refusals;
  RoomLedger m_Ledger;
  std::vector<int> m_Own; ///< Requests in flight, by box.
  std::vector<int> m_OwnAtSharing;
  int m_SharedLoad = 0;
  std::vector<TimePoint> m_ClosedUntil;
};

} // namespace havenstair

#endif
