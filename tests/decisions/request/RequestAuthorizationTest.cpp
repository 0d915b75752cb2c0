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
  Route MatchedRoute;
  MatchedRoute.m_Name = "r";
  MatchedRoute.m_AllowedRegions = OfRoute;
  Config->m_Routes = {MatchedRoute};
  Organisation Gym;
  Gym.m_Name = "gym";
  Gym.m_Keys = {KeyHash{Key}};
  Gym.m_AllowedRegions = OfOrganisation;
  Config->m_Organisations = {Gym};
  Config->indexOrganisations();
  return Config;
}

RequestAuthorization
authorizationOf(const RequestAuthorization::ConfigPtr &Config) {
  return {Config,
          Config->m_Routes.front(),
          &Config->m_Organisations.front(),
          {.m_Key = KeyHash{"h"}}};
}

} // namespace

TEST_CASE("A request is checked against the configuration that it arrived with",
          "[regions]") {
  const auto Config = configOf({North}, {});
  RequestAuthorization Authorization = authorizationOf(Config);
  Authorization.update(nullptr);
  Authorization.update(Config);
  REQUIRE_FALSE(Authorization.refusal());
  REQUIRE(Authorization.regions().allows(North));
  REQUIRE_FALSE(Authorization.regions().allows(South));
}

TEST_CASE("Regions that change while a request is in progress apply to it",
          "[regions]") {
  const auto Config = configOf({}, {});
  RequestAuthorization Authorization = authorizationOf(Config);
  SECTION("those of its route") {
    Authorization.update(configOf({South}, {}));
    REQUIRE_FALSE(Authorization.regions().allows(North));
  }
  SECTION("those of its organisation") {
    Authorization.update(configOf({}, {South}));
    REQUIRE_FALSE(Authorization.regions().allows(North));
  }
  SECTION("until no region is allowed") {
    Authorization.update(configOf({North}, {South}));
    REQUIRE(Authorization.refusal()->m_Kind == ErrorKind::NoAllowedRegion);
    REQUIRE(Authorization.refusal()->m_RetryAfter > 0us);
    SECTION("and one is allowed again") {
      Authorization.update(configOf({North}, {}));
      REQUIRE_FALSE(Authorization.refusal());
      REQUIRE(Authorization.regions().allows(North));
    }
  }
}

TEST_CASE("The regions of a removed route still apply to its requests",
          "[regions]") {
  const auto Config = configOf({North}, {});
  RequestAuthorization Authorization = authorizationOf(Config);
  auto Without = std::make_shared<ServingConfig>(*configOf({}, {}));
  Without->m_Routes.clear();
  Authorization.update(Without);
  REQUIRE_FALSE(Authorization.regions().allows(South));
}

TEST_CASE("A revoked key is reported before regions that are no longer allowed",
          "[regions][keys]") {
  const auto Config = configOf({North}, {});
  RequestAuthorization Authorization = authorizationOf(Config);
  Authorization.update(configOf({North}, {South}, "other"));
  REQUIRE(Authorization.refusal()->m_Kind == ErrorKind::UnknownKey);
}
