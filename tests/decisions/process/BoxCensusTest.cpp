#include "decisions/process/BoxCensus.h"

#include <catch2/catch.hpp>

using namespace havenstair;

TEST_CASE("A census counts listed boxes and those that left the list lately",
          "[quota]") {
  const TimePoint Start(1000s);
  BoxCensus Census;
  REQUIRE(Census.count(Start) == 1);
  Census.setListed({"a", "b", "c"}, Start);
  Census.setListed({"a"}, Start + 20s);
  REQUIRE(Census.count(Start + 20s) == 3);
  Census.setListed({"a", "b", "d"}, Start + 30s);
  REQUIRE(Census.count(Start + 30s) == 4);
  REQUIRE(Census.count(Start + 20s + BoxCensus::Retention + 1s) == 3);
}

TEST_CASE("Listed boxes count however long the list stays the same",
          "[quota]") {
  const TimePoint Start(1000s);
  BoxCensus Census;
  Census.setListed({"a", "b", "c"}, Start);
  REQUIRE(Census.count(Start + 10 * BoxCensus::Retention) == 3);
}
