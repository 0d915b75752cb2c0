#include "gateway/process/ConfigSendQueue.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

using namespace havenstair;

TEST_CASE("Boxes that request a configuration while links are busy get it once "
          "they are free",
          "[gateway][configuration]") {
  const BoxName A("a");
  const BoxName B("b");
  const BoxName C("c");
  std::vector<BoxName> Sent;
  std::set<BoxName> Slow;
  std::size_t Capacity = 1; // Number of copies that fit onto the links.
  int Delayed = 0;
  ConfigSendQueue Queue(
      {.m_Busy = [&] { return Sent.size() >= Capacity; },
       .m_Slow = [&](const auto &Box) { return Slow.contains(Box); },
       .m_Send = [&](const auto &Box) { Sent.push_back(Box); },
       .m_Delayed = [&](const auto &, auto) { ++Delayed; }});
  Queue.request(A, 1, 2);
  Queue.request(B, 1, 2);
  Queue.request(C, 1, 2);
  REQUIRE(Sent == std::vector{A});
  REQUIRE(Delayed == 2);

  SECTION("one after the other") {
    Capacity = 2;
    Queue.sendWaiting(2);
    REQUIRE(Sent == std::vector{A, B});
    Capacity = 9;
    Queue.sendWaiting(2);
    Queue.sendWaiting(2);
    REQUIRE(Sent == std::vector{A, B, C});
  }
  SECTION("but not while a box's own link is slow") {
    Capacity = 9;
    Slow.insert(B);
    Queue.sendWaiting(2);
    REQUIRE(Sent == std::vector{A, C});
    Slow.clear();
    Queue.sendWaiting(2);
    REQUIRE(Sent == std::vector{A, C, B});
  }
  SECTION("unless they have got it elsewhere or are gone") {
    Capacity = 9;
    Queue.recordVersion(B, 2);
    Queue.forget(C);
    Queue.sendWaiting(2);
    REQUIRE(Sent == std::vector{A});
  }
  SECTION("and a box that has the version is not sent it") {
    Capacity = 9;
    Queue.request(A, 2, 2);
    REQUIRE(Sent == std::vector{A});
  }
}
