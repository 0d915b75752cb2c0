// A machine may be suspended for seconds. The steady clock does not count that
// time, while callers, servers and the other boxes go on.
#include "gateway/GatewayTest.h"
#include "wire/common/Clock.h"

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

constexpr Duration Suspended = 20s;

} // namespace

TEST_CASE("A timer runs at its time though the machine was suspended",
          "[gateway][suspension]") {
  EventLoop Loop;
  bool Rang = false;
  bool Early = false;
  const Timer Due = Loop.after(Suspended, [&] { Rang = true; });
  const Timer NotDue = Loop.after(2 * Suspended, [&] { Early = true; });
  const TimePoint Before = EventLoop::now();
  Clock::skip(Suspended);
  REQUIRE(EventLoop::now() - Before >= Suspended);
  REQUIRE(Loop.runUntil([&] { return Rang; }, 5s));
  REQUIRE_FALSE(Early);
}

TEST_CASE("A timer that rang already does not ring again after a suspension",
          "[gateway][suspension]") {
  EventLoop Loop;
  int Rang = 0;
  const Timer Due = Loop.after(1ms, [&] { ++Rang; });
  REQUIRE(Loop.runUntil([&] { return Rang == 1; }, 5s));
  Clock::skip(Suspended);
  bool Over = false;
  const Timer Later = Loop.after(300ms, [&] { Over = true; });
  REQUIRE(Loop.runUntil([&] { return Over; }, 5s));
  REQUIRE(Rang == 1);
}

TEST_CASE("A request whose deadline passed in a suspension is answered at once",
          "[gateway][suspension]") {
  GatewayTest Test;
  std::size_t Arrived = 0;
  Test.addRunner("i-1",
                 [&](const Request &, const ConnectionPtr &) { ++Arrived; });
  Test.start();
  int Status = 0;
  Test.m_Http.fetch(
      Test.call("/unsafe/x", "id-1"),
      [&](const HttpAnswer &Answer) { Status = Answer.m_Status; });
  REQUIRE(Test.until([&] { return Arrived == 1; }));
  Clock::skip(Suspended);
  REQUIRE(Test.m_Loop.runUntil([&] { return Status != 0; }, 3s));
  REQUIRE(Status == 504);
}

TEST_CASE("After a suspension no order is given by the lease from before",
          "[gateway][suspension]") {
  GatewayTest Test;
  Test.addRunner("i-1", [](const Request &, const ConnectionPtr &) {});
  Test.start();
  REQUIRE(Test.until([&] { return Test.m_Gateway->leading(); }));
  Clock::skip(Suspended);
  REQUIRE(Test.until([&] { return !Test.m_Gateway->leading(); }));
  // It is taken anew.
  REQUIRE(Test.until([&] { return Test.m_Gateway->leading(); }));
}
