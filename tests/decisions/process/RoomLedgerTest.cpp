#include "decisions/process/RoomFleet.h"
#include "support/Draw.h"

#include <iostream>

using namespace havenstair;

namespace {

constexpr TimePoint Start(1000s);

/// Sends requests to \p Ledger until it has no room.
int fill(RoomLedger &Ledger, TimePoint Now) {
  int Sent = 0;
  for (; Ledger.hasRoom(Now); ++Sent)
    Ledger.recordSend(Now);
  return Sent;
}

} // namespace

TEST_CASE("No more requests than slots are sent, and one for each that ends",
          "[room]") {
  RoomLedger Ledger({.m_Slots = 6, .m_RefusalsPerSecond = 4}, 2);
  REQUIRE(fill(Ledger, Start) == 4);
  Ledger.recordEnd(false, Start + 1s);
  REQUIRE(fill(Ledger, Start + 1s) == 1);
  REQUIRE(Ledger.inFlight() == 6);
}

TEST_CASE("A refusal lowers the limit to what is accepted, until it is tried "
          "again step by step",
          "[room]") {
  RoomLedger Ledger({.m_Slots = 6, .m_RefusalsPerSecond = 8}, 0);
  REQUIRE(fill(Ledger, Start) == 6);
  Ledger.recordEnd(true, Start + 1s);
  Ledger.recordEnd(true, Start + 1s);
  REQUIRE(Ledger.limit() == 4);
  REQUIRE_FALSE(Ledger.hasRoom(Start + 1s));
  REQUIRE(fill(Ledger, Start + 1s + RoomLedger::Window) == 1);
  REQUIRE(Ledger.limit() == 5);
  REQUIRE(fill(Ledger, Start + 4s) == 1);
  REQUIRE(Ledger.limit() == 6);
}

TEST_CASE("After half of the refusals that an upstream bears, nothing is sent "
          "until they are a second old",
          "[room]") {
  const double Bears = GENERATE(0.0, 1.0, 2.0, 4.0);
  RoomLedger Ledger({.m_Slots = 20, .m_RefusalsPerSecond = Bears}, 0);
  for (int Count = 0; Count < std::max(1.0, Bears / 2); ++Count) {
    REQUIRE(Ledger.hasRoom(Start));
    Ledger.recordSend(Start);
    Ledger.recordEnd(true, Start);
  }
  const TimePoint Free = Start + RoomLedger::Window;
  REQUIRE_FALSE(Ledger.hasRoom(Free - 1ms));
  REQUIRE(Ledger.nextRetryAt(Free - 1ms) > Free);
  REQUIRE(Ledger.hasRoom(Free));
}

TEST_CASE("Those that are refused get retry times at the rate of ends",
          "[room]") {
  RoomLedger Ledger({.m_Slots = 10, .m_RefusalsPerSecond = 2}, 10);
  for (int Count = 0; Count < 5; ++Count)
    Ledger.recordEnd(false, Start);
  REQUIRE(Ledger.nextRetryAt(Start) == Start + 200ms);
  REQUIRE(Ledger.nextRetryAt(Start) == Start + 400ms);
  for (int Count = 0; Count < 1000; ++Count)
    REQUIRE(Ledger.nextRetryAt(Start) <= Start + 30s);
}

TEST_CASE("A difference to reported loads is corrected when it lasts",
          "[room]") {
  RoomLedger Ledger({.m_Slots = 10, .m_RefusalsPerSecond = 2}, 10);
  SECTION("too many are counted") {
    Ledger.reconcile(4);
    Ledger.reconcile(2);
    REQUIRE(Ledger.inFlight() == 10);
    Ledger.reconcile(5);
    REQUIRE(Ledger.inFlight() == 6);
  }
  SECTION("too few are counted") {
    for (const int Running : {15, 14, 18})
      Ledger.reconcile(Running);
    REQUIRE(Ledger.inFlight() == 14);
  }
  SECTION("the difference changes its sign") {
    for (const int Running : {4, 15, 4, 15, 4})
      Ledger.reconcile(Running);
    REQUIRE(Ledger.inFlight() == 10);
  }
}

TEST_CASE("An upstream is not made to reject more than it bears by a fleet of "
          "any size",
          "[room][property][proof]") {
  const auto Boxes =
      GENERATE(std::size_t{8}, std::size_t{88}, std::size_t{300});
  rc::prop("drawn days", [Boxes] {
    RoomFleet::Options Opts;
    Opts.m_Boxes = Boxes;
    Opts.m_Bound = {.m_Slots = *drawn(4, 65),
                    .m_RefusalsPerSecond = double(*drawn(1, 20))};
    Opts.m_Load = *drawn(5, 60) / 10.0;
    Opts.m_LostEnds = *drawn(0, 3) / 100.0;
    RoomFleet Fleet(Opts, static_cast<std::uint64_t>(*drawn(1, 1000000)));
    Fleet.play(20s);
    RC_ASSERT(static_cast<double>(Fleet.maxRefusals()) <=
              Opts.m_Bound.m_RefusalsPerSecond);
  });
}

TEST_CASE("Ways to bound refusals, compared on the same days",
          "[.][room-ways]") {
  for (const bool Shrinks : {false, true})
    for (const auto Strategy : {RoomStrategy::Ledger, RoomStrategy::Loads})
      for (const std::size_t Boxes : {8, 88, 300})
        for (const double Bears : {1.0, 4.0, 16.0})
          for (const int Slots : {6, 64}) {
            std::size_t Worst = 0;
            int Exceeded = 0;
            double Used = 0;
            constexpr int Days = 30;
            for (int Day = 1; Day <= Days; ++Day) {
              RoomFleet::Options Opts;
              Opts.m_Strategy = Strategy;
              Opts.m_Boxes = Boxes;
              Opts.m_Bound = {.m_Slots = Slots, .m_RefusalsPerSecond = Bears};
              Opts.m_LostEnds = 0.01;
              Opts.m_Shrinks = Shrinks;
              RoomFleet Fleet(Opts, static_cast<std::uint64_t>(Day));
              Fleet.play(20s);
              Worst = std::max(Worst, Fleet.maxRefusals());
              Exceeded += static_cast<double>(Fleet.maxRefusals()) > Bears;
              Used += Fleet.used() / Days;
            }
            std::cout << (Shrinks ? "shrinking " : "constant ")
                      << (Strategy == RoomStrategy::Ledger ? "ledger" : "loads")
                      << " boxes " << Boxes << " bears " << Bears << " slots "
                      << Slots << ": worst " << Worst << ", days above "
                      << Exceeded << ", used " << Used << '\n';
          }
}
