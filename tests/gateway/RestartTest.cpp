#include "gateway/GatewayTest.h"

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

/// A runner that ends and starts again under its name, at its address. Its
/// former start is silent from then on, or resets what it was asked.
class RestartTest : public GatewayTest {
public:
  RestartTest() {
    addRunner("i-1", [this](const Request &Of, const ConnectionPtr &On) {
      serve(Of, On);
    });
    listStarted("i-1", 100);
    start();
    REQUIRE(until([&] { return bornAt() == 100; }));
  }

  UpstreamBirth bornAt() const {
    const auto *Found = m_Gateway->state().m_Upstreams.find("i-1");
    return Found == nullptr ? 0 : Found->m_Born;
  }

  /// What it had taken it drops without an answer.
  void end() {
    for (const ConnectionPtr &Each : m_Held)
      if (Each->open())
        Each->reset();
    m_Held.clear();
  }

  void comeBack() {
    m_Holds = false;
    ++m_Start;
    listStarted("i-1", 100 + m_Start);
    REQUIRE(until([&] { return bornAt() == 100 + m_Start; }));
  }

  bool m_Holds = false; ///< Requests get no answer.

private:
  void serve(const Request &Of, const ConnectionPtr &On) {
    // A connection belongs to the start that first got a request on it.
    if (m_StartOf.try_emplace(On.get(), m_Start).first->second != m_Start)
      return;
    m_Kept.push_back(On);
    if (m_Holds)
      m_Held.push_back(On);
    else
      On->write(StandinRunner::answer(Of, 200, std::to_string(m_Start)));
  }

  int m_Start = 0;
  std::map<StandinRunner::Connection *, int> m_StartOf;
  std::vector<ConnectionPtr> m_Kept; ///< Keeps addresses apart.
  std::vector<ConnectionPtr> m_Held;
};

} // namespace

TEST_CASE("Nothing is sent on a connection that was kept to a former start",
          "[gateway][lives]") {
  RestartTest Test;
  REQUIRE(Test.fetch("/safe/x", "id-1").m_Body == "0");
  REQUIRE(Test.fetch("/safe/x", "id-2").m_Body == "0");
  REQUIRE(Test.m_Runners.at("i-1")->accepted() == 1);
  Test.end();
  Test.comeBack();
  const HttpAnswer Answer = Test.fetch("/safe/x", "id-3");
  REQUIRE(Answer.m_Status == 200);
  REQUIRE(Answer.m_Body == "1");
  REQUIRE(Test.arrivals("id-3") == 1);
}

TEST_CASE("What a restart cut off runs at most once", "[gateway][lives]"
                                                      "[unsafe]") {
  RestartTest Test;
  Test.m_Holds = true;
  HttpAnswer Cut;
  bool Done = false;
  Test.m_Http.fetch(Test.call("/unsafe/x", "id-1", "b"),
                    [&](HttpAnswer Answer) {
                      Cut = std::move(Answer);
                      Done = true;
                    });
  REQUIRE(Test.until([&] { return Test.arrivals("id-1") == 1; }));
  const bool BehindCut = GENERATE(false, true);
  // Behind a cut nobody hears that the former start has ended.
  if (!BehindCut)
    Test.end();
  Test.comeBack();
  if (BehindCut)
    Test.end();
  REQUIRE(Test.until([&] { return Done; }));
  REQUIRE(Cut.m_Status == 502);
  REQUIRE(Test.fetch("/unsafe/x", "id-2").m_Status == 200);
  REQUIRE(Test.arrivals("id-1") == 1);
  REQUIRE(Test.arrivals("id-2") == 1);
}

TEST_CASE("What was refused while a server was away never runs",
          "[gateway][lives][unsafe]") {
  RestartTest Test;
  Test.end();
  Test.m_Store.remove("servers/i-1");
  REQUIRE(Test.until(
      [&] { return Test.m_Gateway->state().m_Upstreams.current().empty(); }));
  Test.wait(ServingView::Options{}.m_LastResort + 10ms);
  const HttpAnswer Refused = Test.fetch("/unsafe/x", "id-1");
  REQUIRE(Refused.m_Status == 503);
  Test.comeBack();
  REQUIRE(Test.fetch("/unsafe/x", "id-2").m_Status == 200);
  REQUIRE(Test.arrivals("id-1") == 0);
}

TEST_CASE("Failures and loads of a former start do not weigh on the new one",
          "[gateway][lives]") {
  RestartTest Test;
  Test.m_Holds = true;
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
  const bool BehindCut = GENERATE(false, true);
  if (!BehindCut) {
    Test.end();
    REQUIRE(Test.until([&] { return Running() == 0; }));
    REQUIRE(State.m_Failures.rate("i-1", EventLoop::now()) > 0);
  }
  Test.comeBack();
  REQUIRE(Running() == 0);
  REQUIRE(State.m_Failures.rate("i-1", EventLoop::now()) == 0);
  if (BehindCut) {
    Test.end();
    REQUIRE(Test.until([&] { return Test.m_Gateway->openRequests() == 0; }));
    REQUIRE(State.m_Failures.rate("i-1", EventLoop::now()) == 0);
  }
}
