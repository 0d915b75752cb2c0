#include "decisions/request/RequestAuthorization.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

using Regions = std::set<RegionName>;

const RegionName North("north"), South("south");

RequestAuthorization::ConfigPtr configOf(const Regions &OfRoute,
                                         const Regions &OfOrganisation,
                                         const std::string &Key = "h") {
  auto Config = std::make_shared<ServingConfig>();
  Route Of;
  Of.m_Name = "r";
  Of.m_AllowedRegions = OfRoute;
  Config->m_Routes = {Of};
  Organisation Gym;
  Gym.m_Name = "gym";
  Gym.m_Keys = {KeyHash{Key}};
  Gym.m_AllowedRegions = OfOrganisation;
  Config->m_Organisations = {Gym};
  Config->indexOrganisations();
  return Config;
}

RequestAuthorization standingOf(const RequestAuthorization::ConfigPtr &Config) {
  return {Config,
          Config->m_Routes.front(),
          &Config->m_Organisations.front(),
          {.m_Key = KeyHash{"h"}}};
}

} // namespace

TEST_CASE("A request is judged by the configuration that it came with",
          "[regions]") {
  const auto Config = configOf({North}, {});
  RequestAuthorization Standing = standingOf(Config);
  Standing.update(nullptr);
  Standing.update(Config);
  REQUIRE_FALSE(Standing.refusal());
  REQUIRE(Standing.regions().allows(North));
  REQUIRE_FALSE(Standing.regions().allows(South));
}

TEST_CASE("Regions that change while a request is under way bind it",
          "[regions]") {
  const auto Config = configOf({}, {});
  RequestAuthorization Standing = standingOf(Config);
  SECTION("of its route") {
    Standing.update(configOf({South}, {}));
    REQUIRE_FALSE(Standing.regions().allows(North));
  }
  SECTION("of its organisation") {
    Standing.update(configOf({}, {South}));
    REQUIRE_FALSE(Standing.regions().allows(North));
  }
  SECTION("until nothing is left") {
    Standing.update(configOf({North}, {South}));
    REQUIRE(Standing.refusal()->m_Kind == ErrorKind::NoAllowedRegion);
    REQUIRE(Standing.refusal()->m_RetryAfter > 0us);
    SECTION("and back") {
      Standing.update(configOf({North}, {}));
      REQUIRE_FALSE(Standing.refusal());
      REQUIRE(Standing.regions().allows(North));
    }
  }
}

TEST_CASE("The regions of a route that was removed go on binding its requests",
          "[regions]") {
  const auto Config = configOf({North}, {});
  RequestAuthorization Standing = standingOf(Config);
  auto Without = std::make_shared<ServingConfig>(*configOf({}, {}));
  Without->m_Routes.clear();
  Standing.update(Without);
  REQUIRE_FALSE(Standing.regions().allows(South));
}

TEST_CASE("A request whose key is taken away is refused before its regions",
          "[regions][keys]") {
  const auto Config = configOf({North}, {});
  RequestAuthorization Standing = standingOf(Config);
  Standing.update(configOf({North}, {South}, "other"));
  REQUIRE(Standing.refusal()->m_Kind == ErrorKind::UnknownKey);
}
