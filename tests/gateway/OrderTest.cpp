#include "gateway/GatewayTest.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

/// An engine that holds the model `m` and accepts orders for its adapters.
class OrderedEngine {
public:
  void serve(const Request &Received, const ConnectionPtr &To) {
    if (Received.m_Target == "/v1/report")
      return To->write(
          StandinRunner::answer(Received, 200, dumpJson(report())));
    if (Received.m_Target == "/v1/order")
      return order(Received, To);
    const std::string Model = Received.header("x-model-name");
    const std::size_t Slash = Model.find('/');
    const bool Held = Slash == std::string::npos ||
                      m_Adapters.contains(Model.substr(Slash + 1));
    To->write(Held ? StandinRunner::answer(Received, 200, "run")
                   : StandinRunner::answer(Received, 421, "",
                                           "X-Request-Not-Executed: 1\r\n"));
  }

  /// Simulates a restart under the same name with the start time \p Born.
  void startAgain(StartTime Born) {
    m_StartTime = Born;
    m_Orders.clear();
    m_Adapters.clear();
  }

  std::vector<Json> m_Orders;

private:
  Json report() const {
    return {{"sequenceNumber", m_Orders.size()},
            {"born", m_StartTime},
            {"utilization", false},
            {"modelList",
             Json::array({{{"name", "m"}, {"adapterList", m_Adapters}}})}};
  }

  void order(const Request &Received, const ConnectionPtr &To) {
    const Json Order = parseJson(Received.m_Body);
    if (Order.at("expectedCount") != m_Orders.size())
      return To->write(StandinRunner::answer(Received, 409, ""));
    m_Orders.push_back(Order);
    m_Adapters.insert(Order.at("adapterName").get<std::string>());
    To->write(StandinRunner::answer(Received, 202, ""));
  }

  StartTime m_StartTime = 100;
  std::set<std::string> m_Adapters;
};

class OrderTest : public GatewayTest {
public:
  OrderTest() {
    addRunner("i-1", [this](const Request &Received, const ConnectionPtr &To) {
      m_Engine.serve(Received, To);
    });
    listEngine("i-1", {"m"}, 100);
    configureEngines(route("llm", "unsafe"),
                     Json::array({{{"name", "m"},
                                   {"weightsMb", 60},
                                   {"loadTimeS", 4},
                                   {"adapterList", 3},
                                   {"adapterSizeMb", 1}}}));
    startGateway();
    REQUIRE(until(
        [&] { return m_Gateway->state().ready() && m_Gateway->leading(); }));
  }

  int ask(const std::string &Model, const std::string &Id) {
    HttpCall Call = call("/llm/x", Id);
    Call.m_Headers.push_back({"X-Model-Name", Model});
    Call.m_Headers.push_back({"X-Token-Counts", "100,10"});
    return fetch(std::move(Call)).m_Status;
  }

  /// Whether requests for \p Model are served within 200 tries.
  bool runs(const std::string &Model) {
    int Status = 0;
    for (int Number = 0; Status != 200 && Number < 200; ++Number)
      Status = ask(Model, "id-" + Model + std::to_string(Number));
    return Status == 200;
  }

  OrderedEngine m_Engine;
};

} // namespace

TEST_CASE("An adapter that requests wait for is ordered, and they are served",
          "[gateway][orders]") {
  OrderTest Test;
  REQUIRE(Test.ask("m", "id-model") == 200);
  int Status = 0;
  for (int Number = 0; Status != 200 && Number < 200; ++Number)
    Status = Test.ask("m/a2", "id-" + std::to_string(Number));
  REQUIRE(Status == 200);
  REQUIRE(Test.m_Engine.m_Orders.size() == 1);
  const Json &Order = Test.m_Engine.m_Orders.front();
  REQUIRE(Order.at("operation") == "model_load");
  REQUIRE(Order.at("modelName") == "m");
  REQUIRE(Order.at("adapterName") == "a2");
  REQUIRE(Order.at("lockHolder") == "box");
  REQUIRE(Order.at("fencingToken").get<std::uint64_t>() > 0);
}

TEST_CASE("An engine that has restarted under its name is sent orders anew",
          "[gateway][orders][lives]") {
  OrderTest Test;
  REQUIRE(Test.runs("m/a2"));
  const bool ListLags = GENERATE(false, true);
  const StartTime Born = GENERATE(200, 0);
  Test.m_Engine.startAgain(Born);
  if (!ListLags)
    Test.listEngine("i-1", {"m"}, Born);
  // Either the engine's report shows the restart first, or its entry does.
  Test.ask("m/a3", "id-first");
  if (ListLags)
    Test.listEngine("i-1", {"m"}, Born);
  REQUIRE(Test.runs("m/a3"));
  REQUIRE(Test.m_Engine.m_Orders.front().at("expectedCount") == 0);
  const std::vector<Json> &Orders = Test.m_Engine.m_Orders;
  REQUIRE(std::any_of(Orders.begin(), Orders.end(), [](const Json &Each) {
    return Each.at("adapterName") == "a3";
  }));
}

TEST_CASE("A model that no engine holds is refused with a retry time",
          "[gateway][orders]") {
  OrderTest Test;
  HttpCall Call = Test.call("/llm/x", "id-1");
  Call.m_Headers.push_back({"X-Model-Name", "none"});
  const HttpAnswer Answer = Test.fetch(std::move(Call));
  REQUIRE(Answer.m_Status == 503);
  REQUIRE_FALSE(findHeader(Answer.m_Headers, "Retry-After").empty());
}

TEST_CASE("Few engines are asked for reports at a time, however many there are",
          "[gateway][orders]") {
  constexpr std::size_t Engines = 300;
  constexpr std::size_t MostAtOnce = 64;
  GatewayTest Test;
  std::vector<std::pair<Request, ConnectionPtr>> Waiting;
  Test.addRunner("i-0", [&](const Request &Received, const ConnectionPtr &To) {
    Waiting.emplace_back(Received, To);
  });
  // All at one address: each engine gets its own call.
  for (std::size_t Number = 0; Number < Engines; ++Number) {
    const std::string Id = "i-" + std::to_string(Number);
    Json Entry = parseJson(Test.m_Store.value("servers/i-0"));
    Entry["service"] = "llm";
    Entry["modelList"] =
        Json::array({{{"name", "m-" + std::to_string(Number % 50)},
                      {"adapterList", Json::array()}}});
    Test.m_Store.put("servers/" + Id, dumpJson(Entry));
  }
  Test.configureEngines(Test.route("llm", "unsafe"), Json::array());
  Test.startGateway();
  REQUIRE(Test.until([&] { return Waiting.size() == MostAtOnce; }));
  Test.wait(300ms);
  REQUIRE(Waiting.size() == MostAtOnce);
  // Each answer lets the next call be made.
  std::size_t Answered = 0;
  REQUIRE(Test.until([&] {
    for (auto &[Received, To] : std::exchange(Waiting, {})) {
      To->write(
          StandinRunner::answer(Received, 200,
                                dumpJson({{"sequenceNumber", 0},
                                          {"born", 0},
                                          {"utilization", false},
                                          {"modelList", Json::array()}})));
      ++Answered;
    }
    return Answered >= Engines;
  }));
}
