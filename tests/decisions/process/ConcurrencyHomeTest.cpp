#include "decisions/process/ConcurrencyHome.h"
#include "support/Draw.h"
#include "support/Names.h"
#include "support/ProofTable.h"

using namespace havenstair;

TEST_CASE("A group's concurrency limit holds whichever boxes it uses",
          "[limits][proof]") {
  const std::string Point = "limits, requests at once over all boxes";
  rc::prop(Point, [&] {
    const int Limit = *drawn(1, 6);
    ConcurrencyHome Home;
    std::array<int, 4> Running{};
    std::uint64_t Faults = 0;
    std::uint64_t Violations = 0;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        60, rc::gen::pair(drawn(0, 5), drawn(0, 4)));
    for (const auto &[Command, Which] : Steps) {
      int &OfBox = Running[static_cast<std::size_t>(Which)];
      if (Command <= 2) {
        if (Home.tryRun(groupName(1), boxName(Which), OfBox + 1, Limit))
          ++OfBox;
      } else if (Command == 3 && OfBox > 0) {
        // The message that it ended is lost; a later one corrects the count.
        --OfBox;
        ++Faults;
      } else if (OfBox > 0) {
        Home.setRunning(groupName(1), boxName(Which), --OfBox);
      }
      int Sum = 0;
      for (int Each : Running)
        Sum += Each;
      Violations += Sum > Limit ? 1 : 0;
    }
    ProofTable::instance().add(Point, Faults, Violations);
    RC_ASSERT(Violations == 0U);
  });
}

TEST_CASE("Concurrency that a lost box used is free again", "[limits]") {
  ConcurrencyHome Home;
  REQUIRE(Home.tryRun(groupName(1), boxName(1), 1, 2));
  REQUIRE(Home.tryRun(groupName(1), boxName(2), 1, 2));
  REQUIRE_FALSE(Home.tryRun(groupName(1), boxName(3), 1, 2));
  Home.forget(boxName(1));
  REQUIRE(Home.tryRun(groupName(1), boxName(3), 1, 2));
  REQUIRE(Home.running(groupName(1)) == 2);
}
