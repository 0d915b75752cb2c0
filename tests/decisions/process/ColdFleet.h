/// \file
/// Simulates boxes that send to one upstream with little capacity.
#ifndef HAVENSTAIR_TESTS_DECISIONS_COLDFLEET_H
#define HAVENSTAIR_TESTS_DECISIONS_COLDFLEET_H

#include "decisions/process/PermitIssuer.h"
#include "decisions/process/QuotaLedger.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace havenstair {

inline constexpr WarmUpSpec Spec{.m_ColdTime = 3s, .m_RequestsPerSecond = 6.6};
inline constexpr WarmUpTolerance Tolerance{.m_Factor = 1.5, .m_Allowance = 5};

/// The bound of the upstream, and the most arrivals allowed in a time span.
struct FleetBound {
  SendBound m_Bound;
  double m_RatePerSecond = 0;
  Duration m_Span = 0us;
  double m_Most = 0; ///< Arrivals allowed in any time of length `m_Span`.

  static FleetBound cold() {
    return {.m_Bound = {.m_Cold = Spec, .m_LimitPerSecond = std::nullopt},
            .m_RatePerSecond = Spec.m_RequestsPerSecond,
            .m_Span = 1s,
            .m_Most = Tolerance.maxRate(Spec)};
  }
  static FleetBound limit(double RatePerSecond) {
    return {
        .m_Bound = {.m_Cold = std::nullopt, .m_LimitPerSecond = RatePerSecond},
        .m_RatePerSecond = RatePerSecond,
        .m_Span = 4s,
        .m_Most = 4 * 1.5 * RatePerSecond + 5};
  }
};

/// Random numbers by xorshift64, which yields the same ones for the same seed
/// on every machine.
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

/// How boxes share the rate.
enum class Strategy {
  Issuer,     ///< As the product does it: one box issues permits.
  FullIssuer, ///< The same, but each issuer issues all that is allowed.
  TimeSlots,  ///< Each box sends in time slots of its own, without messages.
  Buckets     ///< Relays report to each other what they used.
};

/// Boxes and one upstream, for which requests arrive all the time. The first
/// nine boxes are relays, three of them in the upstream's data centre.
class ColdFleet {
public:
  static constexpr std::size_t Relays = 9;
  static constexpr std::size_t LocalRelays = 3;
  static constexpr Duration ReportInterval = 40ms;

  ColdFleet(Strategy How, std::uint64_t Seed, double Load,
            const FleetBound &Bound = FleetBound::cold(),
            std::size_t Boxes = 90)
      : m_Strategy(How), m_Dice(Seed), m_Load(Load), m_Bound(Bound),
        m_Boxes(Boxes), m_Permits(Relays, permits()), m_Lists(Relays),
        m_Reached(Relays), m_Incarnations(Relays, 0),
        m_Frozen(Boxes, TimePoint{}), m_NextOfBox(Boxes) {
    for (std::size_t Each = 0; Each < LocalRelays; ++Each)
      m_Store.insert(name(Each));
    for (std::size_t At = 0; At < Relays; ++At) {
      m_Lists[At] = m_Store;
      m_Reached[At] = m_Store;
      m_Buckets.push_back(bucket());
    }
    // Boxes learn at different times that the upstream turned cold.
    for (std::size_t Each = 0; Each < m_Boxes; ++Each)
      m_Phase.push_back(m_Dice.upTo(300ms));
    // Long before the upstream is bounded.
    for (std::size_t At = 0; At < Relays; ++At)
      refreshRole(At);
    if (How == Strategy::Buckets)
      reportUse();
    m_Now += PermitIssuer::ListConvergence;
    run(m_Now);
    m_Arrivals.clear();
    m_From = m_Now;
    arrive();
  }

  void play(Duration Length) { run(m_Now + Length); }

  /// Kills a relay, which starts again under another name. Its previous entry
  /// stays in the store until its lease expires.
  void kill(std::size_t At) {
    const BoxName Old = name(At);
    ++m_Incarnations[At];
    m_Permits[At] = permits();
    m_Buckets[At] = bucket();
    m_Reached[At].clear();
    m_Lists[At].clear();
    if (At >= LocalRelays)
      return linksChanged();
    later(Lease, callers(), [=, this] { changeEntry(Old, false); });
    writeEntry(At);
    linksChanged();
  }
  /// Partitions the relays below \p Below from the others. With \p Store the
  /// former lose the store as well.
  void cut(std::size_t Below, bool Store) {
    m_Cut = Below;
    m_StoreCut = Store;
    linksChanged();
    for (std::size_t At = 0; At < LocalRelays; ++At)
      later(Lease, callers(), [=, this, Name = name(At)] {
        if (Name == name(At) && !reachesStore(At))
          changeEntry(Name, false);
      });
    if (!Store)
      for (std::size_t At = 0; At < LocalRelays; ++At)
        writeEntry(At);
  }
  void heal() { cut(0, false); }
  void freeze(std::size_t Box, Duration For) { m_Frozen[Box] = m_Now + For; }

  std::size_t boxes() const { return m_Boxes; }
  /// Most arrivals in any time of length `FleetBound::m_Span`.
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
  /// Arrivals as a fraction of the rate.
  double used() const {
    return static_cast<double>(m_Arrivals.size()) /
           (m_Bound.m_RatePerSecond * inSeconds(m_Now - m_From));
  }

private:
  static constexpr Duration Patience = 500ms;
  static constexpr Duration Lease = 6s;

  Duration evenGap() const {
    const double Rate = Tolerance.m_Factor * m_Bound.m_RatePerSecond;
    return fromMillis(1000 * static_cast<double>(m_Boxes) / Rate);
  }
  PermitIssuer permits() const { return PermitIssuer(Tolerance); }
  SendBound believed() const {
    SendBound Result = m_Bound.m_Bound;
    if (m_Strategy == Strategy::FullIssuer && Result.m_Cold)
      Result.m_Cold->m_RequestsPerSecond *= 2.5;
    if (m_Strategy == Strategy::FullIssuer && Result.m_LimitPerSecond)
      Result.m_LimitPerSecond = *Result.m_LimitPerSecond * 2.5;
    return Result;
  }
  Quorum quorum() const {
    return m_Bound.m_Bound.m_LimitPerSecond ? Quorum::Half : Quorum::Majority;
  }
  QuotaLedger bucket() const {
    QuotaLedger Ledger({.m_Tolerance = {.m_Window = m_Bound.m_Span,
                                        .m_Overage = Tolerance.m_Factor - 1,
                                        .m_Allowance = Tolerance.m_Allowance}});
    Ledger.setBoxes(1, Relays, m_Now);
    Organisation Upstream;
    Upstream.m_Name = "e";
    Upstream.m_Quota.m_RatePerSecond = m_Bound.m_RatePerSecond;
    Upstream.m_Quota.m_Burst = 1;
    Ledger.configure({Upstream}, m_Now);
    return Ledger;
  }
  BoxName name(std::size_t At) const {
    return BoxName("relay-" + std::to_string(At) + "." +
                   std::to_string(m_Incarnations[At]));
  }
  void refreshRole(std::size_t At) {
    std::set<BoxName> Reached = m_Reached[At];
    Reached.insert(name(At));
    const bool Issues =
        issuerOf("e", m_Lists[At], Reached, quorum()) == name(At);
    const bool First = issuerOf("e", m_Lists[At], m_Lists[At]) == name(At);
    std::map<InstanceId, IssuerAssignment> Upstreams;
    if (Issues)
      Upstreams["e"] = {.m_First = First, .m_BoundSince = std::nullopt};
    m_Permits[At].setUpstreams(Upstreams, m_Now);
  }
  bool reachesStore(std::size_t At) const { return !m_StoreCut || At >= m_Cut; }
  /// Writes the entry of \p At to the store, if that is reachable.
  void writeEntry(std::size_t At) {
    if (reachesStore(At))
      changeEntry(name(At), true);
  }
  /// Relays read the store's list some time after it changes.
  void changeEntry(const BoxName &Entry, bool Listed) {
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
  /// Relays learn of a lost or new link some time later.
  void linksChanged() {
    for (std::size_t At = 0; At < Relays; ++At)
      later(m_Dice.upTo(1s), At, [=, this] {
        m_Reached[At].clear();
        for (std::size_t Other = 0; Other < LocalRelays; ++Other)
          if (linked(At, Other))
            m_Reached[At].insert(name(Other));
        refreshRole(At);
      });
  }
  bool linked(std::size_t A, std::size_t B) const {
    return (A < m_Cut) == (B < m_Cut);
  }

  /// Runs \p What at \p Box, later if the box is frozen by then.
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
  /// Delay of a message; few take long.
  Duration delay() {
    return m_Dice.unit() < 0.02 ? m_Dice.upTo(400ms) : 1ms + m_Dice.upTo(6ms);
  }

  void arrive() {
    const double Gap = 1000 / (m_Load * m_Bound.m_RatePerSecond);
    const std::size_t Box = m_Dice.below(m_Boxes);
    request(Box);
    // Callers are not part of a box, so they never freeze.
    m_Events.emplace(m_Now + m_Dice.upTo(fromMillis(2 * Gap)),
                     Event{callers(), [this] { arrive(); }});
  }
  void request(std::size_t Box) {
    if (m_Frozen[Box] > m_Now)
      return;
    if (m_Strategy == Strategy::TimeSlots)
      return sendInSlot(Box);
    const std::size_t Relay =
        Box < Relays ? Box : 3 * (Box % 3) + m_Dice.below(3);
    const int Copies = m_Dice.unit() < 0.02 ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      later(delay(), Relay,
            [=, this, Asked = m_Now] { atRelay(Relay, Box, Asked); });
  }
  void sendInSlot(std::size_t Box) {
    const Duration Slot = evenGap() / m_Boxes;
    const Duration Since = m_Now - TimePoint{} + m_Phase[Box];
    const Duration Turn = evenGap() - (Since - Box * Slot) % evenGap();
    if (Turn > Patience || m_NextOfBox[Box] > m_Now)
      return;
    m_NextOfBox[Box] = m_Now + Turn + Slot;
    later(Turn, Box, [this] { send(); });
  }
  void atRelay(std::size_t Relay, std::size_t Box, TimePoint Asked) {
    if (m_Strategy == Strategy::Buckets) {
      const QuotaRequest One{.m_Units = 1, .m_Patience = Patience};
      const QuotaVerdict Verdict = m_Buckets[Relay].trySpend("e", One, m_Now);
      return answer(Box, Asked,
                    {.m_Granted = Verdict.granted(), .m_After = 0us});
    }
    std::set<BoxName> Reached = m_Reached[Relay];
    if (Relay < LocalRelays)
      Reached.insert(name(Relay));
    const auto Issuer = issuerOf("e", m_Lists[Relay], Reached, quorum());
    for (std::size_t Other = 0; Other < LocalRelays; ++Other)
      if (Issuer == name(Other) && linked(Relay, Other))
        later(Other == Relay ? 0us : delay(), Other,
              [=, this] { atIssuer(Other, Box, Asked); });
  }
  void atIssuer(std::size_t Relay, std::size_t Box, TimePoint Asked) {
    answer(Box, Asked, m_Permits[Relay].ask("e", believed(), Patience, m_Now));
  }
  void answer(std::size_t Box, TimePoint Asked, const PermitVerdict &Verdict) {
    if (!Verdict.m_Granted)
      return;
    later(delay() + delay(), Box, [=, this] {
      const TimePoint Lapses = Asked + PermitIssuer::Validity;
      if (m_Now > Lapses)
        return;
      later(Verdict.m_After, Box, [=, this] {
        if (m_Now <= Lapses + Verdict.m_After)
          send();
      });
    });
  }
  /// Requests arrive in bunches, as links deliver them.
  void send() {
    constexpr Duration Bunch = 100ms;
    const auto Ticks = (m_Now - TimePoint{}) / Bunch + 1;
    m_Arrivals.push_back(TimePoint(Ticks * Bunch) + m_Dice.upTo(20ms));
  }

  void reportUse() {
    for (std::size_t From = 0; From < Relays; ++From) {
      m_Buckets[From].tick(m_Now);
      const QuotaReports Reports = m_Buckets[From].takeReports(true, m_Now);
      for (std::size_t To = 0; To < Relays; ++To)
        if (To != From && linked(From, To))
          later(delay(), To, [=, this, Name = name(From)] {
            m_Buckets[To].receive(Name, 1, true, Reports, m_Now);
          });
    }
    m_Events.emplace(m_Now + ReportInterval,
                     Event{callers(), [this] { reportUse(); }});
  }

  /// The callers are the last box, which is never frozen.
  std::size_t callers() const { return m_Boxes - 1; }

  struct Event {
    std::size_t m_Box;
    std::function<void()> m_What;
  };

  Strategy m_Strategy;
  Dice m_Dice;
  double m_Load;
  FleetBound m_Bound;
  std::size_t m_Boxes;
  std::vector<PermitIssuer> m_Permits;
  std::vector<QuotaLedger> m_Buckets;
  std::vector<std::set<BoxName>> m_Lists;
  std::vector<std::set<BoxName>> m_Reached;
  std::vector<int> m_Incarnations;
  std::vector<TimePoint> m_Frozen;
  std::vector<TimePoint> m_NextOfBox;
  std::vector<Duration> m_Phase;
  std::set<BoxName> m_Store; ///< The list of relays near the upstream.
  std::size_t m_Cut = 0;     ///< Relays below it do not hear the others.
  bool m_StoreCut = false;   ///< They do not reach the store either.
  std::multimap<TimePoint, Event> m_Events;
  std::vector<TimePoint> m_Arrivals;
  TimePoint m_Now{1000s};
  TimePoint m_From{};
};

} // namespace havenstair

#endif
