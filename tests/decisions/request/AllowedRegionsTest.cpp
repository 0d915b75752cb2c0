#include "decisions/request/AllowedRegions.h"
#include "support/Draw.h"

using namespace havenstair;

namespace {

using Regions = std::set<RegionName>;

const RegionName North("north"), South("south"), West("west");

AllowedRegions both(const Regions &ByRoute, const Regions &ByOrganisation) {
  Route Of;
  Of.m_AllowedRegions = ByRoute;
  Organisation Caller;
  Caller.m_AllowedRegions = ByOrganisation;
  return {Of, &Caller};
}

} // namespace

TEST_CASE(
    "Without named regions all are allowed, also data centres without one",
    "[regions]") {
  const AllowedRegions All = both({}, {});
  REQUIRE_FALSE(All.restricted());
  REQUIRE(All.allows(North));
  REQUIRE(All.allows(RegionName()));
  REQUIRE(All == AllowedRegions(Route(), nullptr));
}

TEST_CASE("Where one side names no regions the other one binds", "[regions]") {
  const AllowedRegions One =
      GENERATE(both({North}, {}), both({}, {North}), both({North}, {North}));
  REQUIRE(One.allows(North));
  REQUIRE_FALSE(One.allows(South));
  REQUIRE_FALSE(One.allowsNone());
}

TEST_CASE(
    "A data centre without a region is never allowed where some are named",
    "[regions]") {
  REQUIRE_FALSE(both({North}, {}).allows(RegionName()));
  REQUIRE_FALSE(both({RegionName(), North}, {}).allows(RegionName()));
}

TEST_CASE("Route and organisation without a common region allow none",
          "[regions]") {
  const AllowedRegions None = both({North, West}, {South});
  REQUIRE(None.allowsNone());
  REQUIRE(None.text() == "none in common");
  REQUIRE(both({North, South}, {South, West}).text() == "south");
}

TEST_CASE("Both bind, whatever they name", "[regions][property]") {
  const auto AnyRegions = [] {
    Regions Result;
    for (const RegionName &Each : {North, South, West})
      if (*rc::gen::arbitrary<bool>())
        Result.insert(Each);
    return Result;
  };
  rc::prop("allowed only by each side that names regions", [&] {
    const Regions ByRoute = AnyRegions();
    const Regions ByOrganisation = AnyRegions();
    const AllowedRegions Both = both(ByRoute, ByOrganisation);
    for (const RegionName &Each : {North, South, West})
      RC_ASSERT(Both.allows(Each) ==
                ((ByRoute.empty() || ByRoute.contains(Each)) &&
                 (ByOrganisation.empty() || ByOrganisation.contains(Each))));
  });
}
