#include "decisions/request/CallerIdentity.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

ServingConfig configOf(std::vector<Organisation> All) {
  ServingConfig Config;
  Config.m_Version = 1;
  Config.m_Organisations = std::move(All);
  Config.indexOrganisations();
  return Config;
}

const CallerCredentials NoKey;
CallerCredentials key(const std::string &Hash) {
  return {.m_Key = KeyHash{Hash}};
}

} // namespace

TEST_CASE("A key belongs to the organisation that has it", "[keys]") {
  const ServingConfig Config =
      configOf({{.m_Name = "gym", .m_Keys = {{"h1"}, {"h2"}}},
                {.m_Name = "desk", .m_Keys = {{"h3"}, {"h1"}}}});
  const Route Closed;
  REQUIRE(identifyCaller(Config, Closed, key("h2")).m_Organisation->m_Name ==
          "gym");
  REQUIRE(identifyCaller(Config, Closed, key("h3")).m_Organisation->m_Name ==
          "desk");
  REQUIRE(identifyCaller(Config, Closed, key("h1")).m_Organisation->m_Name ==
          "gym");
  REQUIRE(identifyCaller(Config, Closed, key("h4")).m_Refusal ==
          ErrorKind::UnknownKey);
  REQUIRE(identifyCaller(Config, Closed, NoKey).m_Refusal ==
          ErrorKind::MissingKey);
  REQUIRE(identifyCaller(Config, Closed, {.m_Malformed = true}).m_Refusal ==
          ErrorKind::UnknownKey);
}

TEST_CASE("A public route needs no key, and refuses an unknown one", "[keys]") {
  const ServingConfig Config =
      configOf({{.m_Name = "gym", .m_Keys = {{"h1"}}}});
  Route Public;
  Public.m_Public = true;
  REQUIRE(identifyCaller(Config, Public, NoKey) == CallerIdentity{});
  REQUIRE(identifyCaller(Config, Public, key("h1")).m_Organisation != nullptr);
  REQUIRE(identifyCaller(Config, Public, key("h4")).m_Refusal ==
          ErrorKind::UnknownKey);
}

TEST_CASE("Without organisations no request needs a key", "[keys]") {
  const ServingConfig Config = configOf({});
  REQUIRE(identifyCaller(Config, {}, NoKey) == CallerIdentity{});
  REQUIRE(identifyCaller(Config, {}, key("h1")) == CallerIdentity{});
}

TEST_CASE("A quota counts requests, or the tokens that are stated or assumed",
          "[quota]") {
  const Quota Requests{.m_Unit = QuotaUnit::Requests, .m_RatePerSecond = 5};
  REQUIRE(Requests.costOf(true, 900) == 1);
  const Quota Tokens{.m_Unit = QuotaUnit::Tokens,
                     .m_RatePerSecond = 5,
                     .m_DefaultTokens = 200};
  REQUIRE(Tokens.costOf(true, 900) == 900);
  REQUIRE(Tokens.costOf(false, 0) == 200);
  REQUIRE_FALSE(Quota{}.limited());
}
