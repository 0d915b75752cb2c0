#include "decisions/common/DataCentreMap.h"

#include <catch2/catch.hpp>

namespace havenstair {

TEST_CASE("A data centre that is not on the map has no region", "[regions]") {
  const DataCentreName North("north-a");
  const DataCentreName South("south-a");
  const DataCentreMap Map(
      {{North, RegionName("north")}, {South, RegionName("south")}});

  CHECK(Map.regionOf(North) == RegionName("north"));
  CHECK(Map.regionOf(South) == RegionName("south"));
  CHECK(Map.regionOf(DataCentreName("east-a")).empty());
}

} // namespace havenstair
