#include "decisions/process/IncarnationTracker.h"

#include <catch2/catch.hpp>

using namespace havenstair;

TEST_CASE("Only a later start of a server that was known is a new one",
          "[lives]") {
  IncarnationTracker Tracker;
  REQUIRE_FALSE(Tracker.record({.m_Id = "a", .m_Born = 100}));
  REQUIRE_FALSE(Tracker.record({.m_Id = "a", .m_Born = 100}));
  REQUIRE_FALSE(Tracker.record({.m_Id = "a", .m_Born = 0}));
  REQUIRE_FALSE(Tracker.record({.m_Id = "b", .m_Born = 300}));
  REQUIRE(Tracker.record({.m_Id = "a", .m_Born = 200}));
  REQUIRE_FALSE(Tracker.record({.m_Id = "a", .m_Born = 100}));
  REQUIRE(Tracker.newest("a") == 200);
}

TEST_CASE("A word of an earlier start is not believed", "[lives]") {
  IncarnationTracker Tracker;
  Tracker.record({.m_Id = "a", .m_Born = 200});
  REQUIRE_FALSE(Tracker.isCurrent({.m_Id = "a", .m_Born = 199}));
  REQUIRE(Tracker.isCurrent({.m_Id = "a", .m_Born = 200}));
  REQUIRE(Tracker.isCurrent({.m_Id = "a", .m_Born = 201}));
  REQUIRE(Tracker.isCurrent({.m_Id = "a", .m_Born = 0}));
  REQUIRE(Tracker.isCurrent({.m_Id = "b", .m_Born = 1}));
}
