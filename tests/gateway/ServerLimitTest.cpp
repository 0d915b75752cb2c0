#include "gateway/GatewayTest.h"

#include <algorithm>
#include <vector>

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

/// What became of requests.
struct Outcome {
  int m_Served = 0;
  int m_Told = 0; ///< Refused, with when to come back.
  int m_Other = 0;
};

/// A fleet before runners of which some name a limit in their answers.
class ServerLimitTest : public GatewayTest {
public:
  /// From the first word on; all boxes have heard of it by then.
  static constexpr Duration Grace = 3s;
  static constexpr Duration Span = 4s;
  static constexpr Duration BetweenRequests = 50ms;

  explicit ServerLimitTest(std::size_t Boxes) {
    configure(1);
    for (std::size_t Number = 0; Number < Boxes; ++Number)
      addBox();
  }

  void addBox() {
    const std::size_t Number = m_Boxes.size();
    GatewayOptions Options = options();
    Options.m_Box = BoxName("box-" + std::to_string(10 + Number));
    Options.m_Capacity = Number < 3 ? 0.5 : 0.12;
    m_Boxes.push_back(makeGateway(Options, [] {}));
  }

  bool allBelieve(const InstanceId &Id, double PerS) const {
    return std::all_of(m_Boxes.begin(), m_Boxes.end(), [&](const auto &Box) {
      const NamedLimit *Limit = Box->state().m_Words.limit(Id);
      return Limit != nullptr && Limit->m_PerS == PerS;
    });
  }
  bool noneBelieves(const InstanceId &Id) const {
    return std::none_of(m_Boxes.begin(), m_Boxes.end(), [&](const auto &Box) {
      return Box->state().m_Words.limit(Id) != nullptr;
    });
  }

  /// One request, again until it is served.
  Outcome sendOne() {
    Outcome Result;
    while (Result.m_Served == 0)
      Result = play(BetweenRequests + BetweenRequests / 2);
    return Result;
  }

  /// Answers well and names \p Limit, unless that is empty.
  void addNaming(const std::string &Id, const std::string &Limit) {
    m_Limits[Id] = Limit;
    addRunner(Id, [this, Id](const Request &Of, const ConnectionPtr &To) {
      if (Of.m_Method != "POST")
        return;
      m_Arrived[Id].push_back(EventLoop::now());
      const std::string &Now = m_Limits[Id];
      To->write(StandinRunner::answer(
          Of, 200, "body", Now.empty() ? "" : "Server-Limit: " + Now + "\r\n"));
    });
  }

  void begin() {
    REQUIRE(until([&] {
      return std::all_of(m_Boxes.begin(), m_Boxes.end(), [&](const auto &Box) {
        return Box->state().ready() &&
               Box->state().m_Upstreams.current().size() == m_Runners.size();
      });
    }));
  }

  /// Requests come through all boxes in turn for \p For; all get an answer.
  Outcome play(Duration For) {
    Outcome Result;
    int Done = 0;
    int Sent = 0;
    const auto Send = [&] {
      const Gateway &Box =
          *m_Boxes[static_cast<std::size_t>(Sent) % m_Boxes.size()];
      ++Sent;
      m_Http.fetch(
          callTo(Box, "/safe/x", "id-" + std::to_string(++m_Ids)),
          [&](const HttpAnswer &Answer) {
            ++Done;
            if (Answer.m_Status == 200)
              ++Result.m_Served;
            else if (Answer.m_Status == 503 &&
                     !findHeader(Answer.m_Headers, "Retry-After").empty())
              ++Result.m_Told;
            else
              ++Result.m_Other;
          });
    };
    {
      const Timer Each = m_Loop.every(BetweenRequests, Send);
      wait(For);
    }
    REQUIRE(until([&] { return Done == Sent; }));
    return Result;
  }

  /// Most arrivals in any span, from the time on at which the limit binds.
  std::size_t worstSpan(const std::string &Id) {
    const std::vector<TimePoint> &At = m_Arrived[Id];
    std::size_t Most = 0;
    for (std::size_t First = 0, Next = 0; Next < At.size(); ++Next) {
      while (At[Next] - At[First] >= Span || At[First] < At[0] + Grace) {
        if (First == Next)
          break;
        ++First;
      }
      if (At[First] >= At[0] + Grace)
        Most = std::max(Most, Next - First + 1);
    }
    return Most;
  }
  static std::size_t allowed(double PerS) {
    return static_cast<std::size_t>(1.5 * PerS * inSeconds(Span)) + 5;
  }

  std::vector<std::unique_ptr<Gateway>> m_Boxes;
  std::map<std::string, std::string> m_Limits;
  std::map<std::string, std::vector<TimePoint>> m_Arrived;
  int m_Ids = 0;
};

} // namespace

TEST_CASE("All boxes together keep the limit that a server names",
          "[gateway][server-limit]") {
  const auto Boxes = GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{20});
  ServerLimitTest Test(Boxes);
  Test.addNaming("limited", "1");
  const bool Others = GENERATE(true, false);
  if (Others)
    Test.addNaming("whole", "");
  Test.begin();
  const Outcome All = Test.play(8s);
  CAPTURE(Boxes, Others, All.m_Served, All.m_Told, All.m_Other);
  REQUIRE(Test.worstSpan("limited") <= ServerLimitTest::allowed(1));
  REQUIRE(All.m_Other == 0);
}

TEST_CASE("All boxes hear of a limit, and of its end, from the one that was "
          "told",
          "[gateway][server-limit]") {
  const auto Boxes = GENERATE(std::size_t{3}, std::size_t{20});
  ServerLimitTest Test(Boxes);
  Test.addNaming("limited", "2.5");
  Test.begin();
  REQUIRE(Test.sendOne().m_Served == 1);
  REQUIRE(Test.until([&] { return Test.allBelieve("limited", 2.5); }));
  SECTION("of another value") {
    Test.m_Limits["limited"] = "0.5";
    REQUIRE(Test.sendOne().m_Served == 1);
    REQUIRE(Test.until([&] { return Test.allBelieve("limited", 0.5); }));
  }
  SECTION("of its end") {
    Test.m_Limits["limited"] = "";
    REQUIRE(Test.sendOne().m_Served == 1);
    REQUIRE(Test.until([&] { return Test.noneBelieves("limited"); }));
  }
  SECTION("a value that cannot be read changes nothing") {
    Test.m_Limits["limited"] = "many";
    REQUIRE(Test.sendOne().m_Served == 1);
    REQUIRE(Test.allBelieve("limited", 2.5));
  }
  SECTION("a box that joins hears of it from those that know") {
    Test.addBox();
    REQUIRE(Test.until([&] { return Test.allBelieve("limited", 2.5); }));
  }
}

TEST_CASE("A limit of nothing comes to its end", "[gateway][server-limit]") {
  ServerLimitTest Test(3);
  Test.addNaming("limited", "0");
  Test.begin();
  REQUIRE(Test.sendOne().m_Served == 1);
  REQUIRE(Test.until([&] { return Test.allBelieve("limited", 0); }));
  Test.m_Limits["limited"] = "";
  while (!Test.noneBelieves("limited"))
    Test.play(200ms);
  REQUIRE(Test.play(1s).m_Served == 20);
}

TEST_CASE("What a limited server does not take is refused at once, with a time",
          "[gateway][server-limit]") {
  ServerLimitTest Test(3);
  Test.addNaming("limited", "1");
  Test.begin();
  REQUIRE(Test.sendOne().m_Served == 1);
  REQUIRE(Test.until([&] { return Test.allBelieve("limited", 1); }));
  const Outcome All = Test.play(3s);
  CAPTURE(All.m_Served, All.m_Told, All.m_Other);
  REQUIRE(All.m_Other == 0);
  REQUIRE(All.m_Told >= 40);
  REQUIRE(All.m_Served >= 2);
}
