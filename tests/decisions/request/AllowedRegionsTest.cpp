#include "decisions/request/AllowedRegions.h"
#include "support/Draw.h"

using namespace havenstair;

namespace {

using Regions = std::set<RegionName>;

const RegionName North("north"), South("south"), West("west");

AllowedRegions both(const Regions &ByRoute, const Regions &ByOrganisation) {
  Route MatchedRoute;
  MatchedRoute.m_AllowedRegions = ByRoute;
  Organisation Caller;
  Caller.m_AllowedRegions = ByOrganisation;
  return {MatchedRoute, &Caller};
}

} // namespace

TEST_CASE(
    "Where no regions are named, all are allowed, and so are data centres "
    "without one",
    "[regions]") {
  const AllowedRegions All = both({}, {});
  REQUIRE_FALSE(All.restricted());
  REQUIRE(All.allows(North));
  REQUIRE(All.allows(RegionName()));
  REQUIRE(All == AllowedRegions(Route(), nullptr));
}

TEST_CASE(
    "Where the route or the organisation names no regions, the other decides",
    "[regions]") {
  const AllowedRegions One =
      GENERATE(both({North}, {}), both({}, {North}), both({North}, {North}));
  REQUIRE(One.allows(North));
  REQUIRE_FALSE(One.allows(South));
  REQUIRE_FALSE(One.allowsNone());
}

TEST_CASE(
    "A data centre without a region is not allowed where regions are named",
    "[regions]") {
  REQUIRE_FALSE(both({North}, {}).allows(RegionName()));
  REQUIRE_FALSE(both({RegionName(), North}, {}).allows(RegionName()));
}

TEST_CASE("Route and organisation without a common region allow no region",
          "[regions]") {
  const AllowedRegions None = both({North, West}, {South});
  REQUIRE(None.allowsNone());
  REQUIRE(None.text() == "none in common");
  REQUIRE(both({North, South}, {South, West}).text() == "south");
}

TEST_CASE("A region is allowed only if route and organisation both allow it",
          "[regions][property]") {
  const auto DrawnRegions = [] {
    Regions Result;
    for (const RegionName &Region : {North, South, West})
      if (*rc::gen::arbitrary<bool>())
        Result.insert(Region);
    return Result;
  };
  rc::prop("allowed only by each side that names regions", [&] {
    const Regions ByRoute = DrawnRegions();
    const Regions ByOrganisation = DrawnRegions();
    const AllowedRegions Both = both(ByRoute, ByOrganisation);
    for (const RegionName &Region : {North, South, West})
      RC_ASSERT(Both.allows(Region) ==
                ((ByRoute.empty() || ByRoute.contains(Region)) &&
                 (ByOrganisation.empty() || ByOrganisation.contains(Region))));
  });
}
