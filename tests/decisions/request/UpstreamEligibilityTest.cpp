#include "decisions/request/UpstreamEligibility.h"
#include "support/Draw.h"
#include "support/Names.h"

using namespace havenstair;

namespace {

UpstreamInstance engine(const std::string &Id, const std::string &Zone,
                        bool Holds = true) {
  UpstreamInstance Result;
  Result.m_Id = Id;
  Result.m_Service = "s";
  Result.m_Zone = Zone;
  if (Holds)
    Result.m_Models = {{.m_Name = "m", .m_Adapters = {}}};
  return Result;
}

/// Engines in the data centres a (region north), b (region south) and x
/// (without a region).
class EligibilityTest {
public:
  explicit EligibilityTest(const std::set<RegionName> &Allowed) {
    m_Request.m_Model = "m";
    Route MatchedRoute;
    MatchedRoute.m_AllowedRegions = Allowed;
    m_Regions = AllowedRegions(MatchedRoute, nullptr);
  }

  void list(std::uint64_t Revision, const std::vector<UpstreamInstance> &All,
            TimePoint Now) {
    InstanceList List{.m_Revision = revision(Revision), .m_Instances = {}};
    for (const UpstreamInstance &Each : All)
      List.m_Instances.emplace(Each.m_Id, Each);
    m_View.update(std::move(List), Now);
  }

  UpstreamEligibility get() const {
    return {m_View, m_Map, m_Regions, m_Service, m_Request, m_Software};
  }

  std::vector<InstanceId> names(TimePoint Now,
                                const std::set<InstanceId> &Tried = {}) const {
    std::vector<InstanceId> Result;
    const auto WasTried = [&](const InstanceId &Id) {
      return Tried.contains(Id);
    };
    for (const UpstreamInstance *Each : get().candidates(WasTried, Now))
      Result.push_back(Each->m_Id);
    return Result;
  }

  ServingView m_View;
  DataCentreMap m_Map{{{DataCentreName("a"), RegionName("north")},
                       {DataCentreName("b"), RegionName("south")}}};
  AllowedRegions m_Regions;
  std::string m_Service = "s";
  RequestDescriptor m_Request;
  std::optional<SoftwareVersion> m_Software;
};

UpstreamInstance versioned(UpstreamInstance Engine,
                           const std::string &Version) {
  Engine.m_Software = SoftwareVersion(Version);
  return Engine;
}

using Names = std::vector<InstanceId>;
const RegionName North("north"), South("south"), West("west");

} // namespace

TEST_CASE("Only upstreams in allowed regions are candidates", "[regions]") {
  const std::vector<UpstreamInstance> All{
      engine("e-a", "a"), engine("e-b", "b"), engine("e-x", "x")};
  EligibilityTest Anywhere({}), InSouth({South}), InWest({West});
  for (EligibilityTest *Each : {&Anywhere, &InSouth, &InWest})
    Each->list(1, All, at(1s));
  REQUIRE(Anywhere.names(at(1s)) == Names{"e-a", "e-b", "e-x"});
  REQUIRE(InSouth.names(at(1s)) == Names{"e-b"});
  REQUIRE(InSouth.names(at(1s), {"e-b"}).empty());
  REQUIRE(InWest.names(at(1s)).empty());
  REQUIRE(InSouth.get().any());
  REQUIRE_FALSE(InWest.get().any());
}

TEST_CASE(
    "Upstreams that are used as a last resort must be in allowed regions too",
    "[regions]") {
  EligibilityTest InSouth({South});
  InSouth.list(1, {engine("e-a", "a"), engine("e-b", "b")}, at(1s));
  SECTION("one that is no longer listed in a forbidden region is not used") {
    InSouth.list(2, {}, at(2s));
    REQUIRE(InSouth.names(at(2s)) == Names{"e-b"});
  }
  SECTION("one that stays listed in a forbidden region does not prevent it") {
    InSouth.list(2, {engine("e-a", "a")}, at(2s));
    REQUIRE(InSouth.names(at(2s)) == Names{"e-b"});
    REQUIRE_FALSE(InSouth.get().any());
  }
}

TEST_CASE("A load in a forbidden region is no reason to wait", "[regions]") {
  EligibilityTest InSouth({South});
  InSouth.list(1, {engine("e-a", "a", false), engine("e-b", "b", false)},
               at(1s));
  InSouth.m_View.recordLeaderLoad({"e-a"}, "m", at(2s));
  REQUIRE_FALSE(InSouth.get().servesAt(at(1s)));
  InSouth.m_View.recordLeaderLoad({"e-b"}, "m", at(4s));
  REQUIRE(InSouth.get().servesAt(at(1s)) == at(4s));
  REQUIRE(InSouth.get().any());
}

TEST_CASE("Only upstreams of the bound software version are candidates",
          "[stream-version]") {
  EligibilityTest Test({});
  Test.m_Software = SoftwareVersion("v1");
  Test.list(1,
            {versioned(engine("e-1", "a"), "v1"),
             versioned(engine("e-2", "a"), "v2"), engine("e-3", "a")},
            at(1s));
  REQUIRE(Test.names(at(1s)) == Names{"e-1"});
  REQUIRE(Test.names(at(1s), {"e-1"}).empty());
  Test.m_Software = SoftwareVersion("v3");
  REQUIRE(Test.names(at(1s)).empty());
  REQUIRE_FALSE(Test.get().any());
}

TEST_CASE("A load at another software version is no reason to wait",
          "[stream-version]") {
  EligibilityTest Test({});
  Test.m_Software = SoftwareVersion("v1");
  Test.list(1,
            {versioned(engine("e-1", "a", false), "v1"),
             versioned(engine("e-2", "a", false), "v2")},
            at(1s));
  Test.m_View.recordLeaderLoad({"e-2"}, "m", at(2s));
  REQUIRE_FALSE(Test.get().servesAt(at(1s)));
  Test.m_View.recordLeaderLoad({"e-1"}, "m", at(4s));
  REQUIRE(Test.get().servesAt(at(1s)) == at(4s));
}

TEST_CASE("The last upstream of a software version that leaves is used as a "
          "last resort, though upstreams of others serve",
          "[stream-version]") {
  EligibilityTest Test({});
  Test.m_Software = SoftwareVersion("v1");
  const auto Other = versioned(engine("e-2", "a"), "v2");
  Test.list(1, {versioned(engine("e-1", "a"), "v1"), Other}, at(1s));
  Test.list(2, {Other}, at(2s));
  REQUIRE(Test.names(at(2s)) == Names{"e-1"});
  REQUIRE(Test.names(at(4s)).empty());
}
