#include "gateway/request/StartupQueue.h"
#include "gateway/GatewayTest.h"

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

void answerWell(const Request &Received, const ConnectionPtr &Connection) {
  Connection->write(StandinRunner::answer(Received, 200, "body"));
}

StartupQueue::Item early(TimePoint Arrived, std::optional<Duration> Deadline) {
  StartupQueue::Item Result{.m_Arrived = Arrived};
  Result.m_Request.m_Deadline = Deadline;
  return Result;
}

} // namespace

TEST_CASE(
    "Early requests are kept while a box that starts may still get its lists",
    "[gateway][start]") {
  const TimePoint Start = TimePoint{} + 100s;
  StartupQueue Kept(
      Start,
      {.m_MaxWait = 1500ms, .m_DeadlineFraction = 0.5, .m_MaxRequests = 2});
  SECTION("no longer than a start may take") {
    CHECK(Kept.keep(early(Start, std::nullopt), Start));
    CHECK(Kept.takeExpired(Start + 1499ms).empty());
    CHECK(Kept.takeExpired(Start + 1500ms).size() == 1);
    CHECK_FALSE(Kept.keep(early(Start + 1600ms, std::nullopt), Start + 1600ms));
  }
  SECTION("no longer than half of the time to the caller's deadline") {
    CHECK(Kept.keep(early(Start, 600ms), Start));
    CHECK(Kept.keep(early(Start, 5s), Start));
    CHECK(Kept.takeExpired(Start + 299ms).empty());
    CHECK(Kept.takeExpired(Start + 300ms).size() == 1);
    CHECK(Kept.size() == 1);
  }
  SECTION("no more than the limit") {
    CHECK(Kept.keep(early(Start, 5s), Start));
    CHECK(Kept.keep(early(Start, 5s), Start));
    CHECK_FALSE(Kept.keep(early(Start, 5s), Start));
    CHECK(Kept.takeAll().size() == 2);
    CHECK(Kept.size() == 0);
  }
}

TEST_CASE(
    "A request that comes before the configuration is served once it is known",
    "[gateway][start]") {
  GatewayTest Test;
  Test.addRunner("i-1", answerWell);
  Test.startGateway();
  HttpAnswer Answer;
  bool Done = false;
  Test.m_Http.fetch(Test.call("/unsafe/x", "id-1"), [&](HttpAnswer Received) {
    Answer = std::move(Received);
    Done = true;
  });
  REQUIRE(Test.until([&] { return Test.m_Gateway->openRequests() == 1; }));

  SECTION("exactly once") {
    Test.configure(1);
    REQUIRE(Test.until([&] { return Done; }));
    CHECK(Answer.m_Status == 200);
    CHECK(Test.arrivals("id-1") == 1);
  }
  SECTION("or refused when the box stops") {
    Test.m_Gateway->stop();
    REQUIRE(Test.until([&] { return Done; }));
    CHECK(Answer.m_Status == 503);
    CHECK(Test.arrivals("id-1") == 0);
  }
}
