#include "decisions/process/ColdFleet.h"
#include "support/Draw.h"

#include <algorithm>

using namespace havenstair;

namespace {

/// Simulates kills, partitions and freezes, alone and together.
void playFaults(ColdFleet &Fleet, Dice &Draw, int Phases) {
  for (int Phase = 0; Phase < Phases; ++Phase) {
    switch (Draw.below(6)) {
    case 0:
      Fleet.kill(Draw.below(ColdFleet::LocalRelays));
      break;
    case 1:
      for (std::size_t At = 0; At < ColdFleet::Relays; ++At)
        Fleet.kill(At);
      break;
    case 2:
      Fleet.cut(1 + Draw.below(ColdFleet::LocalRelays), Draw.unit() < 0.5);
      break;
    case 3:
      Fleet.heal();
      break;
    case 4:
      for (int Count = 0; Count < 20; ++Count)
        Fleet.freeze(Draw.below(Fleet.boxes() - 1), 2 * Draw.upTo(1s));
      break;
    default:
      break;
    }
    Fleet.play(100ms + Draw.upTo(1500ms));
  }
}

struct Results {
  /// Most arrivals in a span, as a fraction of what is allowed.
  double m_Worst = 0;
  double m_Used = 0; ///< Fraction of the rate that is used without faults.
};

Results measure(Strategy How, int Runs, double Load,
                const FleetBound &Bound = FleetBound::cold(),
                std::size_t Boxes = 90) {
  Results Result;
  for (int Run = 1; Run <= Runs; ++Run) {
    const auto Seed = static_cast<std::uint64_t>(Run);
    ColdFleet Quiet(How, Seed, Load, Bound, Boxes);
    Quiet.play(20s);
    Result.m_Used += Quiet.used() / Runs;
    ColdFleet Faulty(How, Seed, Load, Bound, Boxes);
    Dice Draw(Seed + 1000);
    playFaults(Faulty, Draw, 12);
    const std::size_t Worst =
        std::max(Quiet.maxArrivalsInSpan(), Faulty.maxArrivalsInSpan());
    Result.m_Worst =
        std::max(Result.m_Worst, static_cast<double>(Worst) / Bound.m_Most);
  }
  return Result;
}

} // namespace

TEST_CASE("Permits are issued as often as a window allows, and no more",
          "[warmup]") {
  PermitIssuer Permits(Tolerance);
  const std::map<InstanceId, IssuerAssignment> Own{{"e", {}}};
  const SendBound Cold = FleetBound::cold().m_Bound;
  const TimePoint Start(1000s);
  const TimePoint Open = Start + PermitIssuer::Window;
  Permits.setUpstreams(Own, Start);
  REQUIRE(Permits.perWindow(Spec) == 7);
  SECTION("none until those of another issuer have lapsed") {
    REQUIRE_FALSE(Permits.ask("e", Cold, 0us, Open - 1ms).m_Granted);
    const PermitVerdict Waits = Permits.ask("e", Cold, 1s, Open - 300ms);
    REQUIRE(Waits == PermitVerdict{.m_Granted = true, .m_After = 300ms});
  }
  SECTION("a full window at once, then one for each that leaves the window") {
    for (int Count = 0; Count < 7; ++Count)
      REQUIRE(Permits.ask("e", Cold, 0us, Open).m_Granted);
    const PermitVerdict First = Permits.ask("e", Cold, 100ms, Open);
    const PermitVerdict Second = Permits.ask("e", Cold, 100ms, Open);
    REQUIRE_FALSE(First.m_Granted);
    REQUIRE(First.m_After > PermitIssuer::Window);
    REQUIRE(Second.m_After > First.m_After);
    REQUIRE(Permits.ask("e", Cold, 0us, Open + PermitIssuer::Window).m_Granted);
  }
  SECTION("none for an upstream of another issuer, and anew when it returns") {
    Permits.setUpstreams({}, Open);
    REQUIRE_FALSE(Permits.ask("e", Cold, 1s, Open).m_Granted);
    Permits.setUpstreams(Own, Open);
    REQUIRE_FALSE(Permits.ask("e", Cold, 1s, Open).m_Granted);
  }
}

TEST_CASE("A rate is not exceeded even if the tolerance is large", "[warmup]") {
  const PermitIssuer Permits({.m_Factor = 3, .m_Allowance = 100});
  REQUIRE(Permits.perWindow(Spec) == 8);
  const PermitIssuer Strict(WarmUpTolerance{});
  REQUIRE(Strict.perWindow({.m_ColdTime = 3s, .m_RequestsPerSecond = 0.5}) ==
          1);
}

TEST_CASE("Exactly one relay of a majority issues permits", "[warmup]") {
  const BoxName A("a"), B("b"), C("c");
  const auto All = issuerOf("e", {A, B, C}, {A, B, C});
  REQUIRE(All);
  REQUIRE(issuerOf("e", {A, B, C}, {*All}) == std::nullopt);
  std::set<BoxName> Others{A, B, C};
  Others.erase(*All);
  REQUIRE(issuerOf("e", {A, B, C}, Others).has_value());
  REQUIRE(issuerOf("e", {A}, {A, B}) == A);
  REQUIRE(issuerOf("e", {}, {A, B}) == std::nullopt);
}

TEST_CASE("No second exceeds the bound of a cold upstream during partitions, "
          "freezes and kills",
          "[warmup][property][proof]") {
  rc::prop("random faults", [] {
    const auto Seed = static_cast<std::uint64_t>(*drawn(1, 1000000));
    ColdFleet Fleet(Strategy::Issuer, Seed, *drawn(5, 200) / 10.0);
    Dice Draw(Seed + 1);
    playFaults(Fleet, Draw, *drawn(4, 16));
    RC_ASSERT(static_cast<double>(Fleet.maxArrivalsInSpan()) <=
              Tolerance.maxRate(Spec));
  });
}

TEST_CASE("Only a box that is the only issuer issues a whole limit",
          "[server-limit]") {
  const TimePoint Start(1000s);
  const SendBound One{.m_Cold = std::nullopt, .m_LimitPerSecond = 1};
  PermitIssuer Permits(Tolerance);
  const auto AssignIssuer = [&](bool First, std::optional<TimePoint> Since,
                                TimePoint Now) {
    Permits.setUpstreams({{"e", {.m_First = First, .m_BoundSince = Since}}},
                         Now);
  };
  const auto Issued = [&](TimePoint From, Duration For) {
    int Sum = 0;
    for (Duration After = 0us; After < For; After += 10ms)
      Sum += Permits.ask("e", One, 0us, From + After).m_Granted ? 1 : 0;
    return Sum;
  };
  SECTION("at once when the limit is new") {
    AssignIssuer(true, Start - 100ms, Start);
    REQUIRE(Issued(Start, 20s) == 20);
  }
  SECTION("later when another box may issue permits, and a fraction at first") {
    AssignIssuer(true, Start - 60s, Start);
    REQUIRE_FALSE(Permits.ask("e", One, 1s, Start).m_Granted);
    REQUIRE(Issued(Start, PermitIssuer::ListConvergence) <= 5);
    REQUIRE(Issued(Start + PermitIssuer::ListConvergence, 20s) >= 18);
  }
  SECTION("a fraction for a standby, also when it has just become the first") {
    AssignIssuer(false, Start - 100ms, Start);
    REQUIRE(Issued(Start, 20s) <= 8);
    AssignIssuer(true, Start - 100ms, Start + 20s);
    REQUIRE(Issued(Start + 20s, PermitIssuer::ListConvergence) <= 6);
  }
  SECTION("a lower limit counts permits issued under the previous one") {
    AssignIssuer(true, Start, Start);
    const SendBound Ten{.m_Cold = std::nullopt, .m_LimitPerSecond = 10};
    for (int Count = 0; Count < 4; ++Count)
      Permits.ask("e", Ten, 500ms, Start);
    REQUIRE_FALSE(Permits.ask("e", One, 500ms, Start + 200ms).m_Granted);
  }
}

TEST_CASE("A limit of zero still lets a request through now and then",
          "[server-limit]") {
  const PermitWindow None = PermitIssuer::limitWindow(0, 1);
  REQUIRE(None == PermitWindow{.m_Most = 2, .m_Length = 8s});
  REQUIRE(PermitIssuer::limitWindow(0.1, 1) == None);
  REQUIRE(PermitIssuer::limitWindow(2.5, 1) ==
          PermitWindow{.m_Most = 2, .m_Length = 800ms});
  REQUIRE(PermitIssuer::limitWindow(100, 1) ==
          PermitWindow{.m_Most = 20, .m_Length = 200ms});
}

TEST_CASE(
    "A limited upstream is busy for the fraction of time that its limit allows",
    "[server-limit]") {
  REQUIRE(busyFraction(2, 100) == 0.2);
  REQUIRE(busyFraction(50, 100) == 1);
  REQUIRE(busyFraction(0, 100) > 0);
}

TEST_CASE("No four seconds exceed an advertised limit during partitions, "
          "freezes and kills",
          "[server-limit][property][proof]") {
  rc::prop("random faults", [] {
    const auto Seed = static_cast<std::uint64_t>(*drawn(1, 1000000));
    const FleetBound Bound =
        FleetBound::limit(*rc::gen::element(0.5, 1.0, 2.5, 6.0, 20.0, 60.0));
    const std::size_t Boxes = *rc::gen::element<std::size_t>(10, 90, 295, 986);
    ColdFleet Fleet(Strategy::Issuer, Seed, *drawn(5, 100) / 10.0, Bound,
                    Boxes);
    Dice Draw(Seed + 1);
    playFaults(Fleet, Draw, *drawn(4, 16));
    RC_ASSERT(static_cast<double>(Fleet.maxArrivalsInSpan()) <= Bound.m_Most);
  });
}

TEST_CASE("Most of an advertised limit is used while callers wait",
          "[server-limit]") {
  const Results Built = measure(Strategy::Issuer, 20, 3, FleetBound::limit(1));
  REQUIRE(Built.m_Worst <= 1);
  REQUIRE(Built.m_Used >= 0.8);
}

TEST_CASE("Strategies to keep a limit are compared", "[.][limit-ways]") {
  for (const Strategy How :
       {Strategy::Issuer, Strategy::TimeSlots, Strategy::Buckets})
    for (const double RatePerSecond : {0.5, 1.0, 10.0})
      for (const std::size_t Boxes : {std::size_t{10}, std::size_t{90},
                                      std::size_t{295}, std::size_t{986}}) {
        const Results Result =
            measure(How, 100, 3, FleetBound::limit(RatePerSecond), Boxes);
        UNSCOPED_INFO("strategy " << static_cast<int>(How) << ", "
                                  << RatePerSecond << " a second, " << Boxes
                                  << " boxes: worst " << Result.m_Worst
                                  << ", used " << Result.m_Used);
      }
  SUCCEED();
}

TEST_CASE("The oracle detects issuers that each issue all that is allowed",
          "[warmup]") {
  REQUIRE(measure(Strategy::FullIssuer, 200, 20).m_Worst > 1);
}

TEST_CASE("The oracle detects issuers that issue more than a limit",
          "[server-limit]") {
  REQUIRE(measure(Strategy::FullIssuer, 50, 20, FleetBound::limit(10)).m_Worst >
          1);
}

TEST_CASE("Most of a cold upstream's rate is used while callers wait",
          "[warmup]") {
  const Results Built = measure(Strategy::Issuer, 20, 3);
  REQUIRE(Built.m_Worst <= 1);
  REQUIRE(Built.m_Used >= 0.8);
}

TEST_CASE("Strategies to keep one rate are compared", "[.][warmup-ways]") {
  for (const Strategy How :
       {Strategy::Issuer, Strategy::TimeSlots, Strategy::Buckets})
    for (const double Load : {1.0, 3.0, 20.0}) {
      const Results Result = measure(How, 400, Load);
      UNSCOPED_INFO("strategy " << static_cast<int>(How) << ", load " << Load
                                << ": worst " << Result.m_Worst << ", used "
                                << Result.m_Used);
    }
  SUCCEED();
}
