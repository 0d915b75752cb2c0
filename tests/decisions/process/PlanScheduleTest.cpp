#include "decisions/process/PlanSchedule.h"
#include "support/Names.h"

#include <catch2/catch.hpp>

using namespace havenstair;

TEST_CASE("A full plan is due at the start and at each interval", "[plan]") {
  PlanSchedule Schedule;
  REQUIRE(Schedule.due(at(1s)) == PlanScope::All);
  Schedule.onPlanned(PlanScope::All, at(1s), at(1s));
  REQUIRE(Schedule.due(at(1199ms)) == PlanScope::None);
  REQUIRE(Schedule.due(at(1200ms)) == PlanScope::All);
}

TEST_CASE("Requests that wait bring the next full plan forward", "[plan]") {
  PlanSchedule Schedule;
  Schedule.onPlanned(PlanScope::All, at(1s), at(1010ms));
  REQUIRE(Schedule.request(at(1100ms)) == at(1100ms));
  REQUIRE(Schedule.due(at(1100ms)) == PlanScope::All);
}

TEST_CASE("Awaited adapters are planned while a long full plan forbids another",
          "[plan]") {
  PlanSchedule Schedule;
  Schedule.onPlanned(PlanScope::All, at(1s), at(1200ms));
  REQUIRE(Schedule.due(at(1900ms)) == PlanScope::None);
  REQUIRE(Schedule.request(at(1900ms)) == at(1900ms));
  REQUIRE(Schedule.due(at(1900ms)) == PlanScope::AwaitedAdapters);
  Schedule.onPlanned(PlanScope::AwaitedAdapters, at(1900ms), at(1904ms));
  REQUIRE(Schedule.due(at(1999ms)) == PlanScope::None);
  REQUIRE(Schedule.due(at(2s)) == PlanScope::All);
}

TEST_CASE("Plans of awaited adapters leave time for other work", "[plan]") {
  PlanSchedule Schedule;
  Schedule.onPlanned(PlanScope::All, at(1s), at(2s));
  Schedule.onPlanned(PlanScope::AwaitedAdapters, at(2s), at(2100ms));
  REQUIRE(Schedule.request(at(2200ms)) == at(2500ms));
  REQUIRE(Schedule.due(at(2499ms)) == PlanScope::None);
  REQUIRE(Schedule.due(at(2500ms)) == PlanScope::AwaitedAdapters);
}

TEST_CASE("Requests that ask again after each plan do not have plans made "
          "without a pause",
          "[plan]") {
  PlanSchedule Schedule;
  int Plans = 0;
  for (TimePoint Now = at(1s); Now < at(2s) && Plans < 10000;
       Now = Schedule.request(Now)) {
    Schedule.onPlanned(Schedule.due(Now), Now, Now);
    ++Plans;
  }
  REQUIRE(Plans < 1000);
}
