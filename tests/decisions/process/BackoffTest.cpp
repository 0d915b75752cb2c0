#include "decisions/process/Backoff.h"

#include <catch2/catch.hpp>

using namespace havenstair;

TEST_CASE("A backoff doubles up to its cap", "[retry]") {
  Backoff Waits(
      {.m_First = 10ms, .m_Cap = 45ms, .m_Random = [] { return 1.0; }});
  REQUIRE(Waits.next() == 10ms);
  REQUIRE(Waits.next() == 20ms);
  REQUIRE(Waits.next() == 40ms);
  REQUIRE(Waits.next() == 45ms);
  for (int Count = 0; Count < 100; ++Count)
    REQUIRE(Waits.next() == 45ms);
  Waits.reset();
  REQUIRE(Waits.next() == 10ms);
}

TEST_CASE("A retry budget allows retries as a fraction of requests",
          "[retry]") {
  RetryBudget Budget({.m_PerRequest = 0.1, .m_Most = 2});
  REQUIRE(Budget.trySpend());
  REQUIRE(Budget.trySpend());
  REQUIRE_FALSE(Budget.trySpend());
  for (int Count = 0; Count < 11; ++Count)
    Budget.earn();
  REQUIRE(Budget.trySpend());
  REQUIRE_FALSE(Budget.trySpend());
}
