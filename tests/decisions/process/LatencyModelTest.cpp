#include "decisions/process/LatencyModel.h"
#include "support/Draw.h"

using namespace havenstair;

TEST_CASE("The cost of a model's tokens is learned", "[latency]") {
  LatencyModel Model;
  const double True = GENERATE(0.006, 0.026, 0.08);
  for (int Round = 0; Round < 200; ++Round) {
    const double Work = Model.workMs("m", 4000);
    Model.observe("e" + std::to_string(Round % 5), "m", 0, Work,
                  8 + 4000 * True);
  }
  const double Expected =
      Model.expectedMs("e0", 0, Model.workMs("m", 4000)) - 8;
  REQUIRE(Expected == Approx(4000 * True).epsilon(0.2));
}

TEST_CASE("A slow engine is distinguished from a slow model", "[latency]") {
  LatencyModel Model;
  for (int Round = 0; Round < 300; ++Round) {
    const bool Slow = Round % 3 == 0;
    const double Work = Model.workMs("m", 4000);
    Model.observe(Slow ? "slow" : "fast", "m", 0, Work, Slow ? 400 : 100);
  }
  REQUIRE(Model.slowness("slow") > 2 * Model.slowness("fast"));
  Model.forget("slow");
  REQUIRE(Model.slowness("slow") == 1);
}

TEST_CASE("No observation drives the model out of its bounds",
          "[latency][property]") {
  rc::prop("bounded", [] {
    LatencyModel Model;
    for (int Round = 0; Round < 200; ++Round)
      Model.observe("e", "m", *drawn(0, 1000), *drawn(0, 1000),
                    *drawn(0, 100000));
    RC_ASSERT(Model.slowness("e") >= 0.5);
    RC_ASSERT(Model.slowness("e") <= 10);
    RC_ASSERT(Model.workMs("m", 1000) >= 2);
    RC_ASSERT(Model.workMs("m", 1000) <= 1000);
  });
}

TEST_CASE("The time for which answers take a slot is learned by model",
          "[latency]") {
  LatencyModel Model;
  const double Before = Model.holdMs("long");
  for (int Times = 0; Times < 200; ++Times) {
    Model.observeHold("long", 3000);
    Model.observeHold("short", 100);
  }
  REQUIRE(Model.holdMs("long") == Approx(3000).epsilon(0.05));
  REQUIRE(Model.holdMs("short") == Approx(100).epsilon(0.05));
  REQUIRE(Model.holdMs("never seen") == Before);
}
