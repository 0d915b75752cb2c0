#include "gateway/GatewayTest.h"

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

/// One engine with one model behind a route whose streams may pause for 100 ms.
class PaceTest : public GatewayTest {
public:
  explicit PaceTest(StandinRunner::Behaviour Behave, int TargetMs = 1000) {
    addRunner("i-1", std::move(Behave));
    listEngine("i-1", {"m"});
    Json Route = route("llm", "streaming");
    Route["gapTargetMs"] = 100;
    Route["targetLatencyMs"] = TargetMs;
    const auto Model = [](const char *Name) {
      return Json{{"name", Name}, {"weightsMb", 40}, {"loadTimeS", 4}};
    };
    configureEngines(std::move(Route), Json::array({Model("m"), Model("n")}));
    startGateway();
    REQUIRE(until([&] { return m_Gateway->state().ready(); }));
  }

  void ask(const std::string &Id, const std::string &Model = "m") {
    HttpCall Call = call("/llm/x", Id);
    Call.m_Headers.push_back({"X-Model-Name", Model});
    Call.m_Headers.push_back({"X-Token-Counts", "5000,10"});
    m_Http.fetch(std::move(Call), [this, Id](const HttpAnswer &Answer) {
      m_Complete += Answer.m_End == HttpEnd::Complete ? 1 : 0;
      m_Status[Id] = Answer.m_Status;
    });
  }

  int m_Complete = 0;                  ///< Number of complete answers.
  std::map<std::string, int> m_Status; ///< Status of each answer, by request.
  Timer m_Reading;                     ///< Is destroyed before its loop.
};

void streamOne(const Request &Received, const ConnectionPtr &Connection) {
  Connection->write(StandinRunner::streamHead(Received));
  Connection->write(StandinRunner::event(1));
  Connection->write(StandinRunner::streamEnd());
}

} // namespace

TEST_CASE("A prompt is not sent while the engine still processes another",
          "[gateway][pace]") {
  std::optional<bool> SentDuringFirst;
  PaceTest *Running = nullptr;
  PaceTest Test([&](const Request &Received, const ConnectionPtr &Connection) {
    if (Received.header("x-attempt-id") != "id-1")
      return streamOne(Received, Connection);
    Running->m_Reading =
        Running->m_Loop.after(100ms, [&, Received, Connection] {
          SentDuringFirst = Running->arrivals("id-2") > 0;
          streamOne(Received, Connection);
        });
  });
  Running = &Test;
  Test.ask("id-1");
  REQUIRE(Test.until([&] { return Test.arrivals("id-1") == 1; }));
  Test.ask("id-2");
  REQUIRE(Test.until([&] { return Test.m_Complete == 2; }));
  REQUIRE(SentDuringFirst == false);
}

TEST_CASE("A request whose model is unloaded while pacing delays it is refused",
          "[gateway][pace]") {
  // The engine never finishes the first prompt.
  PaceTest Test([](const Request &, const ConnectionPtr &) {}, 10000);
  Test.ask("id-1");
  REQUIRE(Test.until([&] { return Test.arrivals("id-1") == 1; }));
  Test.ask("id-2", "n");
  // An answer shows that the box has accepted the request before it.
  REQUIRE(Test.fetch("/elsewhere/x", "id-3").m_Status == 404);
  const auto Holds = [&] {
    const UpstreamInstance *Engine =
        Test.m_Gateway->state().m_Upstreams.find("i-1");
    return Engine->resident("n") != nullptr;
  };
  Test.listEngine("i-1", {"m", "n"});
  REQUIRE(Test.until(Holds));
  Test.listEngine("i-1", {"m"});
  REQUIRE(Test.until([&] { return !Holds(); }));
  REQUIRE(Test.until([&] { return Test.m_Status.contains("id-2"); }));
  REQUIRE(Test.m_Status["id-2"] == 503);
  REQUIRE(Test.arrivals("id-2") == 0);
}
