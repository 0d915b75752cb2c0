#include "gateway/GatewayTest.h"

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

/// One engine with one model behind a route whose streams may pause for 100 ms.
class PaceTest : public GatewayTest {
public:
  explicit PaceTest(StandinRunner::Behaviour Behave) {
    addRunner("i-1", std::move(Behave));
    const Json Resident{{"name", "m"}, {"adapterList", Json::array()}};
    m_Store.put("servers/i-1",
                dumpJson({{"service", "llm"},
                          {"address", m_Runners.at("i-1")->endpoint().str()},
                          {"zone", "a"},
                          {"slots", 8},
                          {"state", "ready"},
                          {"modelList", Json::array({Resident})}}));
    Json Route = route("llm", "streaming");
    Route["service"] = "llm";
    Route["gapTargetMs"] = 100;
    const Json Model{{"name", "m"}, {"weightsMb", 60}, {"loadTimeS", 4}};
    const Json Engine{{"slots", 8},
                      {"weightsMb", 100},
                      {"loadsPerS", 2},
                      {"modelList", Json::array({Model})}};
    const Json Service{{"name", "llm"}, {"inferenceEngine", Engine}};
    m_Store.put("op/config", dumpJson({{"version", 1},
                                       {"routes", Json::array({Route})},
                                       {"services", Json::array({Service})}}));
    startGateway();
    REQUIRE(until([&] { return m_Gateway->state().ready(); }));
  }

  void ask(const std::string &Id) {
    HttpCall Call = call("/llm/x", Id);
    Call.m_Headers.push_back({"X-Model-Name", "m"});
    Call.m_Headers.push_back({"X-Token-Counts", "5000,10"});
    m_Http.fetch(std::move(Call), [this](const HttpAnswer &Answer) {
      m_Whole += Answer.m_End == HttpEnd::Complete ? 1 : 0;
    });
  }

  int m_Whole = 0; ///< Whole answers.
  Timer m_Reading; ///< Ends before its loop does.
};

void streamOne(const Request &Of, const ConnectionPtr &To) {
  To->write(StandinRunner::streamHead(Of));
  To->write(StandinRunner::event(1));
  To->write(StandinRunner::streamEnd());
}

} // namespace

TEST_CASE("A prompt is not sent beside another that the engine still reads",
          "[gateway][pace]") {
  std::optional<bool> BesideFirst;
  PaceTest *Running = nullptr;
  PaceTest Test([&](const Request &Of, const ConnectionPtr &To) {
    if (Of.header("x-attempt-id") != "id-1")
      return streamOne(Of, To);
    Running->m_Reading = Running->m_Loop.after(100ms, [&, Of, To] {
      BesideFirst = Running->arrivals("id-2") > 0;
      streamOne(Of, To);
    });
  });
  Running = &Test;
  Test.ask("id-1");
  REQUIRE(Test.until([&] { return Test.arrivals("id-1") == 1; }));
  Test.ask("id-2");
  REQUIRE(Test.until([&] { return Test.m_Whole == 2; }));
  REQUIRE(BesideFirst == false);
}
