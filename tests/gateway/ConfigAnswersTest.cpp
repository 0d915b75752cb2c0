#include "gateway/process/ConfigAnswers.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

using namespace havenstair;

TEST_CASE(
    "Boxes that ask for a configuration while links are busy have it once "
    "they are free",
    "[gateway][configuration]") {
  const BoxName A("a");
  const BoxName B("b");
  const BoxName C("c");
  std::vector<BoxName> Sent;
  std::set<BoxName> Slow;
  std::size_t Room = 1; // Copies that fit onto the links.
  int Delayed = 0;
  ConfigAnswers Answers(
      {.m_Busy = [&] { return Sent.size() >= Room; },
       .m_Slow = [&](const auto &Box) { return Slow.contains(Box); },
       .m_Send = [&](const auto &Box) { Sent.push_back(Box); },
       .m_Delayed = [&](const auto &, auto) { ++Delayed; }});
  Answers.asked(A, 1, 2);
  Answers.asked(B, 1, 2);
  Answers.asked(C, 1, 2);
  REQUIRE(Sent == std::vector{A});
  REQUIRE(Delayed == 2);

  SECTION("one after the other") {
    Room = 2;
    Answers.proceed(2);
    REQUIRE(Sent == std::vector{A, B});
    Room = 9;
    Answers.proceed(2);
    Answers.proceed(2);
    REQUIRE(Sent == std::vector{A, B, C});
  }
  SECTION("not past one whose own link is slow") {
    Room = 9;
    Slow.insert(B);
    Answers.proceed(2);
    REQUIRE(Sent == std::vector{A, C});
    Slow.clear();
    Answers.proceed(2);
    REQUIRE(Sent == std::vector{A, C, B});
  }
  SECTION("unless they have it, or are gone") {
    Room = 9;
    Answers.holds(B, 2);
    Answers.forget(C);
    Answers.proceed(2);
    REQUIRE(Sent == std::vector{A});
  }
  SECTION("and no box that has as much is sent one") {
    Room = 9;
    Answers.asked(A, 2, 2);
    REQUIRE(Sent == std::vector{A});
  }
}
