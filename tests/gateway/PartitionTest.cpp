#include "gateway/PartitionTest.h"

using namespace havenstair;

namespace {

using Way = PartitionTest::Way;

} // namespace

TEST_CASE("First tries at a box that reaches no upstream are served through "
          "another box",
          "[gateway][partition][known-red]") {
  const Way How = GENERATE(Way::Refused, Way::Reset);
  PartitionTest Test;
  REQUIRE(Test.fetch("/safe/x", "before").m_Status == 200);
  Test.cut(How);
  for (const std::string Route : {"safe", "unsafe"})
    for (int Try = 0; Try < 10; ++Try) {
      const std::string Id = Route + std::to_string(Try);
      REQUIRE(Test.fetch("/" + Route + "/x", Id, "text").m_Status == 200);
      REQUIRE(Test.arrivals(Id) == 1);
    }
}
