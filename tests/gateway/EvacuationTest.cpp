#include "gateway/GatewayTest.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

constexpr const char *KeyOfX = "op/evacuate/x";

/// Boxes in the data centre x with one store, and a runner in each of the data
/// centres x and y.
class EvacuationTest : public GatewayTest {
public:
  EvacuationTest() {
    const auto Answers = [](const Request &Received,
                            const ConnectionPtr &Connection) {
      Connection->write(StandinRunner::answer(Received, 200, "body"));
    };
    addRunner("i-x", Answers);
    addRunner("i-y", Answers);
    list("i-x", "ready", "x");
    list("i-y", "ready", "y");
    configure(1);
  }

  void startBoxes(std::size_t Count) {
    while (m_Boxes.size() < Count)
      startBox();
    REQUIRE(until([&] {
      return std::all_of(m_Boxes.begin(), m_Boxes.end(),
                         [](const auto &Box) { return Box->state().ready(); });
    }));
  }

  Gateway &startBox() {
    GatewayOptions Options = options();
    Options.m_DataCentre = DataCentreName("x");
    Options.m_Box = BoxName("box-" + std::to_string(10 + m_Started));
    Options.m_Capacity = m_Started < LargeBoxes ? 0.5 : 0.12;
    Options.m_Bounds.m_EvacuationDelay = 5s;
    ++m_Started;
    m_Boxes.push_back(makeGateway(Options, [] {}));
    return *m_Boxes.back();
  }

  static bool evacuated(const Gateway &Box) {
    return Box.state().m_Upstreams.evacuations().contains(DataCentreName("x"));
  }

  bool allKnow(bool Evacuated) {
    return until([&] {
      return std::all_of(m_Boxes.begin(), m_Boxes.end(), [&](const auto &Box) {
        return evacuated(*Box) == Evacuated;
      });
    });
  }

  std::size_t watching() const { return m_Store.watches("op/evacuate/"); }

  std::vector<std::unique_ptr<Gateway>>::iterator leader() {
    return std::find_if(m_Boxes.begin(), m_Boxes.end(),
                        [](const auto &Box) { return Box->leading(); });
  }

  /// Sends requests to \p Box. \returns how many of them the runner i-x
  /// received.
  std::size_t sentToX(const Gateway &Box, int Requests = 12) {
    std::size_t Sum = 0;
    for (int Count = 0; Count < Requests; ++Count) {
      const std::string Id = "r-" + std::to_string(++m_SentCount);
      CHECK(fetch(callTo(Box, "/safe/x", Id)).m_Status == 200);
      Sum += m_Runners.at("i-x")->arrivals(Id);
    }
    return Sum;
  }

  std::vector<std::unique_ptr<Gateway>> m_Boxes;

private:
  static constexpr std::size_t LargeBoxes = 3;

  std::size_t m_Started = 0;
  int m_SentCount = 0;
};

/// An engine that loads and unloads models by orders.
class ModelEngine {
public:
  explicit ModelEngine(std::set<std::string> Models)
      : m_Models(std::move(Models)) {}

  void serve(const Request &Received, const ConnectionPtr &Connection) {
    if (Received.m_Target == "/v1/report")
      return Connection->write(
          StandinRunner::answer(Received, 200, dumpJson(report())));
    if (Received.m_Target == "/v1/order")
      return order(Received, Connection);
    Connection->write(StandinRunner::answer(Received, 200, "run"));
  }
  std::size_t orders() const { return m_Orders; }
  bool holds(const std::string &Model) const {
    return m_Models.contains(Model);
  }

private:
  Json report() const {
    Json Models = Json::array();
    for (const std::string &Name : m_Models)
      Models.push_back({{"name", Name}, {"adapterList", Json::array()}});
    return {{"sequenceNumber", m_Orders},
            {"utilization", false},
            {"modelList", std::move(Models)}};
  }

  void order(const Request &Received, const ConnectionPtr &Connection) {
    const Json Order = parseJson(Received.m_Body);
    if (Order.at("expectedCount") != m_Orders)
      return Connection->write(StandinRunner::answer(Received, 409, ""));
    ++m_Orders;
    const std::string Model = Order.at("modelName").get<std::string>();
    if (Order.at("operation") == "model_load")
      m_Models.insert(Model);
    else
      m_Models.erase(Model);
    Connection->write(StandinRunner::answer(Received, 202, ""));
  }

  std::set<std::string> m_Models;
  std::size_t m_Orders = 0;
};

} // namespace

TEST_CASE(
    "No box sends to an evacuated data centre until the evacuation is revoked",
    "[gateway][evacuation]") {
  EvacuationTest Test;
  Test.startBoxes(2);
  REQUIRE(Test.sentToX(*Test.m_Boxes[0]) > 0);
  Test.m_Store.put(KeyOfX, "{}");
  REQUIRE(Test.allKnow(true));
  for (const auto &Box : Test.m_Boxes)
    REQUIRE(Test.sentToX(*Box) == 0);
  Test.m_Store.remove(KeyOfX);
  REQUIRE(Test.allKnow(false));
  Test.m_Store.remove("servers/i-y");
  REQUIRE(Test.until([&] {
    return !Test.m_Boxes[0]->state().m_Upstreams.current().contains("i-y");
  }));
  REQUIRE(Test.sentToX(*Test.m_Boxes[0]) > 0);
}

TEST_CASE("An evacuation that was revoked and requested again is in force",
          "[gateway][evacuation]") {
  EvacuationTest Test;
  Test.startBoxes(2);
  Test.m_Store.put(KeyOfX, "{}");
  REQUIRE(Test.allKnow(true));
  Test.m_Store.remove(KeyOfX);
  Test.m_Store.put(KeyOfX, "{}");
  Test.m_Store.remove(KeyOfX);
  Test.m_Store.put(KeyOfX, "{}");
  Test.m_Store.put("op/evacuate/z", "{}");
  REQUIRE(Test.until([&] {
    return std::all_of(Test.m_Boxes.begin(), Test.m_Boxes.end(),
                       [](const auto &Box) {
                         return Box->state().m_Upstreams.evacuations().contains(
                             DataCentreName("z"));
                       });
  }));
  REQUIRE(Test.allKnow(true));
}

TEST_CASE("An evacuation during an outage of the store is known once it is "
          "over, and one from before stays in force during it",
          "[gateway][evacuation]") {
  EvacuationTest Test;
  Test.startBoxes(2);
  const bool Before = GENERATE(false, true);
  if (Before) {
    Test.m_Store.put(KeyOfX, "{}");
    REQUIRE(Test.allKnow(true));
  }
  Test.m_Store.setFault(StandinStore::Fault::Refuses);
  const std::size_t Calls = Test.m_Store.calls();
  REQUIRE(Test.until([&] { return Test.m_Store.calls() > Calls + 10; }));
  REQUIRE(Test.allKnow(Before));
  Test.m_Store.put(KeyOfX, "{}");
  Test.m_Store.setFault(StandinStore::Fault::None);
  REQUIRE(Test.allKnow(true));
}

TEST_CASE("A box that starts knows the evacuations before it becomes ready",
          "[gateway][evacuation]") {
  EvacuationTest Test;
  Test.m_Store.put(KeyOfX, "{}");
  Test.startBoxes(1);
  REQUIRE(EvacuationTest::evacuated(*Test.m_Boxes[0]));
  const Gateway &Joining = Test.startBox();
  REQUIRE(Test.until([&] { return Joining.state().ready(); }));
  REQUIRE(EvacuationTest::evacuated(Joining));
  REQUIRE(Test.sentToX(Joining) == 0);
}

TEST_CASE("An evacuation is noticed though its watch of the store is silent",
          "[gateway][evacuation]") {
  EvacuationTest Test;
  Test.startBoxes(3);
  REQUIRE(Test.until([&] { return Test.watching() == 1; }));
  REQUIRE(Test.m_Store.silenceWatch("op/evacuate/"));
  Test.m_Store.put(KeyOfX, "{}");
  REQUIRE(Test.allKnow(true));
}

TEST_CASE(
    "In a large fleet one box watches the evacuations, and all boxes learn "
    "of them",
    "[gateway][fleet][evacuation]") {
  EvacuationTest Test;
  Test.startBoxes(20);
  REQUIRE(Test.until([&] {
    return Test.leader() != Test.m_Boxes.end() && Test.watching() == 1;
  }));
  Test.m_Store.put(KeyOfX, "{}");
  REQUIRE(Test.allKnow(true));

  SECTION("a leaf that joins later, too") {
    const Gateway &Joining = Test.startBox();
    REQUIRE(Test.until([&] { return Joining.state().ready(); }));
    REQUIRE(EvacuationTest::evacuated(Joining));
  }
  SECTION("also when the leader is replaced") {
    Test.m_Boxes.erase(Test.leader());
    REQUIRE(Test.until([&] { return Test.leader() != Test.m_Boxes.end(); }));
    REQUIRE(Test.allKnow(true));
    Test.m_Store.remove(KeyOfX);
    REQUIRE(Test.allKnow(false));
    REQUIRE(Test.until([&] { return Test.watching() == 1; }));
  }
}

TEST_CASE(
    "A box does not watch evacuations where operators have not enabled them",
    "[gateway][evacuation]") {
  EvacuationTest Test;
  Test.start();
  REQUIRE(Test.m_Gateway->state().ready());
  Test.wait(300ms);
  REQUIRE(Test.watching() == 0);
}

TEST_CASE("A request is refused when all its upstreams are evacuated",
          "[gateway][evacuation]") {
  EvacuationTest Test;
  Test.startBoxes(1);
  Test.m_Store.put(KeyOfX, "{}");
  REQUIRE(Test.allKnow(true));
  Test.m_Store.remove("servers/i-y");
  REQUIRE(Test.until([&] {
    return !Test.m_Boxes[0]->state().m_Upstreams.current().contains("i-y");
  }));
  // i-y may still be used for a short time after its entry is removed.
  Test.wait(500ms);
  const HttpAnswer Answer =
      Test.fetch(EvacuationTest::callTo(*Test.m_Boxes[0], "/unsafe/x", "id"));
  CHECK(Answer.m_Status == 503);
  CHECK(Test.arrivals("id") == 0);
}

TEST_CASE(
    "A model of an evacuated data centre is loaded in another one, and no "
    "model is loaded there",
    "[gateway][orders][evacuation]") {
  EvacuationTest Test;
  ModelEngine Evacuated({"m"});
  ModelEngine Other({});
  Test.addRunner("e-x",
                 [&](const Request &Received, const ConnectionPtr &Connection) {
                   Evacuated.serve(Received, Connection);
                 });
  Test.addRunner("e-y",
                 [&](const Request &Received, const ConnectionPtr &Connection) {
                   Other.serve(Received, Connection);
                 });
  Test.listEngine("e-x", {"m"}, 0, "x");
  Test.listEngine("e-y", {}, 0, "y");
  Test.configureEngines(Test.route("llm", "unsafe"),
                        Json::array({{{"name", "m"},
                                      {"weightsMb", 60},
                                      {"loadTimeS", 1},
                                      {"adapterList", 0},
                                      {"adapterSizeMb", 1}}}));
  Test.startBoxes(1);
  const Gateway &Box = *Test.m_Boxes[0];
  int Asked = 0;
  const auto Served = [&] {
    HttpCall Call =
        EvacuationTest::callTo(Box, "/llm/x", "m-" + std::to_string(++Asked));
    Call.m_Headers.push_back({"X-Model-Name", "m"});
    Call.m_Headers.push_back({"X-Token-Counts", "100,10"});
    return Test.fetch(std::move(Call)).m_Status == 200;
  };
  REQUIRE(Test.until([&] { return Box.leading(); }));
  REQUIRE(Served());
  const std::size_t Before = Evacuated.orders();
  Test.m_Store.put(KeyOfX, "{}");
  REQUIRE(Test.allKnow(true));
  bool ServedAgain = false;
  for (int Tries = 0; !ServedAgain && Tries < 2000; ++Tries)
    ServedAgain = Served();
  REQUIRE(ServedAgain);
  CHECK(Other.holds("m"));
  CHECK(Evacuated.orders() == Before);

  Test.m_Store.remove(KeyOfX);
  REQUIRE(Test.allKnow(false));
  const auto Candidates = Box.state().m_Upstreams.candidates(
      "llm", "m", "", [](const InstanceId &) { return false; },
      EventLoop::now());
  CHECK(Candidates.size() == 2);
}
