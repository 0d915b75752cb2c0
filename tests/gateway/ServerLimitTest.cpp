#include "gateway/UpstreamSignalsFleet.h"

using namespace havenstair;

namespace {

std::string limit(const std::string &Value) {
  return "Server-Limit: " + Value + "\r\n";
}

} // namespace

TEST_CASE("All boxes together keep the rate limit that an upstream sets",
          "[gateway][server-limit]") {
  const auto Boxes = GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{20});
  UpstreamSignalsFleet Test(Boxes);
  Test.addRunnerSending("limited", limit("1"));
  const bool Others = GENERATE(true, false);
  if (Others)
    Test.addRunnerSending("whole");
  Test.untilAllReady();
  const FleetOutcome All = Test.sendFor(8s);
  CAPTURE(Boxes, Others, All.m_Served, All.m_RetryLater, All.m_Other);
  REQUIRE(Test.maxArrivalsInSpan("limited") <=
          UpstreamSignalsFleet::allowed(1));
  REQUIRE(All.m_Other == 0);
}

TEST_CASE("All boxes learn of a limit, and of its end, from the box that "
          "received it",
          "[gateway][server-limit]") {
  const auto Boxes = GENERATE(std::size_t{3}, std::size_t{20});
  UpstreamSignalsFleet Test(Boxes);
  Test.addRunnerSending("limited", limit("2.5"));
  Test.untilAllReady();
  REQUIRE(Test.sendOne().m_Served == 1);
  REQUIRE(Test.until([&] { return Test.allKnowLimit("limited", 2.5); }));
  SECTION("another value") {
    Test.m_SignalHeaders["limited"] = limit("0.5");
    REQUIRE(Test.sendOne().m_Served == 1);
    REQUIRE(Test.until([&] { return Test.allKnowLimit("limited", 0.5); }));
  }
  SECTION("the end of the limit") {
    Test.m_SignalHeaders["limited"] = "";
    REQUIRE(Test.sendOne().m_Served == 1);
    REQUIRE(Test.until([&] { return Test.noneKnowsLimit("limited"); }));
  }
  SECTION("a value that cannot be parsed changes nothing") {
    Test.m_SignalHeaders["limited"] = limit("many");
    REQUIRE(Test.sendOne().m_Served == 1);
    REQUIRE(Test.allKnowLimit("limited", 2.5));
  }
  SECTION("a box that joins learns of it from its peers") {
    Test.addBox();
    REQUIRE(Test.until([&] { return Test.allKnowLimit("limited", 2.5); }));
  }
}

TEST_CASE("A limit of zero requests can end", "[gateway][server-limit]") {
  UpstreamSignalsFleet Test(3);
  Test.addRunnerSending("limited", limit("0"));
  Test.untilAllReady();
  REQUIRE(Test.sendOne().m_Served == 1);
  REQUIRE(Test.until([&] { return Test.allKnowLimit("limited", 0); }));
  Test.m_SignalHeaders["limited"] = "";
  while (!Test.noneKnowsLimit("limited"))
    Test.sendFor(200ms);
  REQUIRE(Test.sendFor(1s).m_Served == 20);
}

TEST_CASE(
    "Requests beyond a limit are refused at once, with a time to retry after",
    "[gateway][server-limit]") {
  UpstreamSignalsFleet Test(3);
  Test.addRunnerSending("limited", limit("1"));
  Test.untilAllReady();
  REQUIRE(Test.sendOne().m_Served == 1);
  REQUIRE(Test.until([&] { return Test.allKnowLimit("limited", 1); }));
  const FleetOutcome All = Test.sendFor(3s);
  CAPTURE(All.m_Served, All.m_RetryLater, All.m_Other);
  REQUIRE(All.m_Other == 0);
  REQUIRE(All.m_RetryLater >= 40);
  REQUIRE(All.m_Served >= 2);
}
