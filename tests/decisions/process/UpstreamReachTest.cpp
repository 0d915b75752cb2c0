#include "decisions/process/UpstreamReach.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

constexpr std::size_t Known = 8;
constexpr TimePoint Start = TimePoint(10s);

UpstreamReach::Call call(const InstanceId &To, TimePoint At,
                         bool MayBeKept = false) {
  return {.m_Upstream = To, .m_StartedAt = At, .m_MayBeKept = MayBeKept};
}

/// Connections to two upstreams that were started at `Start` have failed.
UpstreamReach makePartitioned() {
  UpstreamReach Reach;
  Reach.recordFailed(call("u1", Start), Known, Start + 300ms);
  Reach.recordFailed(call("u2", Start), Known, Start + 300ms);
  REQUIRE(Reach.partitioned());
  return Reach;
}

} // namespace

TEST_CASE("A box to which two upstreams are unreachable is partitioned",
          "[decisions][reach]") {
  UpstreamReach Reach;
  REQUIRE_FALSE(Reach.recordFailed(call("u1", Start), Known, Start + 300ms));
  REQUIRE(Reach.doubtful(Start + 300ms));
  SECTION("when two different ones failed") {
    REQUIRE(Reach.recordFailed(call("u2", Start), Known, Start + 310ms));
  }
  SECTION("but not when one failed twice") {
    REQUIRE_FALSE(Reach.recordFailed(call("u1", Start), Known, Start + 310ms));
  }
  SECTION("but not when another one answered in between") {
    Reach.recordReached(call("u3", Start + 1ms));
    REQUIRE_FALSE(Reach.doubtful(Start + 302ms));
    REQUIRE_FALSE(Reach.recordFailed(call("u2", Start), Known, Start + 310ms));
  }
  SECTION("but not when the failures lie far apart") {
    REQUIRE_FALSE(Reach.recordFailed(call("u2", Start), Known, Start + 5s));
  }
}

TEST_CASE("Connections that outlive a partition do not hide it",
          "[decisions][reach]") {
  UpstreamReach Reach;
  Reach.recordFailed(call("u1", Start), Known, Start + 300ms);
  Reach.recordReached(call("u5", Start + 1ms, true));
  Reach.recordFailed(call("u2", Start), Known, Start + 310ms);
  REQUIRE_FALSE(Reach.partitioned());
  Reach.recordFailed(call("u3", Start), Known, Start + 320ms);
  REQUIRE(Reach.recordFailed(call("u4", Start), Known, Start + 330ms));
}

TEST_CASE("A new connection ends a partition", "[decisions][reach]") {
  UpstreamReach Reach = makePartitioned();
  SECTION("when its call began after the first failure") {
    REQUIRE(Reach.recordReached(call("u1", Start + 1s)));
    REQUIRE_FALSE(Reach.partitioned());
    REQUIRE_FALSE(Reach.doubtful(Start + 1s));
  }
  SECTION("but not one of before") {
    REQUIRE_FALSE(Reach.recordReached(call("u1", Start - 1s)));
    REQUIRE(Reach.partitioned());
  }
  SECTION("but not a kept one") {
    REQUIRE_FALSE(Reach.recordReached(call("u1", Start + 1s, true)));
    REQUIRE(Reach.partitioned());
  }
}

TEST_CASE("A partition lasts however long no call is made",
          "[decisions][reach]") {
  UpstreamReach Reach = makePartitioned();
  REQUIRE(Reach.doubtful(Start + 60s));
  REQUIRE_FALSE(
      Reach.recordFailed(call("u1", Start + 60s), Known, Start + 60s + 300ms));
  REQUIRE(Reach.partitioned());
}

TEST_CASE("The only upstream that a box knows may have ended instead",
          "[decisions][reach]") {
  UpstreamReach Reach;
  REQUIRE_FALSE(Reach.recordFailed(call("u1", Start), 1, Start + 300ms));
  REQUIRE_FALSE(Reach.recordFailed(call("u1", Start), 1, Start + 310ms));
  REQUIRE(Reach.doubtful(Start + 310ms));
  REQUIRE_FALSE(Reach.partitioned());
}
