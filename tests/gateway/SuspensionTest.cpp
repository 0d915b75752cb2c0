// Guards against a machine that is suspended for seconds. The steady clock does
// not count that time, while callers, upstreams and the other boxes go on.
#include "gateway/GatewayTest.h"
#include "wire/common/Clock.h"

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

constexpr Duration SuspendedFor = 20s;

} // namespace

TEST_CASE("A timer fires in time although the machine was suspended",
          "[gateway][suspension]") {
  EventLoop Loop;
  bool Fired = false;
  bool FiredEarly = false;
  const Timer Due = Loop.after(SuspendedFor, [&] { Fired = true; });
  const Timer NotDue = Loop.after(2 * SuspendedFor, [&] { FiredEarly = true; });
  const TimePoint Before = EventLoop::now();
  Clock::skip(SuspendedFor);
  REQUIRE(EventLoop::now() - Before >= SuspendedFor);
  REQUIRE(Loop.runUntil([&] { return Fired; }, 5s));
  REQUIRE_FALSE(FiredEarly);
}

TEST_CASE("A timer that has fired does not fire again after a suspension",
          "[gateway][suspension]") {
  EventLoop Loop;
  int Fired = 0;
  const Timer Due = Loop.after(1ms, [&] { ++Fired; });
  REQUIRE(Loop.runUntil([&] { return Fired == 1; }, 5s));
  Clock::skip(SuspendedFor);
  bool Over = false;
  const Timer Later = Loop.after(300ms, [&] { Over = true; });
  REQUIRE(Loop.runUntil([&] { return Over; }, 5s));
  REQUIRE(Fired == 1);
}

TEST_CASE(
    "A request whose deadline passed during a suspension is answered at once",
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
  Clock::skip(SuspendedFor);
  REQUIRE(Test.m_Loop.runUntil([&] { return Status != 0; }, 3s));
  REQUIRE(Status == 504);
}

TEST_CASE("After a suspension no order is given under the former lease",
          "[gateway][suspension]") {
  GatewayTest Test;
  Test.addRunner("i-1", [](const Request &, const ConnectionPtr &) {});
  Test.start();
  REQUIRE(Test.until([&] { return Test.m_Gateway->leading(); }));
  Clock::skip(SuspendedFor);
  REQUIRE(Test.until([&] { return !Test.m_Gateway->leading(); }));
  // The lease is acquired again.
  REQUIRE(Test.until([&] { return Test.m_Gateway->leading(); }));
}
