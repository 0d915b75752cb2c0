#include "decisions/request/RetryAfterRefusal.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

constexpr TimePoint Start(1000s);

UpstreamInstance server(const std::string &Id) {
  return {.m_Id = Id, .m_Service = "s"};
}

} // namespace

TEST_CASE("Callers are told of the first server that takes requests again, and "
          "spread",
          "[server-retry-after]") {
  const UpstreamInstance Soon = server("soon");
  const UpstreamInstance Late = server("late");
  UpstreamSignals Words;
  Words.recordRetryAfter(Late.incarnation(), 9s, Start);
  SECTION("none while one of them takes requests, or where there is none") {
    REQUIRE_FALSE(refuseForRetryAfter({&Soon, &Late}, Words, 0, Start));
    REQUIRE_FALSE(refuseForRetryAfter({}, Words, 0, Start));
  }
  SECTION("over half of the time that is left") {
    Words.recordRetryAfter(Soon.incarnation(), 4s, Start);
    const auto At = [&](double Draw) {
      return refuseForRetryAfter({&Late, &Soon}, Words, Draw, Start + 1s);
    };
    REQUIRE(At(0) == RetryAfterRefusal{.m_Server = "soon", .m_After = 3s});
    REQUIRE(At(1)->m_After == 4500ms);
  }
  SECTION("or a little more where that is short") {
    Words.recordRetryAfter(Soon.incarnation(), 100ms, Start);
    REQUIRE(refuseForRetryAfter({&Soon}, Words, 1, Start)->m_After == 350ms);
  }
}
