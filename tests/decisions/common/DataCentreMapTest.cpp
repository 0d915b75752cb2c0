#include "decisions/common/DataCentreMap.h"

#include <catch2/catch.hpp>

namespace havenstair {

TEST_CASE("Distances follow the regions of data centres", "[regions]") {
  const DataCentreName NorthA("north-a");
  const DataCentreName NorthB("north-b");
  const DataCentreName South("south-a");
  const DataCentreName Unknown("east-a");
  const DataCentreMap Map({{NorthA, RegionName("north")},
                           {NorthB, RegionName("north")},
                           {South, RegionName("south")}});

  CHECK(Map.distance(NorthA, NorthA) == DistanceClass::SameDataCentre);
  CHECK(Map.distance(NorthA, NorthB) == DistanceClass::SameRegion);
  CHECK(Map.distance(NorthA, South) == DistanceClass::OtherRegion);

  SECTION("one that is not on the map lies in a region of its own") {
    CHECK(Map.regionOf(Unknown).empty());
    CHECK(Map.distance(Unknown, Unknown) == DistanceClass::SameDataCentre);
    CHECK(Map.distance(Unknown, DataCentreName("east-b")) ==
          DistanceClass::OtherRegion);
    CHECK(Map.distance(Unknown, NorthA) == DistanceClass::OtherRegion);
  }
}

} // namespace havenstair
