#include "gateway/GatewayTest.h"

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

/// A runner that stops and restarts under its name, at its address. Requests to
/// its former incarnation get no answer from then on, or a reset.
class RestartTest : public GatewayTest {
public:
  RestartTest() {
    addRunner("i-1", [this](const Request &Of, const ConnectionPtr &On) {
      serve(Of, On);
    });
    listStarted("i-1", 100);
    start();
    REQUIRE(until([&] { return listedStartTime() == 100; }));
  }

  StartTime listedStartTime() const {
    const auto *Found = m_Gateway->state().m_Upstreams.find("i-1");
    return Found == nullptr ? 0 : Found->m_StartTime;
  }

  /// Resets the connections of all requests that have no answer yet.
  void stopRunner() {
    for (const ConnectionPtr &Connection : m_Unanswered)
      if (Connection->open())
        Connection->reset();
    m_Unanswered.clear();
  }

  void restart() {
    m_WithholdAnswers = false;
    ++m_StartCount;
    listStarted("i-1", 100 + m_StartCount);
    REQUIRE(until([&] { return listedStartTime() == 100 + m_StartCount; }));
  }

  bool m_WithholdAnswers = false; ///< Requests get no answer.

private:
  void serve(const Request &Of, const ConnectionPtr &On) {
    // A connection belongs to the incarnation that first got a request on it.
    if (m_StartByConnection.try_emplace(On.get(), m_StartCount).first->second !=
        m_StartCount)
      return;
    m_Connections.push_back(On);
    if (m_WithholdAnswers)
      m_Unanswered.push_back(On);
    else
      On->write(StandinRunner::answer(Of, 200, std::to_string(m_StartCount)));
  }

  int m_StartCount = 0;
  std::map<StandinRunner::Connection *, int> m_StartByConnection;
  /// Keeps the addresses of connections from being reused.
  std::vector<ConnectionPtr> m_Connections;
  std::vector<ConnectionPtr> m_Unanswered;
};

} // namespace

TEST_CASE(
    "Nothing is sent on a connection that was kept to a former incarnation",
    "[gateway][lives]") {
  RestartTest Test;
  REQUIRE(Test.fetch("/safe/x", "id-1").m_Body == "0");
  REQUIRE(Test.fetch("/safe/x", "id-2").m_Body == "0");
  REQUIRE(Test.m_Runners.at("i-1")->accepted() == 1);
  Test.stopRunner();
  Test.restart();
  const HttpAnswer Answer = Test.fetch("/safe/x", "id-3");
  REQUIRE(Answer.m_Status == 200);
  REQUIRE(Answer.m_Body == "1");
  REQUIRE(Test.arrivals("id-3") == 1);
}

TEST_CASE("A request that a restart interrupts runs at most once",
          "[gateway][lives]"
          "[unsafe]") {
  RestartTest Test;
  Test.m_WithholdAnswers = true;
  HttpAnswer Cut;
  bool Done = false;
  Test.m_Http.fetch(Test.call("/unsafe/x", "id-1", "b"),
                    [&](HttpAnswer Answer) {
                      Cut = std::move(Answer);
                      Done = true;
                    });
  REQUIRE(Test.until([&] { return Test.arrivals("id-1") == 1; }));
  const bool AfterPartition = GENERATE(false, true);
  // During a partition nobody notices that the former incarnation has ended.
  if (!AfterPartition)
    Test.stopRunner();
  Test.restart();
  if (AfterPartition)
    Test.stopRunner();
  REQUIRE(Test.until([&] { return Done; }));
  REQUIRE(Cut.m_Status == 502);
  REQUIRE(Test.fetch("/unsafe/x", "id-2").m_Status == 200);
  REQUIRE(Test.arrivals("id-1") == 1);
  REQUIRE(Test.arrivals("id-2") == 1);
}

TEST_CASE("A request that was refused while its upstream was down never runs",
          "[gateway][lives][unsafe]") {
  RestartTest Test;
  Test.stopRunner();
  Test.m_Store.remove("servers/i-1");
  REQUIRE(Test.until(
      [&] { return Test.m_Gateway->state().m_Upstreams.current().empty(); }));
  Test.wait(ServingView::Options{}.m_LastResort + 10ms);
  const HttpAnswer Refused = Test.fetch("/unsafe/x", "id-1");
  REQUIRE(Refused.m_Status == 503);
  Test.restart();
  REQUIRE(Test.fetch("/unsafe/x", "id-2").m_Status == 200);
  REQUIRE(Test.arrivals("id-1") == 0);
}

TEST_CASE(
    "Failures and loads of a former incarnation do not count for the new one",
    "[gateway][lives]") {
  RestartTest Test;
  Test.m_WithholdAnswers = true;
  const HttpCallHandle Call = Test.m_Http.start([&] {
    HttpCall Result = Test.call("/unsafe/x", "id-1", "b");
    Result.m_OnHead = [](int, const HttpHeaders &) {};
    Result.m_OnBytes = [](std::string_view) {};
    Result.m_OnEnd = [](HttpEnd) {};
    return Result;
  }());
  REQUIRE(Test.until([&] { return Test.arrivals("id-1") == 1; }));
  const ServingState &State = Test.m_Gateway->state();
  const auto Running = [&] {
    return State.m_Loads.load("i-1", EventLoop::now()).m_Running;
  };
  REQUIRE(Running() == 1);
  const bool AfterPartition = GENERATE(false, true);
  if (!AfterPartition) {
    Test.stopRunner();
    REQUIRE(Test.until([&] { return Running() == 0; }));
    REQUIRE(State.m_Failures.rate("i-1", EventLoop::now()) > 0);
  }
  Test.restart();
  REQUIRE(Running() == 0);
  REQUIRE(State.m_Failures.rate("i-1", EventLoop::now()) == 0);
  if (AfterPartition) {
    Test.stopRunner();
    REQUIRE(Test.until([&] { return Test.m_Gateway->openRequests() == 0; }));
    REQUIRE(State.m_Failures.rate("i-1", EventLoop::now()) == 0);
  }
}
