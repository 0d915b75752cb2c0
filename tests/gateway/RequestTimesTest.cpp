#include "gateway/request/RequestTimes.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

const TimePoint Arrived = TimePoint() + 100s;
const Route Stream{.m_Timeout = 30s, .m_Target = 2s, .m_GapTarget = 500ms};

} // namespace

TEST_CASE("A request ends with the earlier of its caller's deadline and its "
          "route's timeout",
          "[gateway][request-times]") {
  REQUIRE(RequestTimes(Stream, std::nullopt, Arrived).deadline() ==
          Arrived + 30s);
  REQUIRE(RequestTimes(Stream, 40s, Arrived).deadline() == Arrived + 30s);
  const RequestTimes Short(Stream, 3s, Arrived);
  REQUIRE(Short.deadline() == Arrived + 3s);
  REQUIRE(Short.waited(Arrived + 1s) == 1s);
  REQUIRE(Short.left(Arrived + 1s) == 2s);
  REQUIRE(Short.left(Arrived + 4s) == -1s);
}

TEST_CASE("A request waits for permission as long as its answer meets its "
          "target, and a message's time when it does not",
          "[gateway][request-times]") {
  const RequestTimes Times(Stream, std::nullopt, Arrived);
  REQUIRE(Times.toSpare(500, Arrived + 400ms) == 1100ms);
  REQUIRE(Times.toSpare(1900, Arrived + 90ms) == 100ms);
  REQUIRE(Times.toSpare(0, Arrived + 5s) == 100ms);
}

TEST_CASE("A stream may be taken up until a margin after the caller's deadline",
          "[gateway][request-times]") {
  // The caller's deadline counts also where the route's timeout is earlier.
  REQUIRE(RequestTimes(Stream, 40s, Arrived).toResume(Arrived + 10s) == 35s);
  const RequestTimes ByRoute(Stream, std::nullopt, Arrived);
  REQUIRE(ByRoute.toResume(Arrived + 10s) == 25s);
  REQUIRE(ByRoute.toResume(Arrived + 31s) == 5s);
}

TEST_CASE(
    "Idle timeouts follow the targets of the route and have a lower limit",
    "[gateway][request-times]") {
  const RequestTimes Times(Stream, std::nullopt, Arrived);
  REQUIRE(Times.answerTimeout() == 6s);
  REQUIRE(Times.firstEventTimeout(1000) == 4500ms);
  REQUIRE(Times.nextEventTimeout() == 2s);
  const Route Quick{.m_Target = 100ms, .m_GapTarget = 50ms};
  const RequestTimes Limited(Quick, std::nullopt, Arrived);
  REQUIRE(Limited.answerTimeout() == 300ms);
  REQUIRE(Limited.firstEventTimeout(0) == 1200ms);
  REQUIRE(Limited.nextEventTimeout() == 1200ms);
}
