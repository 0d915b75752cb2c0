#include "decisions/process/LoopLateness.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

TimePoint at(Duration After) { return TimePoint(100s) + After; }

} // namespace

TEST_CASE("A loop whose timer runs on time keeps up", "[lateness]") {
  LoopLateness Of;
  for (int Number = 0; Number < 100; ++Number)
    Of.onTimer(at(Number * LoopLateness::Interval));
  REQUIRE_FALSE(Of.behind(at(99 * LoopLateness::Interval)));
  REQUIRE(Of.share() == Approx(0));
}

TEST_CASE("A loop that stands still for most of each tenth of a second is "
          "behind",
          "[lateness]") {
  LoopLateness Of;
  for (int Number = 0; Number < 20; ++Number)
    Of.onTimer(at(Number * 100ms));
  REQUIRE(Of.behind(at(1900ms)));
  REQUIRE(Of.share() > 0.4);
}

TEST_CASE("A loop is behind while its timer is overdue", "[lateness]") {
  LoopLateness Of;
  Of.onTimer(at(0ms));
  Of.onTimer(at(50ms));
  REQUIRE_FALSE(Of.behind(at(120ms)));
  REQUIRE(Of.behind(at(130ms)));
}

TEST_CASE("A loop that was late once keeps up again after a while",
          "[lateness]") {
  LoopLateness Of;
  Of.onTimer(at(0ms));
  Of.onTimer(at(500ms));
  for (Duration After = 550ms; After <= 3s; After += LoopLateness::Interval)
    Of.onTimer(at(After));
  REQUIRE_FALSE(Of.behind(at(3s)));
  REQUIRE(Of.share() < 0.05);
}
