#include "decisions/process/ColdFleet.h"
#include "support/Draw.h"

#include <algorithm>

using namespace havenstair;

namespace {

/// Kills, cuts and freezes, by turns and together.
void playTrouble(ColdFleet &Fleet, Dice &Draw, int Phases) {
  for (int Phase = 0; Phase < Phases; ++Phase) {
    switch (Draw.below(6)) {
    case 0:
      Fleet.kill(Draw.below(ColdFleet::Near));
      break;
    case 1:
      for (std::size_t At = 0; At < ColdFleet::Relays; ++At)
        Fleet.kill(At);
      break;
    case 2:
      Fleet.cut(1 + Draw.below(ColdFleet::Near), Draw.unit() < 0.5);
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

struct Figures {
  double m_Worst = 0; ///< Span, as a part of what is allowed.
  double m_Used = 0;  ///< Of the rate, on quiet days.
};

Figures measure(Way How, int Days, double Load,
                const FleetBound &Bound = FleetBound::cold(),
                std::size_t Boxes = 90) {
  Figures Result;
  for (int Day = 1; Day <= Days; ++Day) {
    const auto Seed = static_cast<std::uint64_t>(Day);
    ColdFleet Quiet(How, Seed, Load, Bound, Boxes);
    Quiet.play(20s);
    Result.m_Used += Quiet.used() / Days;
    ColdFleet Troubled(How, Seed, Load, Bound, Boxes);
    Dice Draw(Seed + 1000);
    playTrouble(Troubled, Draw, 12);
    const std::size_t Worst =
        std::max(Quiet.maxArrivalsInSpan(), Troubled.maxArrivalsInSpan());
    Result.m_Worst =
        std::max(Result.m_Worst, static_cast<double>(Worst) / Bound.m_Most);
  }
  return Result;
}

} // namespace

TEST_CASE("Permits come as often as a window allows, and no more", "[warmup]") {
  SendPermits Permits(Tolerance);
  const std::map<InstanceId, AdmittedServer> Own{{"e", {}}};
  const SendBound Cold = FleetBound::cold().m_Bound;
  const TimePoint Start(1000s);
  const TimePoint Open = Start + SendPermits::Window;
  Permits.admits(Own, Start);
  REQUIRE(Permits.perWindow(Spec) == 7);
  SECTION("none until those of another admitter have lapsed") {
    REQUIRE_FALSE(Permits.ask("e", Cold, 0us, Open - 1ms).m_Granted);
    const PermitVerdict Waits = Permits.ask("e", Cold, 1s, Open - 300ms);
    REQUIRE(Waits == PermitVerdict{.m_Granted = true, .m_After = 300ms});
  }
  SECTION("so many at once, then one for each that leaves the window") {
    for (int Count = 0; Count < 7; ++Count)
      REQUIRE(Permits.ask("e", Cold, 0us, Open).m_Granted);
    const PermitVerdict First = Permits.ask("e", Cold, 100ms, Open);
    const PermitVerdict Second = Permits.ask("e", Cold, 100ms, Open);
    REQUIRE_FALSE(First.m_Granted);
    REQUIRE(First.m_After > SendPermits::Window);
    REQUIRE(Second.m_After > First.m_After);
    REQUIRE(Permits.ask("e", Cold, 0us, Open + SendPermits::Window).m_Granted);
  }
  SECTION("nothing for what another box admits, and anew when it comes back") {
    Permits.admits({}, Open);
    REQUIRE_FALSE(Permits.ask("e", Cold, 1s, Open).m_Granted);
    Permits.admits(Own, Open);
    REQUIRE_FALSE(Permits.ask("e", Cold, 1s, Open).m_Granted);
  }
}

TEST_CASE("A rate is not exceeded where the tolerance is large", "[warmup]") {
  const SendPermits Permits({.m_Factor = 3, .m_Allowance = 100});
  REQUIRE(Permits.perWindow(Spec) == 8);
  const SendPermits Strict(WarmUpTolerance{});
  REQUIRE(Strict.perWindow({.m_After = 3s, .m_RequestsPerS = 0.5}) == 1);
}

TEST_CASE("One relay of a majority gives out permits", "[warmup]") {
  const BoxName A("a"), B("b"), C("c");
  const auto All = admitterOf("e", {A, B, C}, {A, B, C});
  REQUIRE(All);
  REQUIRE(admitterOf("e", {A, B, C}, {*All}) == std::nullopt);
  std::set<BoxName> Others{A, B, C};
  Others.erase(*All);
  REQUIRE(admitterOf("e", {A, B, C}, Others).has_value());
  REQUIRE(admitterOf("e", {A}, {A, B}) == A);
  REQUIRE(admitterOf("e", {}, {A, B}) == std::nullopt);
}

TEST_CASE("No second sees more than a cold server bears, whatever is cut, "
          "frozen or killed",
          "[warmup][property][proof]") {
  rc::prop("drawn days", [] {
    const auto Seed = static_cast<std::uint64_t>(*drawn(1, 1000000));
    ColdFleet Fleet(Way::Admitter, Seed, *drawn(5, 200) / 10.0);
    Dice Draw(Seed + 1);
    playTrouble(Fleet, Draw, *drawn(4, 16));
    RC_ASSERT(static_cast<double>(Fleet.maxArrivalsInSpan()) <=
              Tolerance.mostPerS(Spec));
  });
}

TEST_CASE("A limit is given out as it is named, by whoever is alone",
          "[server-limit]") {
  const TimePoint Start(1000s);
  const SendBound One{.m_Cold = std::nullopt, .m_LimitPerS = 1};
  SendPermits Permits(Tolerance);
  const auto Admit = [&](bool First, std::optional<TimePoint> Since,
                         TimePoint Now) {
    Permits.admits({{"e", {.m_First = First, .m_BoundSince = Since}}}, Now);
  };
  const auto Given = [&](TimePoint From, Duration For) {
    int Sum = 0;
    for (Duration After = 0us; After < For; After += 10ms)
      Sum += Permits.ask("e", One, 0us, From + After).m_Granted ? 1 : 0;
    return Sum;
  };
  SECTION("at once when it was just named") {
    Admit(true, Start - 100ms, Start);
    REQUIRE(Given(Start, 20s) == 20);
  }
  SECTION("later when another box may give out permits, and in part at first") {
    Admit(true, Start - 60s, Start);
    REQUIRE_FALSE(Permits.ask("e", One, 1s, Start).m_Granted);
    REQUIRE(Given(Start, SendPermits::ListsSettle) <= 5);
    REQUIRE(Given(Start + SendPermits::ListsSettle, 20s) >= 18);
  }
  SECTION("in part for a box that stands in, and when that has become first") {
    Admit(false, Start - 100ms, Start);
    REQUIRE(Given(Start, 20s) <= 8);
    Admit(true, Start - 100ms, Start + 20s);
    REQUIRE(Given(Start + 20s, SendPermits::ListsSettle) <= 6);
  }
  SECTION("a lower limit counts what was given out under the one before") {
    Admit(true, Start, Start);
    const SendBound Ten{.m_Cold = std::nullopt, .m_LimitPerS = 10};
    for (int Count = 0; Count < 4; ++Count)
      Permits.ask("e", Ten, 500ms, Start);
    REQUIRE_FALSE(Permits.ask("e", One, 500ms, Start + 200ms).m_Granted);
  }
}

TEST_CASE("A limit of nothing still lets a request through now and then",
          "[server-limit]") {
  const PermitWindow None = SendPermits::windowOf(0, 1);
  REQUIRE(None == PermitWindow{.m_Most = 2, .m_Length = 8s});
  REQUIRE(SendPermits::windowOf(0.1, 1) == None);
  REQUIRE(SendPermits::windowOf(2.5, 1) ==
          PermitWindow{.m_Most = 2, .m_Length = 800ms});
  REQUIRE(SendPermits::windowOf(100, 1) ==
          PermitWindow{.m_Most = 20, .m_Length = 200ms});
}

TEST_CASE(
    "A limited server works in the part of its time that the limit leaves",
    "[server-limit]") {
  REQUIRE(workingPart(2, 100) == 0.2);
  REQUIRE(workingPart(50, 100) == 1);
  REQUIRE(workingPart(0, 100) > 0);
}

TEST_CASE("No four seconds see more than a named limit allows, whatever is "
          "cut, frozen or killed",
          "[server-limit][property][proof]") {
  rc::prop("drawn days", [] {
    const auto Seed = static_cast<std::uint64_t>(*drawn(1, 1000000));
    const FleetBound Bound =
        FleetBound::limit(*rc::gen::element(0.5, 1.0, 2.5, 6.0, 20.0, 60.0));
    const std::size_t Boxes = *rc::gen::element<std::size_t>(10, 90, 295, 986);
    ColdFleet Fleet(Way::Admitter, Seed, *drawn(5, 100) / 10.0, Bound, Boxes);
    Dice Draw(Seed + 1);
    playTrouble(Fleet, Draw, *drawn(4, 16));
    RC_ASSERT(static_cast<double>(Fleet.maxArrivalsInSpan()) <= Bound.m_Most);
  });
}

TEST_CASE("While callers wait, nearly all of a limit is used",
          "[server-limit]") {
  const Figures Built = measure(Way::Admitter, 20, 3, FleetBound::limit(1));
  REQUIRE(Built.m_Worst <= 1);
  REQUIRE(Built.m_Used >= 0.8);
}

TEST_CASE("Ways to keep a limit are compared", "[.][limit-ways]") {
  for (const Way How : {Way::Admitter, Way::Parts, Way::Buckets})
    for (const double PerS : {0.5, 1.0, 10.0})
      for (const std::size_t Boxes : {std::size_t{10}, std::size_t{90},
                                      std::size_t{295}, std::size_t{986}}) {
        const Figures Of = measure(How, 100, 3, FleetBound::limit(PerS), Boxes);
        UNSCOPED_INFO("way " << static_cast<int>(How) << ", " << PerS
                             << " a second, " << Boxes << " boxes: worst "
                             << Of.m_Worst << ", used " << Of.m_Used);
      }
  SUCCEED();
}

TEST_CASE("The oracle objects to admitters that each give all that is allowed",
          "[warmup]") {
  REQUIRE(measure(Way::FullAdmitter, 200, 20).m_Worst > 1);
}

TEST_CASE("The oracle objects to admitters that give out more than a limit",
          "[server-limit]") {
  REQUIRE(measure(Way::FullAdmitter, 50, 20, FleetBound::limit(10)).m_Worst >
          1);
}

TEST_CASE("While callers wait, most of the rate is used", "[warmup]") {
  const Figures Built = measure(Way::Admitter, 20, 3);
  REQUIRE(Built.m_Worst <= 1);
  REQUIRE(Built.m_Used >= 0.8);
}

TEST_CASE("Ways to keep one rate are compared", "[.][warmup-ways]") {
  for (const Way How : {Way::Admitter, Way::Parts, Way::Buckets})
    for (const double Load : {1.0, 3.0, 20.0}) {
      const Figures Of = measure(How, 400, Load);
      UNSCOPED_INFO("way " << static_cast<int>(How) << ", load " << Load
                           << ": worst " << Of.m_Worst << ", used "
                           << Of.m_Used);
    }
  SUCCEED();
}
