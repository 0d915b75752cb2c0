#include "soak/SoakBrittleness.h"
#include "soak/SoakOracleTest.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

void fall(SoakOracle &Oracle, const std::string &Engine, Duration At,
          const std::string &Box = "box-1") {
  for (int Refusal = 0; Refusal < 5; ++Refusal)
    Oracle.brittle().turnedAway("plain", Engine, Box, at(At));
  Oracle.brittle().fell(Engine, at(At));
}

const Promises None;

} // namespace

TEST_CASE("The soak's oracle counts the falls of brittle servers",
          "[soak][oracle][brittle]") {
  SoakOracle Oracle((SoakBounds()));
  Oracle.brittle().began("plain", 4);
  fall(Oracle, "s1", 4s);
  fall(Oracle, "s2", 5s);
  REQUIRE(broken(Oracle) == None);

  SECTION("three of four are too many, and told once") {
    fall(Oracle, "s1", 8s);
    fall(Oracle, "s2", 9s);
    REQUIRE(broken(Oracle) == Promises{Promise::BrittleFalls});
  }
  SECTION("a later time counts anew") {
    Oracle.brittle().began("plain", 4);
    fall(Oracle, "s1", 20s);
    REQUIRE(broken(Oracle) == None);
  }
  SECTION("one for which boxes out of touch stand does not count") {
    Oracle.trouble().add("box-2", at(7s), at(8s));
    fall(Oracle, "s1", 8s, "box-2");
    REQUIRE(broken(Oracle) == None);
  }
  SECTION("ten servers may fall three times") {
    Oracle.brittle().began("plain", 10);
    for (int Number = 0; Number < 3; ++Number)
      fall(Oracle, "s1", 10s + Number * 3s);
    REQUIRE(broken(Oracle) == None);
    fall(Oracle, "s1", 20s);
    REQUIRE(broken(Oracle) == Promises{Promise::BrittleFalls});
  }
}

TEST_CASE("A brittle server's room shrinks later, and it bears few refusals",
          "[soak][brittle]") {
  SoakBrittleness Of(2, at(0s));
  REQUIRE(Of.room(8, at(2s)) == 8);
  REQUIRE(Of.room(8, at(3s)) == 2);
  REQUIRE_FALSE(Of.turnedAway(at(4s)));
  REQUIRE_FALSE(Of.turnedAway(at(4500ms)));
  REQUIRE_FALSE(Of.turnedAway(at(5s)));
  REQUIRE(Of.turnedAway(at(5100ms)));
}
