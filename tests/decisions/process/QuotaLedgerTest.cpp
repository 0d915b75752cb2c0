#include "decisions/process/QuotaLedger.h"
#include "support/Draw.h"
#include "support/Names.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <vector>

using namespace havenstair;

namespace {

constexpr QuotaTolerance Tolerance{
    .m_Window = 8s, .m_Overage = 0.1, .m_Allowance = 110000};

Organisation limited(const std::string &Name, double Rate, double Burst) {
  return {.m_Name = Name,
          .m_Keys = {},
          .m_Priority = 0,
          .m_Quota = {.m_Unit = QuotaUnit::Tokens,
                      .m_RatePerSecond = Rate,
                      .m_Burst = Burst,
                      .m_DefaultTokens = 200}};
}

/// A settled ledger with full buckets that counts for all boxes.
QuotaLedger settledLedger(double Rate, double Burst, TimePoint Now) {
  QuotaLedger Ledger({.m_Tolerance = Tolerance});
  Ledger.setBoxes(1, 1, Now - 100s);
  Ledger.configure({limited("o", Rate, Burst)}, Now - 100s);
  Ledger.tick(Now);
  return Ledger;
}

/// How boxes share the limit.
enum class Strategy {
  Relays,  ///< As the product does it: relays send each other reports.
  Alone,   ///< Each box uses its own share, without reports.
  EachFull ///< Each box uses the whole limit.
};

/// Relays with ledgers, links between them with delays and partitions, and one
/// organisation that requests a multiple of its rate.
class QuotaFleet {
public:
  struct Options {
    std::size_t m_Relays = 6;
    std::size_t m_BoxesEach = 5;
    double m_Rate = 29000;
    Strategy m_Strategy = Strategy::Relays;
    Duration m_Patience = 250ms;
  };

  explicit QuotaFleet(Options Opts)
      : m_Opts(Opts), m_Sides(Opts.m_Relays, 0),
        m_Incarnations(Opts.m_Relays, 0) {
    for (std::size_t Number = 0; Number < Opts.m_Relays; ++Number)
      m_Ledgers.push_back(newLedger());
  }

  /// Simulates \p Length. \p Arrive returns the units of a request that arrives
  /// at a relay in one step, 0 for none.
  void play(Duration Length, const std::function<double(std::size_t)> &Arrive) {
    const TimePoint End = m_Now + Length;
    for (; m_Now < End; m_Now += Step) {
      deliver();
      for (std::size_t Left = m_Waiting.size(); Left > 0; --Left) {
        const Waiting First = m_Waiting.front();
        m_Waiting.pop_front();
        if (First.m_At <= m_Now)
          decide(First);
        else
          m_Waiting.push_back(First);
      }
      for (std::size_t At = 0; At < m_Ledgers.size(); ++At)
        request(At, Arrive(At));
      if ((m_Now - TimePoint{}) % ReportInterval == 0us)
        reportAll((m_Now - TimePoint{}) % (3 * ReportInterval) == 0us);
    }
  }

  /// Only relays on the same side of a partition hear each other.
  void setSide(std::size_t Relay, int Side) { m_Sides.at(Relay) = Side; }
  void restart(std::size_t Relay) {
    ++m_Incarnations.at(Relay);
    m_Ledgers.at(Relay) = newLedger();
  }

  /// The most that was used in a window, as a fraction of what is allowed.
  double worstWindow() const {
    const double Allowed =
        (m_Opts.m_Rate * inSeconds(Tolerance.m_Window) + m_Opts.m_Rate) *
            (1 + Tolerance.m_Overage) +
        Tolerance.m_Allowance;
    double Sum = 0;
    double Most = 0;
    std::size_t First = 0;
    for (const auto &[At, Units] : m_Used) {
      Sum += Units;
      while (At - m_Used[First].first >= Tolerance.m_Window)
        Sum -= m_Used[First++].second;
      Most = std::max(Most, Sum);
    }
    return Most / Allowed;
  }
  double used() const {
    double Sum = 0;
    for (const auto &[At, Units] : m_Used)
      Sum += Units;
    return Sum;
  }
  int refused() const { return m_Refused; }

  static constexpr Duration Step = 10ms;
  static constexpr Duration ReportInterval = 40ms;
  /// Three steps: a slow box between two data centres.
  static constexpr Duration Delay = 30ms;

private:
  struct Message {
    TimePoint m_At;
    std::size_t m_From;
    std::size_t m_To;
    int m_Incarnation;
    bool m_Settled;
    QuotaReports m_Reports;
  };

  /// A request that waits for its units or for the reports of other relays.
  struct Waiting {
    TimePoint m_At;
    std::size_t m_Relay;
    QuotaRequest m_Request;
  };

  QuotaLedger newLedger() const {
    const std::size_t All = m_Opts.m_Relays * m_Opts.m_BoxesEach;
    QuotaLedger Ledger({.m_Tolerance = Tolerance});
    Ledger.setBoxes(
        m_Opts.m_Strategy == Strategy::EachFull ? All : m_Opts.m_BoxesEach, All,
        m_Now);
    Ledger.configure({limited("o", m_Opts.m_Rate, m_Opts.m_Rate)}, m_Now);
    return Ledger;
  }

  void request(std::size_t At, double Units) {
    if (Units <= 0)
      return;
    decide({.m_At = m_Now,
            .m_Relay = At,
            .m_Request = {.m_Units = Units, .m_Patience = m_Opts.m_Patience}});
  }

  void decide(Waiting Request) {
    const QuotaVerdict Verdict =
        m_Ledgers[Request.m_Relay].trySpend("o", Request.m_Request, m_Now);
    if (Verdict.granted()) {
      m_Used.push_back({m_Now, Request.m_Request.m_Units});
    } else if (Verdict.m_Step == QuotaStep::Wait) {
      Request.m_At = m_Now + Verdict.m_After;
      Request.m_Request.m_Patience -= Verdict.m_After;
      Request.m_Request.m_Waited = true;
      m_Waiting.push_back(Request);
    } else {
      ++m_Refused;
    }
  }

  void reportAll(bool All) {
    for (std::size_t From = 0; From < m_Ledgers.size(); ++From) {
      QuotaLedger &Ledger = m_Ledgers[From];
      Ledger.tick(m_Now);
      const QuotaReports Reports = Ledger.takeReports(All, m_Now);
      if (m_Opts.m_Strategy != Strategy::Relays || (!All && Reports.empty()))
        continue;
      for (std::size_t To = 0; To < m_Ledgers.size(); ++To)
        if (To != From && m_Sides[To] == m_Sides[From])
          m_Messages.push_back({m_Now + Delay, From, To, m_Incarnations[From],
                                Ledger.settled(m_Now), Reports});
    }
  }

  void deliver() {
    while (!m_Messages.empty() && m_Messages.front().m_At <= m_Now) {
      const Message Each = std::move(m_Messages.front());
      m_Messages.pop_front();
      const BoxName From("relay-" + std::to_string(Each.m_From) + "." +
                         std::to_string(Each.m_Incarnation));
      m_Ledgers[Each.m_To].receive(From, m_Opts.m_BoxesEach, Each.m_Settled,
                                   Each.m_Reports, m_Now);
    }
  }

  Options m_Opts;
  std::vector<int> m_Sides;
  std::vector<int> m_Incarnations;
  std::vector<QuotaLedger> m_Ledgers;
  std::deque<Message> m_Messages;
  std::deque<Waiting> m_Waiting;
  std::vector<std::pair<TimePoint, double>> m_Used;
  int m_Refused = 0;
  TimePoint m_Now{1000s};
};

/// Requests of random sizes that together use \p Load times the rate.
class DrawnLoad {
public:
  DrawnLoad(std::uint64_t Seed, double Load, QuotaFleet::Options Fleet)
      : m_State(Seed * 2 + 1) {
    constexpr double Mean = (200 + 800 + 9190 + 17000) / 4.0;
    m_Chance = Load * Fleet.m_Rate * inSeconds(QuotaFleet::Step) / Mean /
               static_cast<double>(Fleet.m_Relays);
  }

  double operator()() {
    constexpr std::array<double, 4> Sizes{200, 800, 9190, 17000};
    double Units = 0;
    double Chance = m_Chance;
    // At most one request is made of those that arrive in one step.
    for (; Chance > 0; Chance -= 1)
      if (unit() < Chance)
        Units = Sizes[next() % Sizes.size()];
    return Units;
  }

private:
  std::uint64_t next() {
    // xorshift64 yields the same load for the same seed on every machine.
    m_State ^= m_State << 13;
    m_State ^= m_State >> 7;
    m_State ^= m_State << 17;
    return m_State >> 11;
  }
  double unit() { return static_cast<double>(next() % 1000003) / 1000003; }

  std::uint64_t m_State;
  double m_Chance;
};

/// The limit as one central counter would keep it.
class IdealBucket {
public:
  IdealBucket(double Rate, double Burst)
      : m_Rate(Rate), m_Burst(Burst), m_Level(Burst) {}

  bool take(double Units) {
    if (Units > m_Level)
      return false;
    m_Level -= Units;
    return true;
  }
  void step() {
    m_Level = std::min(m_Burst, m_Level + m_Rate * inSeconds(QuotaFleet::Step));
  }

private:
  double m_Rate;
  double m_Burst;
  double m_Level;
};

/// The outcome of requests that are all within the limit.
struct WithinLimit {
  int m_Asked = 0;
  int m_Refused = 0;
  double m_Used = 0;
};

/// Simulates a minute of requests that use \p Load times the rate, except for
/// those that a central counter would refuse.
WithinLimit playWithinLimit(const QuotaFleet::Options &Opts, double Load,
                            std::uint64_t Seed) {
  QuotaFleet Fleet(Opts);
  Fleet.play(10s, [](std::size_t) { return 0.0; });
  DrawnLoad Requests(Seed, Load, Opts);
  IdealBucket Ideal(Opts.m_Rate, Opts.m_Rate);
  int Asked = 0;
  Fleet.play(60s, [&](std::size_t Relay) {
    if (Relay == 0)
      Ideal.step();
    const double Units = Requests();
    if (Units == 0 || !Ideal.take(Units))
      return 0.0;
    ++Asked;
    return Units;
  });
  return {
      .m_Asked = Asked, .m_Refused = Fleet.refused(), .m_Used = Fleet.used()};
}

} // namespace

TEST_CASE("A bucket grants its burst and its rate, and tells when to retry",
          "[quota]") {
  const TimePoint Start(1000s);
  QuotaLedger Ledger = settledLedger(10000, 10000, Start);
  double Granted = 0;
  while (Ledger.trySpend("o", {.m_Units = 1000}, Start).granted())
    Granted += 1000;
  const double Slack =
      Tolerance.slack({.m_RatePerSecond = 10000, .m_Burst = 10000});
  REQUIRE(Granted >= 10000);
  REQUIRE(Granted <= 10000 + 0.5 * Slack + 1000);

  const QuotaVerdict First = Ledger.trySpend("o", {.m_Units = 1000}, Start);
  const QuotaVerdict Second = Ledger.trySpend("o", {.m_Units = 1000}, Start);
  REQUIRE_FALSE(First.granted());
  REQUIRE(Second.m_After - First.m_After >= 99ms);
  REQUIRE(Ledger.trySpend("o", {.m_Units = 1000}, Start + First.m_After + 1ms)
              .granted());
}

TEST_CASE("A large request gets through as often as a small one", "[quota]") {
  const TimePoint Start(1000s);
  QuotaLedger Ledger = settledLedger(29000, 29000, Start);
  std::array<int, 2> Granted{};
  for (int Step = 0; Step < 4000; ++Step) {
    const TimePoint Now = Start + Step * 10ms;
    // Each size alone would use three times the rate.
    if (Step % 10 == 0)
      Granted[0] +=
          Ledger.trySpend("o", {.m_Units = 9190}, Now).granted() ? 1 : 0;
    if (Step % 10 == 5)
      Granted[1] +=
          Ledger.trySpend("o", {.m_Units = 9190.0 / 4}, Now).granted() ? 1 : 0;
  }
  REQUIRE(Granted[0] > 0);
  REQUIRE(Granted[0] * 2 > Granted[1]);
}

TEST_CASE(
    "Use that a peer reports is subtracted once, and units given back return",
    "[quota]") {
  const TimePoint Start(1000s);
  QuotaLedger Ledger = settledLedger(10000, 10000, Start);
  Ledger.setBoxes(1, 2, Start);
  const BoxName Other = boxName(1);
  Ledger.receive(Other, 1, true, {}, Start);
  REQUIRE(Ledger.share() == 1);
  const double Full = Ledger.level("o", Start + 10s);
  const TimePoint Now = Start + 10s;
  Ledger.receive(Other, 1, true, {}, Now);
  Ledger.receive(Other, 1, true, {{"o", {.m_Used = 700, .m_Recent = 700}}},
                 Now);
  REQUIRE(Ledger.level("o", Now) == Full - 700);
  const double Before = Ledger.level("o", Now);
  Ledger.receive(Other, 1, true, {{"o", {.m_Used = 700, .m_Recent = 0}}}, Now);
  REQUIRE(Ledger.level("o", Now) == Before);
  Ledger.receive(Other, 1, true, {{"o", {.m_Used = 500, .m_Recent = -200}}},
                 Now);
  REQUIRE(Ledger.level("o", Now) == Before + 200);
  REQUIRE(Ledger.trySpend("o", {.m_Units = 300}, Now).granted());
  Ledger.refund("o", 300, Now);
  REQUIRE(Ledger.level("o", Now) == Before + 200);
}

TEST_CASE("A peer that falls silent keeps its own share of the limit",
          "[quota]") {
  const TimePoint Start(1000s);
  QuotaLedger Ledger = settledLedger(10000, 10000, Start);
  Ledger.setBoxes(1, 4, Start);
  Ledger.receive(boxName(1), 3, true, {}, Start);
  REQUIRE(Ledger.share() == 1);
  Ledger.tick(Start + 300ms);
  REQUIRE(Ledger.share() == 1);
  Ledger.tick(Start + 500ms);
  REQUIRE(Ledger.share() == 0.25);
  const double Before = Ledger.level("o", Start + 10s);
  // In 10 s its own share earned it 75,000 units.
  Ledger.receive(boxName(1), 3, true,
                 {{"o", {.m_Used = 70000, .m_Recent = 70000}}}, Start + 10s);
  REQUIRE(Ledger.share() == 1);
  REQUIRE(Ledger.level("o", Start + 10s) == Before);
}

TEST_CASE("A ledger that starts adopts the level of a settled one", "[quota]") {
  const TimePoint Start(1000s);
  QuotaLedger Ledger({.m_Tolerance = Tolerance});
  Ledger.setBoxes(1, 2, Start);
  Ledger.configure({limited("o", 10000, 10000)}, Start);
  const double Slack =
      Tolerance.slack({.m_RatePerSecond = 10000, .m_Burst = 10000});
  REQUIRE(Ledger.level("o", Start) <= 0.2 * Slack / 2);
  Ledger.receive(boxName(1), 1, true,
                 {{"o", {.m_Used = 9e6, .m_Recent = 10, .m_Level = 17000}}},
                 Start);
  REQUIRE(Ledger.level("o", Start) == 17000);
}

TEST_CASE("An account holds the units granted and refused of a quota",
          "[quota]") {
  const TimePoint Now = TimePoint{} + 1000s;
  QuotaLedger Ledger = settledLedger(1000, 5000, Now);
  CHECK(Ledger.takeAccounts(Now).empty());
  CHECK(Ledger.trySpend("o", {.m_Units = 1000}, Now).granted());
  SECTION("there is none for an organisation far from its quota") {
    CHECK(Ledger.takeAccounts(Now).empty());
  }
  SECTION("there is one when the bucket is nearly empty, and only once") {
    double Granted = 1000;
    while (Ledger.trySpend("o", {.m_Units = 1000}, Now).granted())
      Granted += 1000;
    const QuotaAccounts Accounts = Ledger.takeAccounts(Now);
    REQUIRE(Accounts.size() == 1);
    const QuotaAccount &Account = Accounts.at("o");
    CHECK(Account.m_Granted == Granted);
    CHECK(Account.m_Refused == 1000);
    CHECK(Account.m_RatePerSecond == 1000);
    CHECK(Ledger.takeAccounts(Now).empty());
  }
}

TEST_CASE("An organisation without a quota is not limited", "[quota]") {
  QuotaLedger Ledger({.m_Tolerance = Tolerance});
  REQUIRE(Ledger.empty());
  REQUIRE(Ledger.trySpend("o", {.m_Units = 1e9}, TimePoint(1s)).granted());
}

TEST_CASE("No window exceeds the quota during partitions and restarts",
          "[quota][property][proof]") {
  rc::prop("overload, partitions, restarts", [] {
    const QuotaFleet::Options Opts{.m_Relays = 6,
                                   .m_BoxesEach = 5,
                                   .m_Rate = 1.0 * *drawn(29000, 1000000)};
    QuotaFleet Fleet(Opts);
    for (int Phase = *drawn(3, 9); Phase > 0; --Phase) {
      const int Kind = *drawn(0, 4);
      const auto Which = static_cast<std::size_t>(*drawn(0, 6));
      // Kind 1 cuts off a data centre, 2 restarts one box and 3 restarts all.
      for (std::size_t Relay = 0; Relay < Opts.m_Relays; ++Relay)
        Fleet.setSide(Relay, Kind == 1 && Relay < Opts.m_Relays / 3 ? 1 : 0);
      if (Kind == 2)
        Fleet.restart(Which);
      if (Kind == 3 && Phase % 3 == 0)
        for (std::size_t Relay = 0; Relay < Opts.m_Relays; ++Relay)
          Fleet.restart(Relay);
      DrawnLoad Load(static_cast<std::uint64_t>(*drawn(1, 100000)),
                     *drawn(1, 80) / 10.0, Opts);
      Fleet.play(std::chrono::milliseconds(100 * *drawn(5, 60)),
                 [&](std::size_t) { return Load(); });
    }
    RC_ASSERT(Fleet.worstWindow() <= 1.0);
  });
}

TEST_CASE("The oracle detects boxes that each use the whole quota", "[quota]") {
  const QuotaFleet::Options Opts{.m_Strategy = Strategy::EachFull};
  QuotaFleet Fleet(Opts);
  DrawnLoad Load(1, 4, Opts);
  Fleet.play(12s, [&](std::size_t) { return Load(); });
  REQUIRE(Fleet.worstWindow() > 1.0);
}

TEST_CASE("An organisation within its quota is not refused", "[quota]") {
  const double Rate = GENERATE(29000.0, 180000.0, 1000000.0);
  const double Load = GENERATE(0.5, 0.9, 3.0);
  const auto Seed = GENERATE(1U, 2U, 3U);
  const WithinLimit Result = playWithinLimit(
      {.m_Relays = 12, .m_BoxesEach = 5, .m_Rate = Rate}, Load, Seed);
  REQUIRE(Result.m_Used > 0.3 * Rate * 60);
  REQUIRE(Result.m_Refused * 1000 <= Result.m_Asked);
}

TEST_CASE(
    "Equal shares without reports refuse organisations within their quota",
    "[quota]") {
  const WithinLimit Result = playWithinLimit({.m_Relays = 60,
                                              .m_BoxesEach = 1,
                                              .m_Rate = 29000,
                                              .m_Strategy = Strategy::Alone},
                                             0.5, 1);
  REQUIRE(Result.m_Refused * 4 > Result.m_Asked);
}

TEST_CASE("An organisation that requests too much gets its whole quota",
          "[quota]") {
  const double Rate = GENERATE(29000.0, 180000.0, 1000000.0);
  const QuotaFleet::Options Opts{
      .m_Relays = 12, .m_BoxesEach = 5, .m_Rate = Rate};
  QuotaFleet Fleet(Opts);
  Fleet.play(10s, [](std::size_t) { return 0.0; });
  DrawnLoad Load(7, 5, Opts);
  Fleet.play(30s, [&](std::size_t) { return Load(); });
  REQUIRE(Fleet.used() >= 30 * Rate);
  REQUIRE(Fleet.worstWindow() <= 1.0);
}
