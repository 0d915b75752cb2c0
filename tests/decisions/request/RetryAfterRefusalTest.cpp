#include "decisions/request/RetryAfterRefusal.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

constexpr TimePoint Start(1000s);

UpstreamInstance upstream(const std::string &Id) {
  return {.m_Id = Id, .m_Service = "s"};
}

} // namespace

TEST_CASE(
    "The retry time is when the first upstream accepts requests again, and "
    "is spread",
    "[server-retry-after]") {
  const UpstreamInstance Soon = upstream("soon");
  const UpstreamInstance Late = upstream("late");
  UpstreamSignals Signals;
  Signals.recordRetryAfter(Late.incarnation(), 9s, Start);
  SECTION("none while one of them accepts requests, or without upstreams") {
    REQUIRE_FALSE(refuseForRetryAfter({&Soon, &Late}, Signals, 0, Start));
    REQUIRE_FALSE(refuseForRetryAfter({}, Signals, 0, Start));
  }
  SECTION("over half of the remaining time") {
    Signals.recordRetryAfter(Soon.incarnation(), 4s, Start);
    const auto RefusalWith = [&](double Draw) {
      return refuseForRetryAfter({&Late, &Soon}, Signals, Draw, Start + 1s);
    };
    REQUIRE(RefusalWith(0) ==
            RetryAfterRefusal{.m_Upstream = "soon", .m_After = 3s});
    REQUIRE(RefusalWith(1)->m_After == 4500ms);
  }
  SECTION("over a minimum where that is short") {
    Signals.recordRetryAfter(Soon.incarnation(), 100ms, Start);
    REQUIRE(refuseForRetryAfter({&Soon}, Signals, 1, Start)->m_After == 350ms);
  }
}
