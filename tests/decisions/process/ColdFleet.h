/// \file
/// A fleet of boxes before one server that bears little, on one clock.
#ifndef HAVENSTAIR_TESTS_DECISIONS_COLDFLEET_H
#define HAVENSTAIR_TESTS_DECISIONS_COLDFLEET_H

#include "decisions/process/QuotaBook.h"
#include "decisions/process/SendPermits.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace havenstair {

inline constexpr WarmUpSpec Spec{.m_After = 3s, .m_RequestsPerS = 6.6};
inline constexpr WarmUpTolerance Tolerance{.m_Factor = 1.5, .m_Allowance = 5};

/// What the server bears, and what is allowed in any time of some length.
struct FleetBound {
  SendBound m_Bound;
  double m_PerS = 0;
  Duration m_Span = 0us;
  double m_Most = 0;

  static FleetBound cold() {
    return {.m_Bound = {.m_Cold = Spec, .m_LimitPerS = std::nullopt},
            .m_PerS = Spec.m_RequestsPerS,
            .m_Span = 1s,
            .m_Most = Tolerance.mostPerS(Spec)};
  }
  static FleetBound limit(double PerS) {
    return {.m_Bound = {.m_Cold = std::nullopt, .m_LimitPerS = PerS},
            .m_PerS = PerS,
            .m_Span = 4s,
            .m_Most = 4 * 1.5 * PerS + 5};
  }
};

/// xorshift64: the same draws for the same seed on every machine.
class Dice {
public:
  explicit Dice(std::uint64_t Seed) : m_State(Seed * 2 + 1) {}

  double unit() {
    m_State ^= m_State << 13;
    m_State ^= m_State >> 7;
    m_State ^= m_State << 17;
    return static_cast<double>((m_State >> 11) % 1000003) / 1000003;
  }
  std::size_t below(std::size_t Bound) {
    return static_cast<std::size_t>(unit() * static_cast<double>(Bound));
  }
  Duration upTo(Duration Most) { return fromMillis(unit() * inMillis(Most)); }

private:
  std::uint64_t m_State;
};

/// How boxes keep the rate together; the first stands for what is built.
enum class Way {
  Admitter,     ///< One box gives out permits.
  FullAdmitter, ///< The same with all that is allowed to each admitter.
  Parts,        ///< Each box sends in turns of its own, without messages.
  Buckets       ///< Relays tell each other what they used.
};

/// Boxes and one server, for which requests come all the time. The first nine
/// boxes are relays, three of them in the server's data centre.
class ColdFleet {
public:
  static constexpr std::size_t Relays = 9;
  static constexpr std::size_t Near = 3;
  static constexpr Duration TellEvery = 40ms;

  ColdFleet(Way How, std::uint64_t Seed, double Load,
            const FleetBound &Bound = FleetBound::cold(),
            std::size_t Boxes = 90)
      : m_Way(How), m_Dice(Seed), m_Load(Load), m_Bound(Bound), m_Boxes(Boxes),
        m_Permits(Relays, permits()), m_Lists(Relays), m_Reached(Relays),
        m_Lives(Relays, 0), m_Frozen(Boxes, TimePoint{}), m_NextOfBox(Boxes) {
    for (std::size_t Each = 0; Each < Near; ++Each)
      m_Store.insert(name(Each));
    for (std::size_t At = 0; At < Relays; ++At) {
      m_Lists[At] = m_Store;
      m_Reached[At] = m_Store;
      m_Buckets.push_back(bucket());
    }
    // A box learns some time later when the server turned cold.
    for (std::size_t Each = 0; Each < m_Boxes; ++Each)
      m_Phase.push_back(m_Dice.upTo(300ms));
    // Long before the server bears little.
    for (std::size_t At = 0; At < Relays; ++At)
      refreshRole(At);
    if (How == Way::Buckets)
      tellUse();
    m_Now += SendPermits::ListsSettle;
    run(m_Now);
    m_Arrivals.clear();
    m_From = m_Now;
    arrive();
  }

  void play(Duration Length) { run(m_Now + Length); }

  /// Kills a relay; it starts again under another name, while its former entry
  /// stays in the store for a lease.
  void kill(std::size_t At) {
    const BoxName Old = name(At);
    ++m_Lives[At];
    m_Permits[At] = permits();
    m_Buckets[At] = bucket();
    m_Reached[At].clear();
    m_Lists[At].clear();
    if (At >= Near)
      return linksChanged();
    later(Lease, callers(), [=, this] { change(Old, false); });
    enter(At);
    linksChanged();
  }
  /// The relays below \p Below and the others no longer hear each other. The
  /// first ones may lose the store besides.
  void cut(std::size_t Below, bool Store) {
    m_Cut = Below;
    m_StoreCut = Store;
    linksChanged();
    for (std::size_t At = 0; At < Near; ++At)
      later(Lease, callers(), [=, this, Name = name(At)] {
        if (Name == name(At) && !reachesStore(At))
          change(Name, false);
      });
    if (!Store)
      for (std::size_t At = 0; At < Near; ++At)
        enter(At);
  }
  void heal() { cut(0, false); }
  void freeze(std::size_t Box, Duration For) { m_Frozen[Box] = m_Now + For; }

  std::size_t boxes() const { return m_Boxes; }
  /// Most arrivals in the time in which they are counted.
  std::size_t maxArrivalsInSpan() const {
    std::vector<TimePoint> At = m_Arrivals;
    std::sort(At.begin(), At.end());
    std::size_t Most = 0;
    for (std::size_t First = 0, Next = 0; Next < At.size(); ++Next) {
      while (At[Next] - At[First] >= m_Bound.m_Span)
        ++First;
      Most = std::max(Most, Next - First + 1);
    }
    return Most;
  }
  /// Part of the rate that arrived.
  double used() const {
    return static_cast<double>(m_Arrivals.size()) /
           (m_Bound.m_PerS * inSeconds(m_Now - m_From));
  }

private:
  static constexpr Duration Patience = 500ms;
  static constexpr Duration Lease = 6s;

  Duration evenGap() const {
    const double Rate = Tolerance.m_Factor * m_Bound.m_PerS;
    return fromMillis(1000 * static_cast<double>(m_Boxes) / Rate);
  }
  SendPermits permits() const { return SendPermits(Tolerance); }
  SendBound believed() const {
    SendBound Result = m_Bound.m_Bound;
    if (m_Way == Way::FullAdmitter && Result.m_Cold)
      Result.m_Cold->m_RequestsPerS *= 2.5;
    if (m_Way == Way::FullAdmitter && Result.m_LimitPerS)
      Result.m_LimitPerS = *Result.m_LimitPerS * 2.5;
    return Result;
  }
  Quorum quorum() const {
    return m_Bound.m_Bound.m_LimitPerS ? Quorum::Half : Quorum::Majority;
  }
  QuotaBook bucket() const {
    QuotaBook Book({.m_Tolerance = {.m_Window = m_Bound.m_Span,
                                    .m_Overage = Tolerance.m_Factor - 1,
                                    .m_Allowance = Tolerance.m_Allowance}});
    Book.setBoxes(1, Relays, m_Now);
    Organisation Server;
    Server.m_Name = "e";
    Server.m_Quota.m_RatePerS = m_Bound.m_PerS;
    Server.m_Quota.m_Burst = 1;
    Book.configure({Server}, m_Now);
    return Book;
  }
  BoxName name(std::size_t At) const {
    return BoxName("relay-" + std::to_string(At) + "." +
                   std::to_string(m_Lives[At]));
  }
  void refreshRole(std::size_t At) {
    std::set<BoxName> Reached = m_Reached[At];
    Reached.insert(name(At));
    const bool Admits =
        admitterOf("e", m_Lists[At], Reached, quorum()) == name(At);
    const bool First = admitterOf("e", m_Lists[At], m_Lists[At]) == name(At);
    std::map<InstanceId, AdmittedServer> Servers;
    if (Admits)
      Servers["e"] = {.m_First = First, .m_BoundSince = std::nullopt};
    m_Permits[At].admits(Servers, m_Now);
  }
  bool reachesStore(std::size_t At) const { return !m_StoreCut || At >= m_Cut; }
  /// The entry of \p At comes to the store, if it can.
  void enter(std::size_t At) {
    if (reachesStore(At))
      change(name(At), true);
  }
  /// All read the store's list some time after it changes.
  void change(const BoxName &Entry, bool Listed) {
    if (Listed)
      m_Store.insert(Entry);
    else
      m_Store.erase(Entry);
    for (std::size_t At = 0; At < Relays; ++At)
      later(m_Dice.upTo(1s), At, [=, this] {
        if (reachesStore(At))
          m_Lists[At] = m_Store;
        refreshRole(At);
      });
  }
  /// Boxes learn of a lost or new link some time later.
  void linksChanged() {
    for (std::size_t At = 0; At < Relays; ++At)
      later(m_Dice.upTo(1s), At, [=, this] {
        m_Reached[At].clear();
        for (std::size_t Other = 0; Other < Near; ++Other)
          if (linked(At, Other))
            m_Reached[At].insert(name(Other));
        refreshRole(At);
      });
  }
  bool linked(std::size_t A, std::size_t B) const {
    return (A < m_Cut) == (B < m_Cut);
  }

  /// Runs \p What at \p Box, after it has woken.
  void later(Duration After, std::size_t Box, std::function<void()> What) {
    m_Events.emplace(m_Now + After, Event{Box, std::move(What)});
  }
  void run(TimePoint Until) {
    while (!m_Events.empty() && m_Events.begin()->first <= Until) {
      auto Node = m_Events.extract(m_Events.begin());
      const TimePoint Wakes = m_Frozen[Node.mapped().m_Box];
      if (Wakes > Node.key()) {
        Node.key() = Wakes;
        m_Events.insert(std::move(Node));
        continue;
      }
      m_Now = Node.key();
      Node.mapped().m_What();
    }
    m_Now = Until;
  }
  /// Few messages take long, and few come twice.
  Duration way() {
    return m_Dice.unit() < 0.02 ? m_Dice.upTo(400ms) : 1ms + m_Dice.upTo(6ms);
  }

  void arrive() {
    const double Gap = 1000 / (m_Load * m_Bound.m_PerS);
    const std::size_t Box = m_Dice.below(m_Boxes);
    request(Box);
    // The callers are no box: their time goes on.
    m_Events.emplace(m_Now + m_Dice.upTo(fromMillis(2 * Gap)),
                     Event{callers(), [this] { arrive(); }});
  }
  void request(std::size_t Box) {
    if (m_Frozen[Box] > m_Now)
      return;
    if (m_Way == Way::Parts)
      return sendPart(Box);
    const std::size_t Relay =
        Box < Relays ? Box : 3 * (Box % 3) + m_Dice.below(3);
    const int Copies = m_Dice.unit() < 0.02 ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      later(way(), Relay,
            [=, this, Asked = m_Now] { atRelay(Relay, Box, Asked); });
  }
  void sendPart(std::size_t Box) {
    const Duration Slot = evenGap() / m_Boxes;
    const Duration Since = m_Now - TimePoint{} + m_Phase[Box];
    const Duration Turn = evenGap() - (Since - Box * Slot) % evenGap();
    if (Turn > Patience || m_NextOfBox[Box] > m_Now)
      return;
    m_NextOfBox[Box] = m_Now + Turn + Slot;
    later(Turn, Box, [this] { send(); });
  }
  void atRelay(std::size_t Relay, std::size_t Box, TimePoint Asked) {
    if (m_Way == Way::Buckets) {
      const QuotaRequest One{.m_Units = 1, .m_Patience = Patience};
      const QuotaVerdict Verdict = m_Buckets[Relay].trySpend("e", One, m_Now);
      return answer(Box, Asked,
                    {.m_Granted = Verdict.granted(), .m_After = 0us});
    }
    std::set<BoxName> Reached = m_Reached[Relay];
    if (Relay < Near)
      Reached.insert(name(Relay));
    const auto Admitter = admitterOf("e", m_Lists[Relay], Reached, quorum());
    for (std::size_t Other = 0; Other < Near; ++Other)
      if (Admitter == name(Other) && linked(Relay, Other))
        later(Other == Relay ? 0us : way(), Other,
              [=, this] { atAdmitter(Other, Box, Asked); });
  }
  void atAdmitter(std::size_t Relay, std::size_t Box, TimePoint Asked) {
    answer(Box, Asked, m_Permits[Relay].ask("e", believed(), Patience, m_Now));
  }
  void answer(std::size_t Box, TimePoint Asked, const PermitVerdict &Verdict) {
    if (!Verdict.m_Granted)
      return;
    later(way() + way(), Box, [=, this] {
      const TimePoint Lapses = Asked + SendPermits::Validity;
      if (m_Now > Lapses)
        return;
      later(Verdict.m_After, Box, [=, this] {
        if (m_Now <= Lapses + Verdict.m_After)
          send();
      });
    });
  }
  /// Links let requests through in bunches.
  void send() {
    constexpr Duration Bunch = 100ms;
    const auto Ticks = (m_Now - TimePoint{}) / Bunch + 1;
    m_Arrivals.push_back(TimePoint(Ticks * Bunch) + m_Dice.upTo(20ms));
  }

  void tellUse() {
    for (std::size_t From = 0; From < Relays; ++From) {
      m_Buckets[From].tick(m_Now);
      const QuotaWords Words = m_Buckets[From].takeNews(true, m_Now);
      for (std::size_t To = 0; To < Relays; ++To)
        if (To != From && linked(From, To))
          later(way(), To, [=, this, Name = name(From)] {
            m_Buckets[To].told(Name, 1, true, Words, m_Now);
          });
    }
    m_Events.emplace(m_Now + TellEvery,
                     Event{callers(), [this] { tellUse(); }});
  }

  /// The callers are the last box, which is never frozen.
  std::size_t callers() const { return m_Boxes - 1; }

  struct Event {
    std::size_t m_Box;
    std::function<void()> m_What;
  };

  Way m_Way;
  Dice m_Dice;
  double m_Load;
  FleetBound m_Bound;
  std::size_t m_Boxes;
  std::vector<SendPermits> m_Permits;
  std::vector<QuotaBook> m_Buckets;
  std::vector<std::set<BoxName>> m_Lists;
  std::vector<std::set<BoxName>> m_Reached;
  std::vector<int> m_Lives;
  std::vector<TimePoint> m_Frozen;
  std::vector<TimePoint> m_NextOfBox;
  std::vector<Duration> m_Phase;
  std::set<BoxName> m_Store; ///< The list of relays near the server.
  std::size_t m_Cut = 0;     ///< Relays below do not hear the others.
  bool m_StoreCut = false;   ///< They do not reach the store either.
  std::multimap<TimePoint, Event> m_Events;
  std::vector<TimePoint> m_Arrivals;
  TimePoint m_Now{1000s};
  TimePoint m_From{};
};

} // namespace havenstair

#endif
