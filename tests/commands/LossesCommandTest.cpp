#include "havenstair/request/LossesCommand.h"
#include "havenstair/common/ExitCode.h"
#include "support/Draw.h"
#include <sstream>

using namespace havenstair;

namespace {

TryEnd inTime() {
  return {.m_Route = "chat",
          .m_Outcome = "ok",
          .m_Expected = 100,
          .m_First = 120,
          .m_Whole = 900,
          .m_Target = 800,
          .m_GapTarget = 400,
          .m_Sends = 1};
}

TryEnd refused(double AfterMs) {
  TryEnd Try = inTime();
  Try.m_Outcome = "overloaded";
  Try.m_Judged = "overloaded";
  Try.m_First = 0;
  Try.m_Whole = AfterMs;
  Try.m_Sends = 0;
  return Try;
}

} // namespace

TEST_CASE("An answer counts from the caller's first try", "[losses]") {
  TryEnd Try = inTime();
  REQUIRE(creditOf(Try, {}) == 1);
  SECTION("a second try that is late by then") {
    Try.m_TriedBefore = 700;
    REQUIRE(creditOf(Try, {}) == Approx(0.3));
  }
  SECTION("a pause that is too long") {
    Try.m_Gap = 500;
    REQUIRE(creditOf(Try, {}) == Approx(0.3));
  }
  SECTION("the weight of late answers is a setting") {
    Try.m_First = 900;
    REQUIRE(creditOf(Try, {.m_Late = 0.5}) == Approx(0.5));
  }
}

TEST_CASE("Waiting for nothing costs by its length, without steps",
          "[losses]") {
  REQUIRE(creditOf(refused(0), {}) == 0);
  REQUIRE(creditOf(refused(200), {}) == Approx(-0.25));
  REQUIRE(creditOf(refused(400), {}) == Approx(-0.5));
  REQUIRE(creditOf(refused(9000), {}) == Approx(-1));
  TryEnd Second = refused(0);
  Second.m_TriedBefore = 1000;
  REQUIRE(creditOf(Second, {}) == Approx(-0.3));
}

TEST_CASE("Losses are summed by route, model, organisation or second",
          "[losses]") {
  const std::string Log = R"(
  1.2 box {"event":"answered","outcome":"ok","route":"chat","organisation":"gym","model":"m","time":5100,"first_ms":90,"expected_ms":100,"gap_ms":0,"target_ms":800,"gap_target_ms":400,"tried_before_ms":0,"sends":1,"whole_ms":900}
{"event":"not_answered","outcome":"no_resident_copy","judged":"not_loaded","route":"chat","model":"n","time":5900,"target_ms":800,"tried_before_ms":0,"sends":0,"whole_ms":400}
{"event":"not_answered","outcome":"overloaded","judged":"too_late","route":"plan","model":"m","time":6100,"target_ms":800,"tried_before_ms":900,"sends":0,"whole_ms":0}
{"event":"sent","route":"chat","time":1}
{"event":"answered" half
)";
  const auto Table = [&](LossGrouping By) {
    std::istringstream Stream(Log);
    LossTable Losses;
    addLosses(Stream, By, {}, Losses);
    return Losses;
  };
  const LossTable ByRoute = Table(LossGrouping::Route);
  REQUIRE(ByRoute.size() == 2);
  const LossSums &Chat = ByRoute.at("chat");
  REQUIRE(Chat.m_FirstTries == 2);
  REQUIRE(Chat.m_InTime == 1);
  REQUIRE(Chat.m_RefusedFirst == 1);
  REQUIRE(Chat.m_Close == 1);
  REQUIRE(Chat.m_HeldMs == 400);
  REQUIRE(Chat.creditPerCaller() == Approx(0.25));
  REQUIRE(Chat.m_Causes.at("no_resident_copy/not_loaded") == 1);
  REQUIRE(ByRoute.at("plan").m_RefusedSecond == 1);
  REQUIRE(Table(LossGrouping::Model).size() == 2);
  REQUIRE(Table(LossGrouping::Second).contains("6"));
  REQUIRE(Table(LossGrouping::Organisation).at("gym").m_InTime == 1);
  REQUIRE(Table(LossGrouping::Organisation).at("(none)").m_FirstTries == 1);
  const std::string Text = toText(ByRoute);
  REQUIRE(Text.find("no_resident_copy/not_loaded 1") != std::string::npos);
  REQUIRE(toJson(ByRoute).size() == 2);
}

TEST_CASE("No group earns more than one credit for each caller",
          "[losses][property]") {
  rc::prop("credit of 1 at most, whatever is taken for a second try", [] {
    LossSums Sums;
    for (int Try = *drawn(1, 40); Try > 0; --Try) {
      TryEnd End = *rc::gen::arbitrary<bool>() ? inTime() : refused(0);
      // Also those whose first try was never seen.
      End.m_TriedBefore = *drawn(0, 3) * 10;
      Sums.add(End, {});
    }
    RC_ASSERT(Sums.creditPerCaller() <= 1);
    RC_ASSERT(Sums.callers() >= Sums.m_InTime + Sums.m_Late);
    RC_ASSERT(Sums.lost() >= -1e-9);
  });
}

TEST_CASE("A caller that is served at the second try is one caller",
          "[losses]") {
  LossSums Sums;
  Sums.add(refused(0), {});
  TryEnd Second = inTime();
  Second.m_TriedBefore = 500;
  Sums.add(Second, {});
  REQUIRE(Sums.callers() == 1);
  REQUIRE(Sums.creditPerCaller() == 1);
  REQUIRE(Sums.lost() == 0);
}

TEST_CASE("What lost the most comes first, for people and programs",
          "[losses]") {
  LossTable Losses;
  Losses["a"].add(inTime(), {});
  for (int Try = 0; Try < 3; ++Try)
    Losses["c"].add(refused(0), {});
  Losses["b"].add(refused(0), {});
  const Json Rows = toJson(Losses);
  REQUIRE(Rows.at(0).at("group") == "c");
  REQUIRE(Rows.at(0).at("lost") == 3);
  REQUIRE(Rows.at(1).at("group") == "b");
  REQUIRE(Rows.at(2).at("group") == "a");
  const std::string Text = toText(Losses);
  REQUIRE(Text.find("\nc ") < Text.find("\nb "));
  REQUIRE(Text.find("\nb ") < Text.find("\na "));
}

TEST_CASE("Another grouping or format is refused", "[losses]") {
  REQUIRE(parseLossFormat("json") == LossFormat::Json);
  REQUIRE_THROWS_AS(parseLossFormat("xml"), CommandError);
  REQUIRE(parseLossGrouping("model") == LossGrouping::Model);
  REQUIRE_THROWS_AS(parseLossGrouping("colour"), CommandError);
}
