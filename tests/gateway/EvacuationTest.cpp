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

/// Boxes in the data centre x before one store, a runner in each of the data
/// centres x and y.
class EvacuationTest : public GatewayTest {
public:
  EvacuationTest() {
    const auto Answers = [](const Request &Of, const ConnectionPtr &To) {
      To->write(StandinRunner::answer(Of, 200, "body"));
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
    Options.m_Capacity = m_Started < Strong ? 0.5 : 0.12;
    Options.m_Bounds.m_Evacuation = 5s;
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

  std::vector<std::unique_ptr<Gateway>>::iterator giver() {
    return std::find_if(m_Boxes.begin(), m_Boxes.end(),
                        [](const auto &Box) { return Box->leading(); });
  }

  /// Sends requests to \p Box. \returns how many of them i-x got.
  std::size_t sentToX(const Gateway &Box, int Requests = 12) {
    std::size_t Sum = 0;
    for (int Count = 0; Count < Requests; ++Count) {
      const std::string Id = "r-" + std::to_string(++m_Sent);
      CHECK(fetch(callTo(Box, "/safe/x", Id)).m_Status == 200);
      Sum += m_Runners.at("i-x")->arrivals(Id);
    }
    return Sum;
  }

  std::vector<std::unique_ptr<Gateway>> m_Boxes;

private:
  static constexpr std::size_t Strong = 3;

  std::size_t m_Started = 0;
  int m_Sent = 0;
};

/// An engine that takes orders for models.
class ModelEngine {
public:
  explicit ModelEngine(std::set<std::string> Models)
      : m_Models(std::move(Models)) {}

  void serve(const Request &Of, const ConnectionPtr &To) {
    if (Of.m_Target == "/v1/report")
      return To->write(StandinRunner::answer(Of, 200, dumpJson(report())));
    if (Of.m_Target == "/v1/order")
      return order(Of, To);
    To->write(StandinRunner::answer(Of, 200, "run"));
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

  void order(const Request &Of, const ConnectionPtr &To) {
    const Json Order = parseJson(Of.m_Body);
    if (Order.at("expectedCount") != m_Orders)
      return To->write(StandinRunner::answer(Of, 409, ""));
    ++m_Orders;
    const std::string Model = Order.at("modelName").get<std::string>();
    if (Order.at("operation") == "model_load")
      m_Models.insert(Model);
    else
      m_Models.erase(Model);
    To->write(StandinRunner::answer(Of, 202, ""));
  }

  std::set<std::string> m_Models;
  std::size_t m_Orders = 0;
};

} // namespace

TEST_CASE("No box sends to an evacuated data centre until it is taken back",
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

TEST_CASE("An evacuation that was taken back and asked for anew holds",
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
          "back, and one before it holds all the while",
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

TEST_CASE("A box that starts knows the evacuations before it is ready",
          "[gateway][evacuation]") {
  EvacuationTest Test;
  Test.m_Store.put(KeyOfX, "{}");
  Test.startBoxes(1);
  REQUIRE(EvacuationTest::evacuated(*Test.m_Boxes[0]));
  const Gateway &Joins = Test.startBox();
  REQUIRE(Test.until([&] { return Joins.state().ready(); }));
  REQUIRE(EvacuationTest::evacuated(Joins));
  REQUIRE(Test.sentToX(Joins) == 0);
}

TEST_CASE("An evacuation is learned though the watch of evacuations is dead",
          "[gateway][evacuation]") {
  EvacuationTest Test;
  Test.startBoxes(3);
  REQUIRE(Test.until([&] { return Test.watching() == 1; }));
  REQUIRE(Test.m_Store.silenceWatch("op/evacuate/"));
  Test.m_Store.put(KeyOfX, "{}");
  REQUIRE(Test.allKnow(true));
}

TEST_CASE("In a large fleet one box watches the evacuations, and all follow",
          "[gateway][fleet][evacuation]") {
  EvacuationTest Test;
  Test.startBoxes(20);
  REQUIRE(Test.until([&] {
    return Test.giver() != Test.m_Boxes.end() && Test.watching() == 1;
  }));
  Test.m_Store.put(KeyOfX, "{}");
  REQUIRE(Test.allKnow(true));

  SECTION("a leaf that joins then, too") {
    const Gateway &Joins = Test.startBox();
    REQUIRE(Test.until([&] { return Joins.state().ready(); }));
    REQUIRE(EvacuationTest::evacuated(Joins));
  }
  SECTION("also when the one that gives orders is replaced") {
    Test.m_Boxes.erase(Test.giver());
    REQUIRE(Test.until([&] { return Test.giver() != Test.m_Boxes.end(); }));
    REQUIRE(Test.allKnow(true));
    Test.m_Store.remove(KeyOfX);
    REQUIRE(Test.allKnow(false));
    REQUIRE(Test.until([&] { return Test.watching() == 1; }));
  }
}

TEST_CASE("Where operators do not evacuate, nobody asks the store for it",
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
  // i-y may be used for a moment after it left.
  Test.wait(500ms);
  const HttpAnswer Answer =
      Test.fetch(EvacuationTest::callTo(*Test.m_Boxes[0], "/unsafe/x", "id"));
  CHECK(Answer.m_Status == 503);
  CHECK(Test.arrivals("id") == 0);
}

TEST_CASE(
    "A model of an evacuated data centre is loaded elsewhere, and nothing "
    "is loaded there",
    "[gateway][orders][evacuation]") {
  EvacuationTest Test;
  ModelEngine There({"m"});
  ModelEngine Elsewhere({});
  Test.addRunner("e-x", [&](const Request &Of, const ConnectionPtr &To) {
    There.serve(Of, To);
  });
  Test.addRunner("e-y", [&](const Request &Of, const ConnectionPtr &To) {
    Elsewhere.serve(Of, To);
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
  const std::size_t Before = There.orders();
  Test.m_Store.put(KeyOfX, "{}");
  REQUIRE(Test.allKnow(true));
  bool Again = false;
  for (int Tries = 0; !Again && Tries < 2000; ++Tries)
    Again = Served();
  REQUIRE(Again);
  CHECK(Elsewhere.holds("m"));
  CHECK(There.orders() == Before);

  Test.m_Store.remove(KeyOfX);
  REQUIRE(Test.allKnow(false));
  const auto Candidates = Box.state().m_Upstreams.candidates(
      "llm", "m", "", [](const InstanceId &) { return false; },
      EventLoop::now());
  CHECK(Candidates.size() == 2);
}
