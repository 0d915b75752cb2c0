#include "gateway/common/DecisionLog.h"
#include "gateway/process/OrderLeader.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

constexpr Duration Window = 5s;
const TimePoint OwnStart = TimePoint() + 100s;
const TimePoint Elected = OwnStart + 6s;

/// The engines of a leader, as far as the bound on loads is concerned.
class FormerLeaderTest {
public:
  FormerLeaderTest() : m_Log(m_Loop, {.m_Descriptor = -1}) {
    auto Config = std::make_shared<ServingConfig>();
    ServiceSpec Service;
    Service.m_Name = "llm";
    Service.m_Engine.emplace();
    Service.m_Engine->m_Models = {{.m_Name = "m", .m_StoreLoad = 3s}};
    Config->m_Services = {Service};
    m_State.m_Config = Config;
    InstanceList List{.m_Revision = {.m_Number = 1}, .m_Instances = {}};
    for (const std::string Id : {"e-1", "e-2"})
      List.m_Instances[Id] = {.m_Id = Id, .m_Service = "llm"};
    m_State.m_Upstreams.update(List, OwnStart);
  }

  void startTerm(std::optional<TimePoint> LastOrder) {
    m_Engines.startTerm(LastOrder, Elected);
    m_Engines.loadLimiter().configure(
        {.m_LoadsPerSecond = 2, .m_Window = Window, .m_Slack = 0});
    m_Engines.refresh(Elected);
  }
  void report(const InstanceId &Id, bool Loading) {
    m_Engines.find(Id)->m_Ledger.applyReport({.m_OrderUnderWay = Loading},
                                             Elected, Elected);
  }
  std::size_t available(TimePoint Now) {
    m_Engines.countPredecessorLoads(Window, Now);
    return m_Engines.loadLimiter().available(Now);
  }

private:
  EventLoop m_Loop;
  DecisionLog m_Log;
  ServingState m_State;
  ManagedEngines m_Engines{m_State, m_Log};
};

} // namespace

TEST_CASE("An earlier process of the machine gave its last order before this "
          "one started",
          "[gateway][orders][recover]") {
  LeaderElection::Predecessor Leader{.m_Machine = "box"};
  SECTION("there was no leader") {
    Leader.m_None = true;
    REQUIRE_FALSE(lastOrderOf(Leader, OwnStart, Elected));
  }
  SECTION("another machine may not know yet that it was replaced") {
    REQUIRE(lastOrderOf(Leader, OwnStart, Elected) > Elected);
  }
  SECTION("this process may have given one just now") {
    Leader.m_SameMachine = Leader.m_SameProcess = true;
    REQUIRE(lastOrderOf(Leader, OwnStart, Elected) == Elected);
  }
  SECTION("an earlier process of this machine") {
    Leader.m_SameMachine = true;
    REQUIRE(lastOrderOf(Leader, OwnStart, Elected) == OwnStart);
  }
}

// Loads waited for a window from the election on, 4.3 s after a loss of all.
TEST_CASE("A leader whose predecessor ended a window ago loads at once",
          "[gateway][orders][recover]") {
  FormerLeaderTest Test;
  Test.startTerm(OwnStart);
  Test.report("e-1", false);
  Test.report("e-2", false);
  REQUIRE(Test.available(Elected) == 10);
}

TEST_CASE("A leader whose predecessor ended lately waits for the rest of the "
          "window, whatever engines report",
          "[gateway][orders][recover]") {
  FormerLeaderTest Test;
  Test.startTerm(Elected - 3s);
  Test.report("e-1", false);
  Test.report("e-2", false);
  REQUIRE(Test.available(Elected) == 0);
  REQUIRE(Test.available(Elected + 2s) == 0);
  REQUIRE(Test.available(Elected + 2s + 1ms) == 10);
}

TEST_CASE("Loads that are under way at the end of a former leader's window "
          "count",
          "[gateway][orders][recover]") {
  FormerLeaderTest Test;
  Test.startTerm(Elected);
  Test.report("e-1", true);
  REQUIRE(Test.available(Elected + 2200ms) == 0);
  SECTION("all have reported") {
    Test.report("e-2", false);
    REQUIRE(Test.available(Elected + 2300ms) == 9);
  }
  SECTION("an engine that does not report counts as loading") {
    REQUIRE(Test.available(Elected + 2300ms) == 8);
  }
}
