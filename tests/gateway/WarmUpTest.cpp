#include "gateway/GatewayTest.h"

#include <algorithm>
#include <vector>

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

void answerWithSuccess(const Request &Of, const ConnectionPtr &To) {
  To->write(StandinRunner::answer(Of, 200, "body"));
}

/// Counts how requests that were sent at once ended.
struct Outcome {
  int m_Served = 0;
  int m_RetryLater = 0; ///< Refused with a time to retry after.
  int m_Other = 0;
};

/// A fleet with runners that take 6.6 requests per second while cold.
class WarmUpTest : public GatewayTest {
public:
  /// Limit for the requests of all boxes together in any second.
  static constexpr std::size_t MaxPerSecond = 14;

  explicit WarmUpTest(std::size_t Boxes) {
    Json Route = route("safe", "safe");
    Json Service{{"name", "s"}, {"coldStartS", 30}, {"coldPerS", 6.6}};
    m_Store.put("op/config", dumpJson({{"version", 1},
                                       {"routes", Json::array({Route})},
                                       {"services", Json::array({Service})}}));
    listCold("cold", 60000);
    for (std::size_t Number = 0; Number < Boxes; ++Number) {
      GatewayOptions Options = options();
      Options.m_Box = BoxName("box-" + std::to_string(10 + Number));
      Options.m_Capacity = Number < 3 ? 0.5 : 0.12;
      Options.m_Bounds.m_WarmUp = {.m_Factor = 1.5, .m_Allowance = 5};
      m_Boxes.push_back(makeGateway(Options, [] {}));
    }
    REQUIRE(until([&] {
      return std::all_of(m_Boxes.begin(), m_Boxes.end(),
                         [](const auto &Box) { return Box->state().ready(); });
    }));
  }

  StandinRunner &listCold(const std::string &Id, int ColdMs) {
    StandinRunner &Runner = addRunner(Id, answerWithSuccess);
    listSlots(Id, 80, ColdMs);
    return Runner;
  }

  /// Lists the runner \p Id. An entry with another number of slots is an
  /// update.
  void listSlots(const std::string &Id, int Slots, int ColdMs) {
    Json Entry = entry(Id, "ready");
    Entry["slots"] = Slots;
    Entry["coldRemainingMs"] = ColdMs;
    m_Store.put("servers/" + Id, dumpJson(Entry));
  }

  /// Sends \p Count requests through all boxes in turn, at once.
  Outcome flood(int Count) {
    Outcome Result;
    int Done = 0;
    for (int Number = 0; Number < Count; ++Number) {
      const Gateway &Box =
          *m_Boxes[static_cast<std::size_t>(Number) % m_Boxes.size()];
      m_Http.fetch(
          callTo(Box, "/safe/x", "id-" + std::to_string(++m_Ids)),
          [&](const HttpAnswer &Answer) {
            ++Done;
            if (Answer.m_Status == 200)
              ++Result.m_Served;
            else if (Answer.m_Status == 503 &&
                     !findHeader(Answer.m_Headers, "Retry-After").empty())
              ++Result.m_RetryLater;
            else
              ++Result.m_Other;
          });
    }
    REQUIRE(until([&] { return Done == Count; }));
    return Result;
  }

  bool allKnowCold(const InstanceId &Id) const {
    return std::all_of(m_Boxes.begin(), m_Boxes.end(), [&](const auto &Box) {
      return Box->state().m_WarmUp.cold(Id, EventLoop::now());
    });
  }

  int m_Ids = 0;
  std::vector<std::unique_ptr<Gateway>> m_Boxes;
};

/// Longer than a new issuer waits for the permits of its predecessor to expire.
constexpr Duration SettlingTime = 3s;

} // namespace

TEST_CASE("All boxes together keep the rate of a cold upstream",
          "[gateway][warmup]") {
  const auto Boxes = GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{20});
  WarmUpTest Test(Boxes);
  REQUIRE(Test.until([&] { return Test.allKnowCold("cold"); }));
  Test.wait(SettlingTime);
  const Outcome All = Test.flood(60);
  CAPTURE(Boxes, All.m_Served, All.m_RetryLater);
  REQUIRE(All.m_Served >= 1);
  REQUIRE(Test.m_Runners.at("cold")->requests().size() <=
          WarmUpTest::MaxPerSecond);
  REQUIRE(All.m_Other == 0);
  REQUIRE(All.m_Served + All.m_RetryLater == 60);
}

TEST_CASE("A request without a permit goes to a warm upstream",
          "[gateway][warmup]") {
  WarmUpTest Test(3);
  Test.listCold("warm", 0);
  REQUIRE(Test.until([&] {
    return std::all_of(
        Test.m_Boxes.begin(), Test.m_Boxes.end(), [](const auto &Box) {
          return Box->state().m_Upstreams.current().contains("warm");
        });
  }));
  Test.wait(SettlingTime);
  Test.listSlots("warm", 81, 0);
  REQUIRE(Test.until([&] {
    return std::none_of(
        Test.m_Boxes.begin(), Test.m_Boxes.end(), [](const auto &Box) {
          return Box->state().m_WarmUp.cold("warm", EventLoop::now());
        });
  }));
  REQUIRE(Test.flood(60).m_Served == 60);
  REQUIRE(Test.m_Runners.at("cold")->requests().size() <=
          WarmUpTest::MaxPerSecond);
}

TEST_CASE("All boxes learn at once that an upstream reported to be cold",
          "[gateway][warmup]") {
  WarmUpTest Test(20);
  const auto Cold = [](const Request &Of, const ConnectionPtr &To) {
    To->write(StandinRunner::answer(Of, 200, "body",
                                    "X-Cold-Remaining-Ms: 60000\r\n"));
  };
  Test.m_Runners.at("cold")->setBehaviour(Cold);
  // The entry states that the upstream is warm, but an answer that it is not.
  Test.listSlots("cold", 81, 0);
  REQUIRE(Test.until([&] {
    return std::none_of(
        Test.m_Boxes.begin(), Test.m_Boxes.end(), [](const auto &Box) {
          return Box->state().m_WarmUp.cold("cold", EventLoop::now());
        });
  }));
  REQUIRE(Test.flood(1).m_Served == 1);
  REQUIRE(Test.until([&] { return Test.allKnowCold("cold"); }));
}
