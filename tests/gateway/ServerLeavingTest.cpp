#include "gateway/UpstreamSignalsFleet.h"

using namespace havenstair;

namespace {

const std::string LeavingHeader = "Server-Leaving: 1\r\n";

/// Time for which an upstream that leaves may still be used as a last resort.
constexpr Duration LastResortTime = 600ms;

} // namespace

TEST_CASE("An upstream that reports in an answer that it leaves gets no more "
          "requests from any box, whatever the list says",
          "[gateway][server-leaving]") {
  const auto Boxes = GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{20});
  UpstreamSignalsFleet Test(Boxes);
  Test.addRunnerSending("leaving", LeavingHeader);
  Test.untilAllReady();
  REQUIRE(Test.sendOne().m_Served == 1);
  Test.wait(LastResortTime);
  const std::size_t Before = Test.m_Arrived["leaving"].size();
  const bool Others = GENERATE(true, false);
  if (Others) {
    Test.addRunnerSending("whole");
    Test.untilAllReady();
  }
  const FleetOutcome First = Test.sendFor(1s);
  // Its heartbeat still reports that it is ready.
  Json Entry = Test.entry("leaving", "ready");
  Entry["slots"] = 9;
  Test.m_Store.put("servers/leaving", dumpJson(Entry));
  const FleetOutcome Second = Test.sendFor(1s);
  CAPTURE(Boxes, Others, First.m_Served, First.m_RetryLater, Second.m_Served);
  REQUIRE(Test.m_Arrived["leaving"].size() == Before);
  REQUIRE((Others ? First.m_Served : First.m_RetryLater) == First.all());
  REQUIRE((Others ? Second.m_Served : Second.m_RetryLater) == Second.all());
}

TEST_CASE("A box that joins learns from its peers which upstreams leave",
          "[gateway][server-leaving]") {
  const auto Boxes = GENERATE(std::size_t{3}, std::size_t{20});
  UpstreamSignalsFleet Test(Boxes);
  Test.addRunnerSending("leaving", LeavingHeader);
  Test.untilAllReady();
  REQUIRE(Test.sendOne().m_Served == 1);
  const auto AllKnow = [&] {
    return std::all_of(
        Test.m_Boxes.begin(), Test.m_Boxes.end(), [](const auto &Box) {
          const auto &Listed = Box->state().m_Upstreams.list().m_Instances;
          const auto Entry = Listed.find("leaving");
          return Entry != Listed.end() && Entry->second.m_Draining;
        });
  };
  REQUIRE(Test.until(AllKnow));
  Test.addBox();
  REQUIRE(Test.until(AllKnow));
  SECTION("and a later incarnation of the upstream is used again") {
    Test.m_SignalHeaders["leaving"] = "";
    Test.listStarted("leaving", 7);
    REQUIRE(Test.sendOne().m_Served == 1);
  }
}

TEST_CASE(
    "A stream that runs when its upstream reports that it leaves completes",
    "[gateway][server-leaving]") {
  UpstreamSignalsFleet Test(1);
  Test.addRunnerSending("leaving");
  StandinRunner::ConnectionPtr Stream;
  Test.m_Runners["leaving"]->setBehaviour(
      [&](const StandinRunner::Request &Of,
          const StandinRunner::ConnectionPtr &To) {
        if (Of.m_Target == "/stream/x") {
          Stream = To;
          To->write(StandinRunner::streamHead(Of) + StandinRunner::event(1));
        } else {
          To->write(StandinRunner::answer(Of, 200, "body", LeavingHeader));
        }
      });
  Test.untilAllReady();
  std::optional<HttpAnswer> Whole;
  Test.m_Http.fetch(
      GatewayTest::callTo(*Test.m_Boxes.front(), "/stream/x", "streamed"),
      [&](const HttpAnswer &Answer) { Whole = Answer; });
  REQUIRE(Test.until([&] { return Stream != nullptr; }));
  REQUIRE(Test.sendOne().m_Served == 1);
  Test.wait(LastResortTime);
  Stream->write(StandinRunner::event(2) + StandinRunner::streamEnd());
  REQUIRE(Test.until([&] { return Whole.has_value(); }));
  REQUIRE(Whole->ok());
}
