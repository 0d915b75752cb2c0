#include "decisions/process/DemandRates.h"
#include "support/Draw.h"
#include "support/Names.h"

using namespace havenstair;

namespace {

const ModelKey Key{"s", "m", ""};

/// Adds demand of \p PerSecond requests per second for \p Length, in ten steps
/// a second.
void run(DemandRates &Rates, TimePoint &Now, double PerSecond,
         Duration Length) {
  for (const TimePoint End = Now + Length; Now < End; Now += 100ms)
    Rates.add(Key, {.m_Requests = PerSecond / 10, .m_WorkMs = PerSecond}, Now);
}

} // namespace

TEST_CASE("A steady demand is reported as its rate", "[demand]") {
  DemandRates Rates;
  TimePoint Now = at(0s);
  run(Rates, Now, 20, 30s);
  REQUIRE(Rates.rate(Key, Now).m_Requests == Approx(20).epsilon(0.1));
  REQUIRE(Rates.rate(Key, Now).m_WorkMs == Approx(200).epsilon(0.1));
}

TEST_CASE("A rise is reported before the slow mean follows", "[demand]") {
  DemandRates Rates;
  TimePoint Now = at(0s);
  run(Rates, Now, 2, 20s);
  run(Rates, Now, 20, 1s);
  REQUIRE(Rates.rate(Key, Now).m_Requests > 8);
}

TEST_CASE("The baseline outlives the current demand", "[demand]") {
  DemandRates Rates;
  TimePoint Now = at(0s);
  run(Rates, Now, 20, 30s);
  REQUIRE(Rates.rate(Key, Now + 20s).m_Requests < 1);
  REQUIRE(Rates.baseline(Now + 20s).at(Key).m_Requests > 5);
}

TEST_CASE("Demand that has ended is forgotten", "[demand]") {
  DemandRates Rates;
  TimePoint Now = at(0s);
  run(Rates, Now, 20, 10s);
  REQUIRE_FALSE(Rates.rates(Now).empty());
  REQUIRE(Rates.rates(Now + 120s).empty());
  REQUIRE(Rates.rate({"s", "never", ""}, Now) == ModelDemand{});
}

TEST_CASE("A moving demand is extrapolated", "[demand]") {
  DemandRates Rates;
  TimePoint Now = at(0s);
  run(Rates, Now, 20, 20s);
  SECTION("rising") {
    for (int PerSecond = 20; PerSecond < 40; ++PerSecond)
      run(Rates, Now, PerSecond, 200ms);
    // A plain mean would still be at 30.
    REQUIRE(Rates.rate(Key, Now).m_Requests > 37);
  }
  SECTION("falling") {
    for (int PerSecond = 20; PerSecond > 0; --PerSecond)
      run(Rates, Now, PerSecond, 200ms);
    REQUIRE(Rates.rate(Key, Now).m_Requests < 2);
  }
}

TEST_CASE("Names that callers invent do not grow the demand without bound",
          "[demand]") {
  constexpr std::size_t Invented = 20000;
  const auto Demand = ModelDemand{.m_Requests = 1, .m_WorkMs = 100};
  DemandRates Rates;
  const TimePoint Now = at(0s);
  Rates.add(Key, Demand, Now);
  SECTION("many of them") {
    for (std::size_t Number = 0; Number < Invented; ++Number)
      Rates.add({"s", "x-" + std::to_string(Number), ""}, Demand, Now);
    REQUIRE(Rates.baseline(Now).size() <= 16384);
    Rates.add(Key, Demand, Now);
    REQUIRE(Rates.baseline(Now).at(Key).m_WorkMs > 6);
    const TimePoint Later = Now + 600s;
    const ModelKey Next{"s", "next", ""};
    Rates.add(Next, Demand, Later);
    REQUIRE(Rates.baseline(Later).size() == 1);
    REQUIRE(Rates.baseline(Later).contains(Next));
  }
  SECTION("long ones") {
    Rates.add({"s", std::string(8000, 'x'), ""}, Demand, Now);
    REQUIRE(Rates.baseline(Now).size() == 1);
  }
}
