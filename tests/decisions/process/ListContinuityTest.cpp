#include "decisions/process/ListContinuity.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

constexpr Duration MaxAge = ListContinuity::MaxAge;

TimePoint at(Duration After) { return TimePoint(1000s) + After; }

} // namespace

TEST_CASE("A list that was never confirmed is not known", "[stream-version]") {
  ListContinuity List;
  List.confirm(TimePoint());
  REQUIRE_FALSE(List.since(at(0s)));
}

TEST_CASE("A list is known from its first confirmation until it is too old",
          "[stream-version]") {
  ListContinuity List;
  List.confirm(at(0s));
  List.confirm(at(MaxAge));
  REQUIRE(List.since(at(2 * MaxAge)) == at(0s));
  REQUIRE_FALSE(List.since(at(2 * MaxAge + 1us)));
}

TEST_CASE("A list is known anew after a time in which nobody confirmed it",
          "[stream-version]") {
  ListContinuity List;
  List.confirm(at(0s));
  List.confirm(at(MaxAge + 1us));
  REQUIRE(List.since(at(MaxAge + 1us)) == at(MaxAge + 1us));
}

TEST_CASE("An older confirmation changes nothing", "[stream-version]") {
  ListContinuity List;
  List.confirm(at(10s));
  List.confirm(at(1s));
  REQUIRE(List.since(at(10s)) == at(10s));
}
