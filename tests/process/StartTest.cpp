#include "process/MemoryTest.h"

using namespace havenstair;

TEST_CASE("A process whose settings are written while it starts serves",
          "[process][start]") {
  MemoryTest Test(260, MemoryTest::Settings::HalfAtStart);
  Test.post("/small/a", "small");
  REQUIRE(Test.until([&] { return Test.answered("/small/a") == 1; }));
  REQUIRE(Test.answers("/small/a", 200) == 1);
}
