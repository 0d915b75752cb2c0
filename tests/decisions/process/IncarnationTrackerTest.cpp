#include "decisions/process/IncarnationTracker.h"

#include <catch2/catch.hpp>

using namespace havenstair;

TEST_CASE("Only a later incarnation of a known upstream is a restart",
          "[lives]") {
  IncarnationTracker Tracker;
  REQUIRE_FALSE(Tracker.record({.m_Id = "a", .m_StartTime = 100}));
  REQUIRE_FALSE(Tracker.record({.m_Id = "a", .m_StartTime = 100}));
  REQUIRE_FALSE(Tracker.record({.m_Id = "a", .m_StartTime = 0}));
  REQUIRE_FALSE(Tracker.record({.m_Id = "b", .m_StartTime = 300}));
  REQUIRE(Tracker.record({.m_Id = "a", .m_StartTime = 200}));
  REQUIRE_FALSE(Tracker.record({.m_Id = "a", .m_StartTime = 100}));
  REQUIRE(Tracker.newest("a") == 200);
}

TEST_CASE("Messages of an earlier incarnation are ignored", "[lives]") {
  IncarnationTracker Tracker;
  Tracker.record({.m_Id = "a", .m_StartTime = 200});
  REQUIRE_FALSE(Tracker.isCurrent({.m_Id = "a", .m_StartTime = 199}));
  REQUIRE(Tracker.isCurrent({.m_Id = "a", .m_StartTime = 200}));
  REQUIRE(Tracker.isCurrent({.m_Id = "a", .m_StartTime = 201}));
  REQUIRE(Tracker.isCurrent({.m_Id = "a", .m_StartTime = 0}));
  REQUIRE(Tracker.isCurrent({.m_Id = "b", .m_StartTime = 1}));
}
