#include "decisions/version/ServingConfig.h"
#include "support/Draw.h"

using namespace havenstair;

namespace {

Route routeTo(const std::string &Name, const std::string &Host,
              const std::string &Prefix) {
  Route Result;
  Result.m_Name = Name;
  Result.m_Host = Host;
  Result.m_PathPrefix = Prefix;
  Result.m_Split = {{.m_Service = "service-" + Name}};
  return Result;
}

} // namespace

TEST_CASE("A request matches the route of its host with the longest prefix",
          "[config]") {
  ServingConfig Config;
  Config.m_Routes = {routeTo("short", "a", "/x/"),
                     routeTo("long", "a", "/x/y/"),
                     routeTo("other", "b", "/x/y/z/")};
  REQUIRE(Config.route("a", "/x/y/z/1")->m_Name == "long");
  REQUIRE(Config.route("a", "/x/1")->m_Name == "short");
  REQUIRE(Config.route("b", "/x/y/z/1")->m_Name == "other");
  REQUIRE(Config.route("a", "/z/") == nullptr);
  REQUIRE(Config.route("c", "/x/") == nullptr);
}

TEST_CASE("A split gives each service its share, the same on all boxes",
          "[config]") {
  Route Split = routeTo("r", "a", "/");
  Split.m_Split = {{.m_Service = "old", .m_Weight = 90},
                   {.m_Service = "new", .m_Weight = 10}};
  int New = 0;
  for (int Number = 0; Number < 4000; ++Number) {
    const std::string Id = "request-" + std::to_string(Number);
    REQUIRE(chooseSplit(Split, Id) == chooseSplit(Split, Id));
    New += chooseSplit(Split, Id) == "new" ? 1 : 0;
  }
  REQUIRE(New > 300);
  REQUIRE(New < 500);
}

TEST_CASE("Only requests of safe routes and resumable streams may run again",
          "[config]") {
  Route Tested = routeTo("r", "a", "/");
  const auto Kind =
      GENERATE(RouteKind::Safe, RouteKind::Unsafe, RouteKind::Stream);
  const bool Resumable = GENERATE(false, true);
  Tested.m_Kind = Kind;
  Tested.m_Resumable = Resumable;
  const bool Expected =
      Kind == RouteKind::Safe || (Kind == RouteKind::Stream && Resumable);
  REQUIRE(Tested.idempotent() == Expected);
}
