#include "decisions/process/EndedUpstreams.h"

#include <catch2/catch.hpp>

using namespace havenstair;

TEST_CASE("An upstream has ended until the list has had time to say so",
          "[crash][decisions]") {
  EndedUpstreams Ended;
  const TimePoint Now(100s);
  const UpstreamIncarnation Upstream{.m_Id = "i-1", .m_StartTime = 5};
  REQUIRE_FALSE(Ended.contains(Upstream, Now));
  Ended.recordEnd(Upstream, Now);
  REQUIRE(Ended.contains(Upstream, Now));
  SECTION("reports of other boxes do not prolong that") {
    Ended.recordEnd(Upstream, Now + EndedUpstreams::Retention - 1ms);
    REQUIRE_FALSE(Ended.contains(Upstream, Now + EndedUpstreams::Retention));
  }
  SECTION("a later incarnation of it is another one") {
    REQUIRE_FALSE(Ended.contains({.m_Id = "i-1", .m_StartTime = 6}, Now));
  }
  SECTION("it may end again after that") {
    const TimePoint Later = Now + EndedUpstreams::Retention;
    Ended.recordEnd(Upstream, Later);
    REQUIRE(Ended.contains(Upstream, Later));
  }
}
