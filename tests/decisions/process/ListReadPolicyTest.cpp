#include "decisions/process/ListReadPolicy.h"

#include <catch2/catch.hpp>

using namespace havenstair;

TEST_CASE("Relays begin to read one after the other, and before the platform "
          "stops work for a draining upstream",
          "[lists]") {
  REQUIRE(relayMaxListAge(0) < relayMaxListAge(1));
  REQUIRE(relayMaxListAge(1) < relayMaxListAge(2));
  REQUIRE(relayMaxListAge(2) < 2s);
  REQUIRE(relayMaxListAge(9) == relayMaxListAge(2));
}

TEST_CASE("A leaf reads in time for the drain timeout, within bounds",
          "[lists]") {
  REQUIRE(leafMaxListAge(2500ms) == 1900ms);
  REQUIRE(leafMaxListAge(1s) == 1400ms);
  REQUIRE(leafMaxListAge(10s) == 2400ms);
}

TEST_CASE("A leaf retries less often than a relay", "[lists]") {
  REQUIRE(listReadRetry(FleetRole::Leaf).m_First >
          listReadRetry(FleetRole::Relay).m_First);
  REQUIRE(listReadRetry(FleetRole::Leaf).m_Cap >
          listReadRetry(FleetRole::Relay).m_Cap);
}

TEST_CASE("The delay of a relay grows with the list, within bounds",
          "[lists]") {
  REQUIRE(listCoalesceDelay(FleetRole::Relay, 10) == 200ms);
  REQUIRE(listCoalesceDelay(FleetRole::Relay, 3000) == 300ms);
  REQUIRE(listCoalesceDelay(FleetRole::Relay, 100000) == 500ms);
  REQUIRE(listCoalesceDelay(FleetRole::Leaf, 10) == 1s);
}

TEST_CASE("A leaf reads itself only what the store returns in one call",
          "[lists]") {
  REQUIRE_FALSE(leavesListToUplink(500));
  REQUIRE(leavesListToUplink(501));
}

TEST_CASE("A relay that starts waits only while others enter the list",
          "[lists]") {
  StartupState Start{.m_Role = FleetRole::Relay, .m_SinceStart = 699ms};
  REQUIRE_FALSE(awaitsFirstList(Start));
  Start.m_OthersEnter = true;
  REQUIRE(awaitsFirstList(Start));
  Start.m_SinceStart = 700ms;
  REQUIRE_FALSE(awaitsFirstList(Start));
}

TEST_CASE("A leaf that starts waits longer once it has an uplink", "[lists]") {
  StartupState Start{.m_Role = FleetRole::Leaf, .m_SinceStart = 1999ms};
  REQUIRE(awaitsFirstList(Start));
  Start.m_SinceStart = 2s;
  REQUIRE_FALSE(awaitsFirstList(Start));
  Start.m_HasUplink = true;
  REQUIRE(awaitsFirstList(Start));
  Start.m_SinceStart = 10s;
  REQUIRE_FALSE(awaitsFirstList(Start));
}

TEST_CASE("The store seems away when no copy has been confirmed for long",
          "[lists]") {
  REQUIRE_FALSE(storeSeemsAway(2400ms));
  REQUIRE(storeSeemsAway(2401ms));
}
