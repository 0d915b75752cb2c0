#include "decisions/request/EnginePriority.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

Route route(int Priority, Duration Target) {
  Route Result;
  Result.m_Priority = Priority;
  Result.m_Target = Target;
  return Result;
}

} // namespace

TEST_CASE("Among organisations of equal priority, the route decides",
          "[priority]") {
  ServingConfig Config;
  Config.m_Organisations = {{.m_Name = "a", .m_Priority = 1},
                            {.m_Name = "b", .m_Priority = 1}};
  Config.indexOrganisations();
  const Organisation *Caller = &Config.m_Organisations[0];
  REQUIRE(enginePriority(Config, route(0, 1s), Caller) == 3);
  REQUIRE(enginePriority(Config, route(1, 4s), Caller) == 6);
  REQUIRE(enginePriority(Config, route(1, 4s), nullptr) == 6);
}

TEST_CASE("An organisation's priority takes precedence over the route's",
          "[priority]") {
  ServingConfig Config;
  const int Ranks = GENERATE(2, 3, 5);
  for (int Rank = 0; Rank < Ranks; ++Rank)
    Config.m_Organisations.push_back(
        {.m_Name = std::to_string(Rank), .m_Priority = Rank});
  Config.indexOrganisations();
  const Organisation *First = &Config.m_Organisations.front();
  const Organisation *Last = &Config.m_Organisations.back();
  REQUIRE(enginePriority(Config, route(2, 9s), First) <
          enginePriority(Config, route(0, 1s), Last));
  REQUIRE(enginePriority(Config, route(0, 1s), First) <=
          enginePriority(Config, route(2, 9s), First));
  REQUIRE(enginePriority(Config, route(0, 1s), nullptr) ==
          enginePriority(Config, route(0, 1s), Last));
  REQUIRE(enginePriority(Config, route(2, 9s), nullptr) <= 9);
}
