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
        Fleet.freeze(Draw.below(ColdFleet::Boxes - 1), 2 * Draw.upTo(1s));
      break;
    default:
      break;
    }
    Fleet.play(100ms + Draw.upTo(1500ms));
  }
}

struct Figures {
  double m_Worst = 0; ///< Second, as a part of what is allowed.
  double m_Used = 0;  ///< Of the rate, on quiet days.
};

Figures measure(Way How, int Days, double Load) {
  Figures Result;
  for (int Day = 1; Day <= Days; ++Day) {
    const auto Seed = static_cast<std::uint64_t>(Day);
    ColdFleet Quiet(How, Seed, Load);
    Quiet.play(20s);
    Result.m_Used += Quiet.used() / Days;
    ColdFleet Troubled(How, Seed, Load);
    Dice Draw(Seed + 1000);
    playTrouble(Troubled, Draw, 12);
    const std::size_t Worst =
        std::max(Quiet.worstSecond(), Troubled.worstSecond());
    Result.m_Worst = std::max(Result.m_Worst, static_cast<double>(Worst) /
                                                  Tolerance.mostPerS(Spec));
  }
  return Result;
}

} // namespace

TEST_CASE("Permits come as often as a window allows, and no more", "[warmup]") {
  SendPermits Permits(Tolerance);
  const TimePoint Start(1000s);
  const TimePoint Open = Start + SendPermits::Window;
  Permits.admits({"e"}, Start);
  REQUIRE(Permits.perWindow(Spec) == 7);
  SECTION("none until those of another admitter have lapsed") {
    REQUIRE_FALSE(Permits.ask("e", Spec, 0us, Open - 1ms).m_Granted);
    const PermitVerdict Waits = Permits.ask("e", Spec, 1s, Open - 300ms);
    REQUIRE(Waits == PermitVerdict{.m_Granted = true, .m_After = 300ms});
  }
  SECTION("so many at once, then one for each that leaves the window") {
    for (int Count = 0; Count < 7; ++Count)
      REQUIRE(Permits.ask("e", Spec, 0us, Open).m_Granted);
    const PermitVerdict First = Permits.ask("e", Spec, 100ms, Open);
    const PermitVerdict Second = Permits.ask("e", Spec, 100ms, Open);
    REQUIRE_FALSE(First.m_Granted);
    REQUIRE(First.m_After > SendPermits::Window);
    REQUIRE(Second.m_After > First.m_After);
    REQUIRE(Permits.ask("e", Spec, 0us, Open + SendPermits::Window).m_Granted);
  }
  SECTION("nothing for what another box admits, and anew when it comes back") {
    Permits.admits({}, Open);
    REQUIRE_FALSE(Permits.ask("e", Spec, 1s, Open).m_Granted);
    Permits.admits({"e"}, Open);
    REQUIRE_FALSE(Permits.ask("e", Spec, 1s, Open).m_Granted);
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
    RC_ASSERT(static_cast<double>(Fleet.worstSecond()) <=
              Tolerance.mostPerS(Spec));
  });
}

TEST_CASE("The oracle objects to admitters that each give all that is allowed",
          "[warmup]") {
  REQUIRE(measure(Way::FullAdmitter, 200, 20).m_Worst > 1);
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
