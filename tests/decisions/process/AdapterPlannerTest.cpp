#include "decisions/process/AdapterPlanner.h"
#include "support/Draw.h"
#include "support/Names.h"

using namespace havenstair;

namespace {

EngineSpec spec(int Capacity) {
  EngineSpec Result;
  Result.m_WeightsMb = 220;
  Result.m_AdapterCapacity = Capacity;
  ModelSpec Model;
  Model.m_Name = "m";
  Model.m_SizeMb = 70;
  Model.m_Adapters = 6;
  Model.m_AdapterMb = 1;
  Result.m_Models = {Model};
  return Result;
}

EngineLedger ledger(const std::set<std::string> &Adapters) {
  EngineLedger Result;
  Result.applyReport({.m_OrderCount = 1,
                      .m_Models = {{.m_Name = "m", .m_Adapters = Adapters}}},
                     at(0s));
  return Result;
}

AdapterMove move(const InstanceId &At, bool Load, const std::string &Adapter) {
  return {.m_Engine = At,
          .m_Order = {.m_Load = Load, .m_Model = "m", .m_Adapter = Adapter}};
}

} // namespace

TEST_CASE("An adapter that requests wait for goes to the less busy engine",
          "[adapters]") {
  const EngineLedger A = ledger({}), B = ledger({});
  const std::vector<AdapterEngine> Engines{
      {.m_Id = "a", .m_Ledger = &A, .m_Busy = 0.9},
      {.m_Id = "b", .m_Ledger = &B, .m_Busy = 0.1}};
  REQUIRE(planAdapters(Engines, {{"m", "a1"}}, {}, spec(4), {}) ==
          std::vector{move("b", true, "a1")});
}

TEST_CASE("The adapter with the lowest rate is evicted for one that requests "
          "wait for",
          "[adapters]") {
  const EngineLedger A = ledger({"a2", "a3"});
  const std::vector<AdapterEngine> Engines{{.m_Id = "a", .m_Ledger = &A}};
  const std::map<AdapterKey, double> Rates{{{"m", "a2"}, 0.2},
                                           {{"m", "a3"}, 0.1}};
  REQUIRE(planAdapters(Engines, {{"m", "a1"}}, Rates, spec(2), {}) ==
          std::vector{move("a", false, "a3")});
}

TEST_CASE("An adapter that was just loaded is not evicted for the next one",
          "[adapters]") {
  const EngineLedger A = ledger({"a2"});
  std::vector<AdapterEngine> Engines{{.m_Id = "a", .m_Ledger = &A}};
  Engines[0].m_RecentlyLoaded = {{"m", "a2"}};
  REQUIRE(planAdapters(Engines, {{"m", "a1"}, {"m", "a2"}}, {}, spec(1), {})
              .empty());
  Engines[0].m_RecentlyLoaded.clear();
  REQUIRE(planAdapters(Engines, {{"m", "a1"}, {"m", "a2"}}, {}, spec(1), {}) ==
          std::vector{move("a", false, "a2")});
}

TEST_CASE("The adapter that requests have waited for longest is loaded first",
          "[adapters]") {
  const EngineLedger A = ledger({});
  const std::vector<AdapterEngine> Engines{{.m_Id = "a", .m_Ledger = &A}};
  REQUIRE(planAdapters(Engines, {{"m", "a5"}, {"m", "a1"}}, {}, spec(2), {}) ==
          std::vector{move("a", true, "a5")});
}

TEST_CASE("A requested adapter is copied to an engine with a free slot",
          "[adapters]") {
  const EngineLedger A = ledger({"a1"}), B = ledger({});
  const std::vector<AdapterEngine> Engines{{.m_Id = "a", .m_Ledger = &A},
                                           {.m_Id = "b", .m_Ledger = &B}};
  const std::map<AdapterKey, double> Wanted{{{"m", "a1"}, 2.0}};
  REQUIRE(planAdapters(Engines, {}, Wanted, spec(2), {}) ==
          std::vector{move("b", true, "a1")});
  const std::map<AdapterKey, double> Rare{{{"m", "a1"}, 0.01}};
  REQUIRE(planAdapters(Engines, {}, Rare, spec(2), {}).empty());
}

TEST_CASE("No adapter is loaded for a model that is retiring or not loaded",
          "[adapters]") {
  const EngineLedger A = ledger({});
  std::vector<AdapterEngine> Engines{{.m_Id = "a", .m_Ledger = &A}};
  Engines[0].m_Retiring = {"m"};
  REQUIRE(planAdapters(Engines, {{"m", "a1"}}, {}, spec(2), {}).empty());
  Engines[0].m_Retiring.clear();
  REQUIRE(planAdapters(Engines, {{"other", "a1"}}, {}, spec(2), {}).empty());
}

TEST_CASE(
    "Without further copies only adapters that requests wait for are planned",
    "[adapters]") {
  const EngineLedger A = ledger({"a2", "a3"}), B = ledger({});
  const std::vector<AdapterEngine> Engines{{.m_Id = "a", .m_Ledger = &A},
                                           {.m_Id = "b", .m_Ledger = &B}};
  const std::map<AdapterKey, double> Rates{{{"m", "a2"}, 9},
                                           {{"m", "a3"}, 0.1}};
  AdapterOptions Awaited;
  Awaited.m_Copies = false;
  REQUIRE(planAdapters(Engines, {}, Rates, spec(2), Awaited).empty());
  REQUIRE_FALSE(planAdapters(Engines, {}, Rates, spec(2), {}).empty());
  REQUIRE(planAdapters({Engines.front()}, {{"m", "a1"}}, Rates, spec(2),
                       Awaited) == std::vector{move("a", false, "a3")});
}
