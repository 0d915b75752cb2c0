#include "gateway/process/ManagedEngine.h"
#include "support/Names.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

/// An engine that has accepted the order to load "m" from the store of weights.
ManagedEngine loading(double Slowness) {
  ManagedEngine Engine;
  Engine.m_Ledger.applyReport({}, at(0s));
  Engine.m_Ledger.begin({.m_Load = true, .m_Model = "m", .m_Adapter = {}},
                        at(0s));
  Engine.m_Ledger.recordAnswer(OrderAnswer::Accepted, at(0s));
  Engine.recordLoadStart(LoadSource::Store, 4s, Slowness, at(0s));
  return Engine;
}

} // namespace

TEST_CASE(
    "The expected end of a load takes the slowness of the store into account",
    "[orders]") {
  ManagedEngine Engine = loading(1.5);
  UpstreamInstance Entry;
  Entry.m_Id = "e";
  const EngineContents Contents = Engine.contents("e", at(1s));
  REQUIRE(Contents.m_Loading == "m");
  REQUIRE(Contents.m_ServesIn == 5s);
  SECTION("it is published once") {
    REQUIRE(Engine.takeUpdate(Entry, at(1s)));
    REQUIRE_FALSE(Engine.takeUpdate(Entry, at(2s)));
  }
  SECTION("an overdue load is expected soon") {
    Engine.takeUpdate(Entry, at(5s));
    Engine.expectOverdue(at(5s));
    REQUIRE_FALSE(Engine.takeUpdate(Entry, at(5s)));
    Engine.expectOverdue(at(6s));
    const auto Update = Engine.takeUpdate(Entry, at(6s));
    REQUIRE(Update);
    REQUIRE(Update->m_ServesIn > 0us);
    REQUIRE(Update->m_ServesIn <= 1s);
  }
  SECTION("its end shows how slow the store was") {
    REQUIRE(Engine.recordLoadEnd(at(8s)) == 2.0);
    REQUIRE_FALSE(Engine.recordLoadEnd(at(9s)));
  }
}

TEST_CASE("Loads from the engine's own disk do not measure the store",
          "[orders]") {
  ManagedEngine Engine = loading(1);
  Engine.recordLoadStart(LoadSource::Disk, 1s, 3, at(0s));
  REQUIRE(Engine.m_ServesAt == at(1s));
  REQUIRE_FALSE(Engine.recordLoadEnd(at(2s)));
}

TEST_CASE("A model that is kept stays for a replica's usual time from then on",
          "[orders][evacuation]") {
  ManagedEngine Engine;
  ResidencyReport Report;
  Report.m_Models = {{.m_Name = "kept", .m_Adapters = {}},
                     {.m_Name = "other", .m_Adapters = {}}};
  Engine.m_Ledger.applyReport(Report, at(0s));
  Engine.keepModels({"kept", "elsewhere"}, at(10s));
  const auto Fresh = [&](TimePoint Now) {
    return Engine.modelPlanEntry({}, 1, 6s, Now).m_RecentlyLoaded;
  };
  REQUIRE(Fresh(at(9s)) == std::set<std::string>{"kept"});
  REQUIRE(Fresh(at(15s)) == std::set<std::string>{"kept"});
  REQUIRE(Fresh(at(16s)).empty());
}

TEST_CASE("Contents of an engine that the list shows are not published",
          "[orders]") {
  ManagedEngine Engine;
  ResidencyReport Report;
  Report.m_Models = {{.m_Name = "m", .m_Adapters = {}}};
  Engine.m_Ledger.applyReport(Report, at(0s));
  UpstreamInstance Entry;
  Entry.m_Id = "e";
  SECTION("while the list and the engine agree") {
    Entry.m_Models = Report.m_Models;
    REQUIRE_FALSE(Engine.differsFrom(Entry, at(0s)));
    for (const Duration Later : {0s, 4s, 8s})
      REQUIRE_FALSE(Engine.takeUpdate(Entry, at(Later)));
  }
  SECTION("but other contents are, repeatedly, as boxes may miss an update") {
    REQUIRE(Engine.differsFrom(Entry, at(0s)));
    REQUIRE(Engine.takeUpdate(Entry, at(0s)));
    REQUIRE_FALSE(Engine.takeUpdate(Entry, at(1s)));
    REQUIRE(Engine.takeUpdate(Entry, at(4s)));
  }
  SECTION("and so is each change, even if the list already shows it") {
    Entry.m_Models = Report.m_Models;
    REQUIRE_FALSE(Engine.takeUpdate(Entry, at(0s)));
    Report.m_Models.clear();
    Engine.m_Ledger.applyReport(Report, at(1s));
    Entry.m_Models.clear();
    REQUIRE(Engine.takeUpdate(Entry, at(1s)));
  }
}
