#include "decisions/process/EchoClock.h"
#include "support/Draw.h"
#include "support/Names.h"

#include <vector>

using namespace havenstair;

TEST_CASE("A message is not older than the number that it echoes", "[echo]") {
  EchoClock Here;
  EchoClock There;
  REQUIRE(Here.sentAt(There.echoFor(boxName(0))) == TimePoint{});
  REQUIRE(Here.nextNumber(TimePoint(5s)) == 1);
  There.recordReceived(boxName(0), 1);
  REQUIRE(Here.nextNumber(TimePoint(6s)) == 2);
  REQUIRE(Here.sentAt(There.echoFor(boxName(0))) == TimePoint(5s));
  There.recordReceived(boxName(0), 2);
  REQUIRE(Here.sentAt(There.echoFor(boxName(0))) == TimePoint(6s));
}

TEST_CASE("Numbers never sent, or sent long ago, prove nothing", "[echo]") {
  EchoClock Clock;
  REQUIRE(Clock.sentAt(1) == TimePoint{});
  for (int Number = 1; Number <= 1000; ++Number)
    Clock.nextNumber(TimePoint(Number * 1s));
  REQUIRE(Clock.sentAt(1000) == TimePoint(1000s));
  REQUIRE(Clock.sentAt(1001) == TimePoint{});
  REQUIRE(Clock.sentAt(5) == TimePoint{});
  REQUIRE(Clock.sentAt(0) == TimePoint{});
}

TEST_CASE(
    "However long messages are delayed, none is taken for newer than it is",
    "[echo][property][proof]") {
  rc::prop("delays either way", [] {
    EchoClock Here;
    EchoClock There;
    Duration Now = 1s;
    Duration Arrives = 0us;
    Duration Returns = 0us;
    for (int Round = *drawn(1, 40); Round > 0; --Round) {
      Now += std::chrono::milliseconds(*drawn(1, 400));
      const std::uint64_t Number = Here.nextNumber(TimePoint(Now));
      // Links preserve the order of messages, whatever the delay.
      Arrives =
          std::max(Arrives, Now + std::chrono::milliseconds(*drawn(0, 8000)));
      There.recordReceived(boxName(0), Number);
      const Duration SentBack = Arrives;
      Returns = std::max(Returns,
                         SentBack + std::chrono::milliseconds(*drawn(0, 8000)));
      RC_ASSERT(Here.sentAt(There.echoFor(boxName(0))) <= TimePoint(SentBack));
    }
  });
}
