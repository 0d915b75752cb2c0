#include "gateway/BrittleUpstreams.h"

using namespace havenstair;

namespace {

std::string brittle(const std::string &Value) {
  return "Server-Brittle: " + Value + "\r\n";
}

bool allKnow(const UpstreamSignalsFleet &Test, const InstanceId &Id,
             double PerSecond) {
  return std::all_of(
      Test.m_Boxes.begin(), Test.m_Boxes.end(), [&](const auto &Box) {
        const AdvertisedLimit *Limit = Box->state().m_Signals.refusalLimit(Id);
        return Limit != nullptr && Limit->m_RatePerSecond == PerSecond;
      });
}

bool noneKnows(const UpstreamSignalsFleet &Test, const InstanceId &Id) {
  return std::none_of(
      Test.m_Boxes.begin(), Test.m_Boxes.end(), [&](const auto &Box) {
        return Box->state().m_Signals.refusalLimit(Id) != nullptr;
      });
}

} // namespace

TEST_CASE("All boxes learn of a refusal limit, and of its end, from the box "
          "that received it",
          "[gateway][refusal-limit]") {
  const auto Boxes = GENERATE(std::size_t{3}, std::size_t{20});
  UpstreamSignalsFleet Test(Boxes);
  Test.addRunnerSending("brittle", brittle("4"));
  Test.untilAllReady();
  REQUIRE(Test.sendOne().m_Served == 1);
  REQUIRE(Test.until([&] { return allKnow(Test, "brittle", 4); }));
  SECTION("another value") {
    Test.m_SignalHeaders["brittle"] = brittle("0");
    REQUIRE(Test.sendOne().m_Served == 1);
    REQUIRE(Test.until([&] { return allKnow(Test, "brittle", 0); }));
  }
  SECTION("the end of the refusal limit") {
    Test.m_SignalHeaders["brittle"] = "";
    REQUIRE(Test.sendOne().m_Served == 1);
    REQUIRE(Test.until([&] { return noneKnows(Test, "brittle"); }));
  }
  SECTION("a value that cannot be parsed changes nothing") {
    Test.m_SignalHeaders["brittle"] = brittle("many");
    REQUIRE(Test.sendOne().m_Served == 1);
    REQUIRE(allKnow(Test, "brittle", 4));
  }
  SECTION("a box that joins learns of it from its peers") {
    Test.addBox();
    REQUIRE(Test.until([&] { return allKnow(Test, "brittle", 4); }));
  }
}

TEST_CASE("Brittle upstreams under too much load do not crash again and again",
          "[gateway][refusal-limit]") {
  const auto Boxes = GENERATE(std::size_t{1}, std::size_t{8}, std::size_t{20});
  const int MaxRefusals = GENERATE(1, 4);
  BrittleUpstreams Test(Boxes, 2, MaxRefusals);
  REQUIRE(Test.load(1s, 20).m_Served > 0);
  constexpr Duration Time = 8s;
  const int Before = Test.served();
  const FleetOutcome All = Test.load(Time, 120);
  const double Served = (Test.served() - Before) / Test.capacity(Time);
  CAPTURE(Boxes, MaxRefusals, All.m_Served, All.m_RetryLater, All.m_Other,
          Test.crashes(), Test.refused(), Served);
  REQUIRE(Test.crashes() <= Test.allowedCrashes());
  REQUIRE(Served >= 0.8);
}

TEST_CASE("Brittle upstreams do not crash when bursts come, and one of them "
          "restarts",
          "[gateway][refusal-limit]") {
  const auto Boxes = GENERATE(std::size_t{1}, std::size_t{8}, std::size_t{20});
  BrittleUpstreams Test(Boxes, 3, 3);
  REQUIRE(Test.load(1s, 20).m_Served > 0);
  FleetOutcome All = Test.load(4s, 40, 60);
  Test.crash(Test.m_Brittle.begin()->second);
  All = Test.load(5s, 40, 60);
  CAPTURE(Boxes, All.m_Served, All.m_RetryLater, All.m_Other, Test.crashes(),
          Test.refused());
  REQUIRE(Test.crashes() <= Test.allowedCrashes());
  REQUIRE(All.m_Served > 0);
}
