#include "soak/SoakOracleTest.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

/// Most new connections go to one box from 10 s to 20 s.
class Skew {
public:
  Skew() : m_Oracle(SoakBounds()) {
    m_Oracle.skew().began(at(10s));
    play(at(8s), 100, 100);
  }
  void play(TimePoint At, int Count, int Served, int Unread = 0) {
    for (int Number = 0; Number < Count; ++Number)
      m_Oracle.skew().done({.m_At = At,
                            .m_Read = true,
                            .m_Served = Number < Served,
                            .m_Unread = Unread});
  }
  Promises verdict() {
    m_Oracle.skew().ended(at(20s));
    m_Oracle.skew().finish();
    return broken(m_Oracle);
  }

  SoakOracle m_Oracle;
};

const Promises None;
const Promises Broken{Promise::SkewServed};

} // namespace

TEST_CASE("The soak's oracle judges what is served while most new connections "
          "go to one box",
          "[soak][oracle][skew]") {
  Skew Of;
  SECTION("under three quarters of the share before is too little") {
    Of.play(at(15s), 100, 74);
    REQUIRE(Of.verdict() == Broken);
  }
  SECTION("three quarters are enough") {
    Of.play(at(15s), 100, 75);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("what comes before the bound does not count") {
    Of.play(at(12900ms), 100, 0);
    Of.play(at(15s), 10, 10);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("what comes after it does not count") {
    Of.play(at(20s), 100, 0);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("tries that nobody read do not count when a later one is served") {
    Of.play(at(15s), 100, 100, 1);
    REQUIRE(Of.verdict() == None);
  }
}

TEST_CASE("The soak's oracle judges no skew that was not played",
          "[soak][oracle][skew]") {
  SoakOracle Of{SoakBounds()};
  Of.skew().finish();
  REQUIRE(broken(Of) == None);
}
