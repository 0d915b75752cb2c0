#include "havenstair/request/LossesCommand.h"
#include "havenstair/common/ExitCode.h"
#include "support/Draw.h"
#include <sstream>

using namespace havenstair;

namespace {

TryResult inTime() {
  return {.m_Route = "chat",
          .m_Outcome = "ok",
          .m_ExpectedMs = 100,
          .m_FirstTokenMs = 120,
          .m_TotalMs = 900,
          .m_FirstTokenTargetMs = 800,
          .m_TokenGapTargetMs = 400,
          .m_UpstreamAttempts = 1};
}

TryResult refused(double AfterMs) {
  TryResult Try = inTime();
  Try.m_Outcome = "overloaded";
  Try.m_RefusalReason = "overloaded";
  Try.m_FirstTokenMs = 0;
  Try.m_TotalMs = AfterMs;
  Try.m_UpstreamAttempts = 0;
  return Try;
}

} // namespace

TEST_CASE("Time to first token counts from the caller's first try",
          "[losses]") {
  TryResult Try = inTime();
  REQUIRE(creditOf(Try, {}) == 1);
  SECTION("an answer to a second try can be late") {
    Try.m_EarlierTriesMs = 700;
    REQUIRE(creditOf(Try, {}) == Approx(0.3));
  }
  SECTION("a gap between tokens above its target is late") {
    Try.m_TokenGapMs = 500;
    REQUIRE(creditOf(Try, {}) == Approx(0.3));
  }
  SECTION("the weight of late answers is a setting") {
    Try.m_FirstTokenMs = 900;
    REQUIRE(creditOf(Try, {.m_LateCredit = 0.5}) == Approx(0.5));
  }
}

TEST_CASE("An unserved wait costs credit in proportion to its length",
          "[losses]") {
  REQUIRE(creditOf(refused(0), {}) == 0);
  REQUIRE(creditOf(refused(200), {}) == Approx(-0.25));
  REQUIRE(creditOf(refused(400), {}) == Approx(-0.5));
  REQUIRE(creditOf(refused(9000), {}) == Approx(-1));
  TryResult Second = refused(0);
  Second.m_EarlierTriesMs = 1000;
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
  const LossTotals &Chat = ByRoute.at("chat");
  REQUIRE(Chat.m_FirstTries == 2);
  REQUIRE(Chat.m_InTime == 1);
  REQUIRE(Chat.m_RefusedFirst == 1);
  REQUIRE(Chat.m_AccurateEstimates == 1);
  REQUIRE(Chat.m_UnservedWaitMs == 400);
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
  rc::prop("credit is at most 1 even with unmatched second tries", [] {
    LossTotals Totals;
    for (int Try = *drawn(1, 40); Try > 0; --Try) {
      TryResult Result = *rc::gen::arbitrary<bool>() ? inTime() : refused(0);
      // Includes callers whose first try is not in the logs.
      Result.m_EarlierTriesMs = *drawn(0, 3) * 10;
      Totals.add(Result, {});
    }
    RC_ASSERT(Totals.creditPerCaller() <= 1);
    RC_ASSERT(Totals.callers() >= Totals.m_InTime + Totals.m_Late);
    RC_ASSERT(Totals.lost() >= -1e-9);
  });
}

TEST_CASE("A caller served at the second try counts as one caller",
          "[losses]") {
  LossTotals Totals;
  Totals.add(refused(0), {});
  TryResult Second = inTime();
  Second.m_EarlierTriesMs = 500;
  Totals.add(Second, {});
  REQUIRE(Totals.callers() == 1);
  REQUIRE(Totals.creditPerCaller() == 1);
  REQUIRE(Totals.lost() == 0);
}

TEST_CASE("Groups are ordered by loss, largest first, as text and JSON",
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

TEST_CASE("An unknown grouping or format is refused", "[losses]") {
  REQUIRE(parseLossFormat("json") == LossFormat::Json);
  REQUIRE_THROWS_AS(parseLossFormat("xml"), CommandError);
  REQUIRE(parseLossGrouping("model") == LossGrouping::Model);
  REQUIRE_THROWS_AS(parseLossGrouping("colour"), CommandError);
}
