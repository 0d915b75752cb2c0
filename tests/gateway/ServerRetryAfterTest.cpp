#include "gateway/UpstreamSignalsFleet.h"

using namespace havenstair;

namespace {

std::string retryAfter(const std::string &Seconds) {
  return "X-Request-Not-Executed: 1\r\nRetry-After: " + Seconds + "\r\n";
}

} // namespace

TEST_CASE(
    "An upstream that rejects a box gets no requests from it for the time "
    "that it states",
    "[gateway][server-retry-after]") {
  const auto Boxes = GENERATE(std::size_t{1}, std::size_t{3});
  const bool Others = GENERATE(true, false);
  UpstreamSignalsFleet Test(Boxes);
  Test.addRunnerSending("busy", retryAfter("30"));
  Test.m_Status["busy"] = 503;
  Test.untilAllReady();
  const FleetOutcome First = Test.sendFor(1s);
  if (Others) {
    Test.addRunnerSending("whole");
    Test.untilAllReady();
  }
  const FleetOutcome Second = Test.sendFor(1s);
  CAPTURE(Boxes, Others, First.m_RetryLater, Second.m_Served,
          Second.m_RetryLater);
  REQUIRE(Test.m_Arrived["busy"].size() == Boxes);
  REQUIRE(First.m_RetryLater == First.all());
  REQUIRE((Others ? Second.m_Served : Second.m_RetryLater) == Second.all());
}

TEST_CASE("An upstream is used again after the time that it stated",
          "[gateway][server-retry-after]") {
  UpstreamSignalsFleet Test(1);
  Test.addRunnerSending("busy", retryAfter("0.5"));
  Test.m_Status["busy"] = 503;
  Test.untilAllReady();
  const FleetOutcome First = Test.sendFor(200ms);
  REQUIRE(First.m_RetryLater == First.all());
  Test.m_Status["busy"] = 200;
  Test.m_SignalHeaders["busy"] = "";
  REQUIRE(Test.sendOne().m_Served == 1);
}

TEST_CASE("An answer to another request does not end the time to retry after",
          "[gateway][server-retry-after]") {
  UpstreamSignalsFleet Test(1);
  Test.addRunnerSending("busy");
  Test.untilAllReady();
  // The first request is answered after the second one was rejected.
  std::vector<std::pair<StandinRunner::Request, StandinRunner::ConnectionPtr>>
      Held;
  Test.m_Runners["busy"]->setBehaviour(
      [&](const StandinRunner::Request &Of,
          const StandinRunner::ConnectionPtr &To) {
        if (Held.empty())
          Held.emplace_back(Of, To);
        else
          To->write(StandinRunner::answer(Of, 503, "", retryAfter("30")));
      });
  std::vector<int> Statuses;
  const auto Send = [&](const std::string &Id) {
    Test.m_Http.fetch(
        GatewayTest::callTo(*Test.m_Boxes.front(), "/unsafe/x", Id),
        [&](const HttpAnswer &Answer) { Statuses.push_back(Answer.m_Status); });
  };
  Send("first");
  REQUIRE(Test.until([&] { return !Held.empty(); }));
  Send("second");
  REQUIRE(Test.until([&] { return Statuses == std::vector{503}; }));
  Held.front().second->write(
      StandinRunner::answer(Held.front().first, 200, "body"));
  REQUIRE(Test.until([&] { return Statuses == std::vector{503, 200}; }));
  REQUIRE(Test.sendFor(200ms).m_Served == 0);
  REQUIRE(Test.m_Runners["busy"]->requests().size() == 2);
}
