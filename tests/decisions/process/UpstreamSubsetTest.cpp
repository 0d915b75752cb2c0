#include "decisions/process/UpstreamSubset.h"
#include "support/Draw.h"

#include <catch2/catch.hpp>
#include <set>

using namespace havenstair;

namespace {

using Upstreams = std::vector<UpstreamInstance>;

const DataCentreMap Map({{DataCentreName("a-1"), RegionName("a")},
                         {DataCentreName("a-2"), RegionName("a")},
                         {DataCentreName("b-1"), RegionName("b")}});
const std::vector<std::string> DataCentres{"a-1", "a-2", "b-1"};

std::vector<const UpstreamInstance *> pointers(const Upstreams &All) {
  std::vector<const UpstreamInstance *> Result;
  for (const UpstreamInstance &Each : All)
    Result.push_back(&Each);
  return Result;
}

std::set<InstanceId> ids(const UpstreamSubset::Selection &Of) {
  std::set<InstanceId> Result;
  for (const UpstreamInstance *Each : Of)
    Result.insert(Each->m_Id);
  return Result;
}

Upstreams copies(const UpstreamSubset::Selection &Of) {
  Upstreams Result;
  for (const UpstreamInstance *Each : Of)
    Result.push_back(*Each);
  return Result;
}

UpstreamInstance engine(int Number, const std::vector<std::string> &Models) {
  UpstreamInstance Result;
  Result.m_Id = "i-" + std::to_string(Number);
  Result.m_Service = "llm";
  Result.m_Zone = DataCentres[static_cast<std::size_t>(Number) % 3];
  Result.m_Slots = 64;
  for (const std::string &Model : Models)
    Result.m_Models.push_back({.m_Name = Model, .m_Adapters = {}});
  return Result;
}

/// Engines that hold three of 30 models each. Every 20th one instead of one of
/// these holds a model that no other engine does.
Upstreams fleetOf(int Engines) {
  Upstreams Result;
  for (int Number = 0; Number < Engines; ++Number) {
    const auto Model = [&](int Step) {
      return "m-" + std::to_string((Number * 7 + Step * 11) % 30);
    };
    std::vector<std::string> Models{Model(0), Model(1), Model(2)};
    if (Number % 20 == 0 && Number / 20 < 40)
      Models[0] = "rare-" + std::to_string(Number / 20);
    Result.push_back(engine(Number, Models));
  }
  return Result;
}

Upstreams drawnUpstreams() {
  Upstreams Result;
  const int Count = *drawn(0, 120);
  for (int Number = 0; Number < Count; ++Number) {
    std::vector<std::string> Models;
    for (int Model = *drawn(0, 4); Model > 0; --Model)
      Models.push_back("m-" + std::to_string(*drawn(0, 6)));
    Result.push_back(engine(Number, Models));
    Result.back().m_Draining = *drawn(0, 5) == 0;
  }
  return Result;
}

const UpstreamSubset::Options Small{.m_ReplicasPerRegion = 3,
                                    .m_ReplicasPerDataCentre = 2,
                                    .m_SlotsPerDataCentre = 100};

} // namespace

TEST_CASE("The subset that a box knows does not grow with the fleet",
          "[shortlist]") {
  const Upstreams Half = fleetOf(5000);
  const Upstreams Whole = fleetOf(10000);
  const UpstreamSubset OfHalf(pointers(Half), Map);
  const UpstreamSubset OfWhole(pointers(Whole), Map);
  const DataCentreName Own("a-1");
  // 30 models with 16 replicas in each of two regions and 8 in a data centre,
  // and 40 engines with a model of their own.
  constexpr std::size_t Most = 30 * (2 * 16 + 8) + 40;
  REQUIRE(OfHalf.forDataCentre(Own).size() <= Most);
  REQUIRE(OfWhole.forDataCentre(Own).size() <= Most);
  REQUIRE(OfWhole.forAll().size() <= Most + 30 * 2 * 8);
}

TEST_CASE("All upstreams are selected when each model has few replicas",
          "[shortlist]") {
  const Upstreams All = fleetOf(90);
  const UpstreamSubset Of(pointers(All), Map);
  REQUIRE(Of.forDataCentre(DataCentreName("b-1")).size() == All.size());
}

TEST_CASE("A leaving upstream stays selected until it is gone, beside its "
          "successor",
          "[shortlist]") {
  Upstreams All;
  for (int Number = 0; Number < 30; ++Number)
    All.push_back(engine(3 * Number, {"m"}));
  const DataCentreName Own("a-1");
  const std::set<InstanceId> Before =
      ids(UpstreamSubset(pointers(All), Map, Small).forDataCentre(Own));
  REQUIRE(Before.size() == 3);
  for (UpstreamInstance &Each : All)
    Each.m_Draining = Each.m_Id == *Before.begin();
  const std::set<InstanceId> After =
      ids(UpstreamSubset(pointers(All), Map, Small).forDataCentre(Own));
  REQUIRE(After.size() == 4);
  REQUIRE(
      std::includes(After.begin(), After.end(), Before.begin(), Before.end()));
}

TEST_CASE("Upstreams of a service without models are counted by their slots",
          "[shortlist]") {
  Upstreams All;
  for (int Number = 0; Number < 300; ++Number) {
    All.push_back(engine(3 * Number, {}));
    All.back().m_Slots = 4;
  }
  const UpstreamSubset Of(pointers(All), Map,
                          {.m_ReplicasPerRegion = 3,
                           .m_ReplicasPerDataCentre = 2,
                           .m_SlotsPerDataCentre = 100});
  REQUIRE(Of.forDataCentre(DataCentreName("a-1")).size() == 25);
}

TEST_CASE("Subsets of random fleets", "[shortlist][proof]") {
  rc::prop("hold a replica of every model, and are their own subset", [] {
    const Upstreams All = drawnUpstreams();
    const UpstreamSubset Of(pointers(All), Map, Small);
    for (const std::string &Name : DataCentres) {
      const DataCentreName Own(Name);
      const Upstreams Known = copies(Of.forDataCentre(Own));
      std::set<std::string> Models;
      for (const UpstreamInstance &Each : Known)
        for (const ResidentModel &Model : Each.m_Models)
          Models.insert(Model.m_Name);
      for (const UpstreamInstance &Each : All)
        for (const ResidentModel &Model : Each.m_Models)
          RC_ASSERT(Models.contains(Model.m_Name));
      const UpstreamSubset Again(pointers(Known), Map, Small);
      RC_ASSERT(ids(Again.forDataCentre(Own)).size() == Known.size());
      RC_ASSERT(ids(Again.forAll()).size() == Known.size());
      const std::set<InstanceId> OfAll = ids(Of.forAll());
      for (const UpstreamInstance &Each : Known)
        RC_ASSERT(OfAll.contains(Each.m_Id));
    }
  });
  rc::prop("do not depend on the order in which the list is read", [] {
    const Upstreams All = drawnUpstreams();
    std::vector<const UpstreamInstance *> Reversed = pointers(All);
    std::reverse(Reversed.begin(), Reversed.end());
    RC_ASSERT(ids(UpstreamSubset(pointers(All), Map, Small).forAll()) ==
              ids(UpstreamSubset(Reversed, Map, Small).forAll()));
  });
}

TEST_CASE("Each software version of a model keeps replicas of its own in the "
          "selection",
          "[shortlist][stream-version]") {
  Upstreams All;
  for (int Number = 0; Number < 60; ++Number) {
    All.push_back(engine(3 * Number, {"m"}));
    All.back().m_Software = SoftwareVersion(Number < 50 ? "v1" : "v2");
  }
  std::map<SoftwareVersion, int> Selected;
  const UpstreamSubset Of(pointers(All), Map, Small);
  for (const UpstreamInstance *Each : Of.forDataCentre(DataCentreName("a-1")))
    ++Selected[Each->m_Software];
  REQUIRE(Selected[SoftwareVersion("v1")] >= 2);
  REQUIRE(Selected[SoftwareVersion("v2")] >= 2);
}
