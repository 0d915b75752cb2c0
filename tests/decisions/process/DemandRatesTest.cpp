#include "decisions/process/DemandRates.h"
#include "support/Draw.h"
#include "support/Names.h"

using namespace havenstair;

namespace {

const ModelKey Key{"s", "m", ""};

/// Adds \p PerSecond requests for \p Length, ten times a second.
void run(DemandRates &Rates, TimePoint &Now, double PerSecond,
         Duration Length) {
  for (const TimePoint End = Now + Length; Now < End; Now += 100ms)
    Rates.add(Key, {.m_Requests = PerSecond / 10, .m_WorkMs = PerSecond}, Now);
}

} // namespace

TEST_CASE("A steady demand is told as its rate", "[demand]") {
  DemandRates Rates;
  TimePoint Now = at(0s);
  run(Rates, Now, 20, 30s);
  REQUIRE(Rates.rate(Key, Now).m_Requests == Approx(20).epsilon(0.1));
  REQUIRE(Rates.rate(Key, Now).m_WorkMs == Approx(200).epsilon(0.1));
}

TEST_CASE("A rise is told before the slow mean follows", "[demand]") {
  DemandRates Rates;
  TimePoint Now = at(0s);
  run(Rates, Now, 2, 20s);
  run(Rates, Now, 20, 1s);
  REQUIRE(Rates.rate(Key, Now).m_Requests > 8);
}

TEST_CASE("What is usually asked for outlives what is asked for now",
          "[demand]") {
  DemandRates Rates;
  TimePoint Now = at(0s);
  run(Rates, Now, 20, 30s);
  REQUIRE(Rates.rate(Key, Now + 20s).m_Requests < 1);
  REQUIRE(Rates.baseline(Now + 20s).at(Key).m_Requests > 5);
}

TEST_CASE("Demand that has gone is forgotten", "[demand]") {
  DemandRates Rates;
  TimePoint Now = at(0s);
  run(Rates, Now, 20, 10s);
  REQUIRE_FALSE(Rates.rates(Now).empty());
  REQUIRE(Rates.rates(Now + 120s).empty());
  REQUIRE(Rates.rate({"s", "never", ""}, Now) == ModelDemand{});
}

TEST_CASE("A demand that moves is told as it will soon be", "[demand]") {
  DemandRates Rates;
  TimePoint Now = at(0s);
  run(Rates, Now, 20, 20s);
  SECTION("rising") {
    for (int PerSecond = 20; PerSecond < 40; ++PerSecond)
      run(Rates, Now, PerSecond, 200ms);
    // A plain mean would still be at thirty.
    REQUIRE(Rates.rate(Key, Now).m_Requests > 37);
  }
  SECTION("falling") {
    for (int PerSecond = 20; PerSecond > 0; --PerSecond)
      run(Rates, Now, PerSecond, 200ms);
    REQUIRE(Rates.rate(Key, Now).m_Requests < 2);
  }
}
