#include "soak/VersionOracle.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

StreamPiece piece(int Number, const std::string &Run) {
  return {.m_Number = Number, .m_Request = "t1", .m_Run = Run};
}

std::vector<Promise> broken(const std::vector<StreamPiece> &Got) {
  std::vector<Promise> Result;
  VersionOracle Oracle(
      [&](const SoakVerdict &Verdict) { Result.push_back(Verdict.m_Promise); });
  Oracle.judge("t1", Got, TimePoint{});
  return Result;
}

} // namespace

TEST_CASE("A stream that went on at its own version keeps its promises",
          "[soak]") {
  REQUIRE(broken({piece(1, "s1-1.1.4.v1"), piece(2, "s2-3.1.9.v1")}).empty());
  REQUIRE(broken({}).empty());
}

TEST_CASE("A stream with events of two versions is found", "[soak]") {
  REQUIRE(broken({piece(1, "s1-1.1.4.v1"), piece(2, "s2-3.1.9.v2"),
                  piece(3, "s1-1.1.5.v1")}) ==
          std::vector{Promise::OneVersion});
}

TEST_CASE("An event that is missing or doubled over a stream's tries is found",
          "[soak]") {
  const int Second = GENERATE(1, 3);
  REQUIRE(broken({piece(1, "s1-1.1.4.v1"), piece(Second, "s1-1.1.5.v1")}) ==
          std::vector{Promise::StreamOrder});
}
