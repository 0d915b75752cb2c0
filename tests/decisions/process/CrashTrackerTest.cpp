#include "decisions/process/CrashTracker.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace havenstair;

namespace {

const RequestDigest Bad("bad");
const RequestDigest Beside("beside");
const BoxName Box("box");

/// A book and the time that it is told.
struct TrackerTest {
  CrashTracker m_Tracker;
  TimePoint m_Now = TimePoint(100s);
  int m_Servers = 0;

  /// One more server ends with \p Running on it; all words of it come.
  void crash(const std::vector<RequestDigest> &Running) {
    m_Tracker.recordCrash({.m_Id = "i-" + std::to_string(++m_Servers)}, Running,
                          m_Now);
    m_Now += 200ms;
  }

  std::vector<RequestDigest> quarantineSuspects() {
    return m_Tracker.quarantineSuspects(Box, m_Now);
  }
  bool quarantined(const RequestDigest &Request) const {
    return m_Tracker.findQuarantine(Request, m_Now) != nullptr;
  }
};

} // namespace

TEST_CASE("A request is barred once three servers ended under it",
          "[crash][decisions]") {
  TrackerTest Test;
  Test.crash({Bad});
  Test.crash({Bad});
  REQUIRE(Test.quarantineSuspects().empty());
  REQUIRE(Test.m_Tracker.isSuspect(Bad, Test.m_Now));
  Test.crash({Bad});
  REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
  REQUIRE(Test.quarantined(Bad));
  REQUIRE(Test.m_Tracker.findQuarantine(Bad, Test.m_Now)->m_Servers.size() ==
          3);
  REQUIRE(Test.m_Tracker.findQuarantine(Bad, Test.m_Now)->m_By == Box);
}

TEST_CASE("Words of several boxes on one end count once",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int Word = 0; Word < 5; ++Word)
    Test.m_Tracker.recordCrash({.m_Id = "i-1"}, {Bad}, Test.m_Now);
  REQUIRE(Test.m_Tracker.crashCount(Bad, Test.m_Now) == 1);
  SECTION("and a later start of the server is another one") {
    Test.m_Tracker.recordCrash({.m_Id = "i-1", .m_Born = 5}, {Bad}, Test.m_Now);
    REQUIRE(Test.m_Tracker.crashCount(Bad, Test.m_Now) == 2);
  }
}

TEST_CASE("Nothing is judged while words may be on their way",
          "[crash][decisions]") {
  TrackerTest Test;
  Test.crash({Bad, Beside});
  Test.crash({Bad, Beside});
  const UpstreamLife Last{.m_Id = "last"};
  Test.m_Tracker.recordCrash(Last, {Beside}, Test.m_Now);
  REQUIRE(Test.quarantineSuspects().empty());
  const auto DecisionTime = Test.m_Tracker.decisionTime(Beside, Test.m_Now);
  REQUIRE(DecisionTime);
  REQUIRE(Test.m_Tracker.nextDecisionTime(Test.m_Now) == DecisionTime);
  SECTION("so what is told late counts") {
    Test.m_Tracker.recordCrash(Last, {Bad}, *DecisionTime - 1ms);
    Test.m_Now = *DecisionTime + 200ms;
    REQUIRE(Test.quarantineSuspects().empty());
    Test.crash({Bad});
    REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
  }
  SECTION("and then it is") {
    Test.m_Now = *DecisionTime;
    REQUIRE_FALSE(Test.m_Tracker.nextDecisionTime(Test.m_Now));
    REQUIRE(Test.quarantineSuspects() == std::vector{Beside});
  }
}

TEST_CASE("What was there each time too is not barred in its place",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int End = 0; End < 3; ++End)
    Test.crash({Bad, Beside});
  REQUIRE(Test.quarantineSuspects().empty());
  SECTION("one more end without it tells them apart") {
    Test.crash({Bad});
    REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
    REQUIRE_FALSE(Test.quarantined(Beside));
    REQUIRE(Test.m_Tracker.crashCount(Beside, Test.m_Now) == 0);
    SECTION("and what happens beside a barred one no longer counts") {
      Test.crash({Bad, Beside});
      REQUIRE(Test.quarantineSuspects().empty());
    }
  }
  SECTION("so does one that runs well") {
    REQUIRE(Test.m_Tracker.recordCompletion(Beside, Test.m_Now));
    REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
  }
  SECTION("and when nothing does, both are barred at the fifth") {
    Test.crash({Bad, Beside});
    REQUIRE(Test.quarantineSuspects().empty());
    Test.crash({Bad, Beside});
    REQUIRE(Test.quarantineSuspects().size() == 2);
  }
}

TEST_CASE("Each of several bad requests is found", "[crash][decisions]") {
  TrackerTest Test;
  const RequestDigest Other("other");
  for (int End = 0; End < 3; ++End) {
    Test.crash({Bad, Beside});
    Test.crash({Other});
  }
  Test.crash({Bad});
  REQUIRE(Test.quarantineSuspects().size() == 2);
  REQUIRE(Test.quarantined(Bad));
  REQUIRE(Test.quarantined(Other));
}

TEST_CASE("A request that ran well is to blame for no end",
          "[crash][decisions]") {
  TrackerTest Test;
  SECTION("shortly before") {
    Test.m_Tracker.recordCompletion(Bad, Test.m_Now);
    const auto RecordResult =
        Test.m_Tracker.recordCrash({.m_Id = "i"}, {Bad}, Test.m_Now);
    REQUIRE(RecordResult.m_Completed == std::vector{Bad});
    REQUIRE_FALSE(RecordResult.m_New);
    for (int End = 0; End < 5; ++End)
      Test.crash({Bad});
  }
  SECTION("between the ends") {
    Test.crash({Bad});
    Test.crash({Bad});
    REQUIRE(Test.m_Tracker.recordCompletion(Bad, Test.m_Now));
    Test.crash({Bad});
  }
  REQUIRE(Test.quarantineSuspects().empty());
}

TEST_CASE("A bar ends when the request runs well after all",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int End = 0; End < 3; ++End)
    Test.crash({Bad});
  Test.quarantineSuspects();
  REQUIRE(Test.m_Tracker.recordCompletion(Bad, Test.m_Now));
  REQUIRE_FALSE(Test.quarantined(Bad));
  REQUIRE(Test.quarantineSuspects().empty());
}

TEST_CASE("A bar that was lifted is not taken over from who has not heard",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int End = 0; End < 3; ++End)
    Test.crash({Bad});
  Test.quarantineSuspects();
  const RequestQuarantine Lifted =
      *Test.m_Tracker.findQuarantine(Bad, Test.m_Now);
  Test.m_Tracker.recordCompletion(Bad, Test.m_Now);
  Test.m_Now += 60s;
  REQUIRE(Test.m_Tracker.wasLifted(Bad));
  REQUIRE_FALSE(Test.m_Tracker.adopt(Bad, Lifted, Test.m_Now));
  SECTION("but what it does afterwards counts") {
    for (int End = 0; End < 3; ++End)
      Test.crash({Bad});
    REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
    REQUIRE_FALSE(Test.m_Tracker.wasLifted(Bad));
  }
}

TEST_CASE("A bar ends by itself, and one more end renews it",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int End = 0; End < 3; ++End)
    Test.crash({Bad});
  Test.quarantineSuspects();
  Test.m_Now += CrashTracker::Options{}.m_QuarantineDuration;
  Test.m_Tracker.prune(Test.m_Now);
  REQUIRE_FALSE(Test.quarantined(Bad));
  SECTION("word of it from a box that learned later does not renew it") {
    RequestQuarantine Late{.m_Until = Test.m_Now + 60s};
    REQUIRE_FALSE(Test.m_Tracker.adopt(Bad, Late, Test.m_Now));
  }
  Test.crash({Bad, Beside});
  REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
}

TEST_CASE("Words of another box's bar are taken over once",
          "[crash][decisions]") {
  TrackerTest Test;
  const RequestQuarantine Told{.m_Servers = {"i-1"},
                               .m_By = BoxName("other"),
                               .m_Since = Test.m_Now - 60s,
                               .m_Until = TimePoint::max()};
  REQUIRE(Test.m_Tracker.adopt(Bad, Told, Test.m_Now));
  REQUIRE_FALSE(Test.m_Tracker.adopt(Bad, Told, Test.m_Now));
  REQUIRE(Test.m_Tracker.findQuarantine(Bad, Test.m_Now)->m_By ==
          BoxName("other"));
  REQUIRE(Test.m_Tracker.findQuarantine(Bad, Test.m_Now)->m_Until <=
          Test.m_Now + CrashTracker::Options{}.m_QuarantineDuration);
}

TEST_CASE("What operators let through is not barred", "[crash][decisions]") {
  TrackerTest Test;
  for (int End = 0; End < 3; ++End)
    Test.crash({Bad});
  Test.quarantineSuspects();
  Test.m_Tracker.setReleased({Bad});
  REQUIRE_FALSE(Test.quarantined(Bad));
  for (int End = 0; End < 5; ++End)
    Test.crash({Bad});
  REQUIRE(Test.quarantineSuspects().empty());
  Test.m_Tracker.setReleased({});
  REQUIRE_FALSE(Test.quarantineSuspects().empty());
}

TEST_CASE("A word of suspicion finds who knows better", "[crash][decisions]") {
  TrackerTest Test;
  Test.m_Tracker.recordCompletion(Beside, Test.m_Now);
  REQUIRE(Test.m_Tracker.addSuspect(Beside, Test.m_Now));
  REQUIRE_FALSE(Test.m_Tracker.isSuspect(Beside, Test.m_Now));
  REQUIRE_FALSE(Test.m_Tracker.addSuspect(Bad, Test.m_Now));
  REQUIRE(Test.m_Tracker.isSuspect(Bad, Test.m_Now));
  REQUIRE(Test.m_Tracker.recordCompletion(Bad, Test.m_Now));
}

TEST_CASE("Thousands of bad requests are barred within bounds",
          "[crash][decisions]") {
  TrackerTest Test;
  const CrashTracker::Options Bounds;
  for (std::size_t Number = 0; Number < 2 * Bounds.m_MaxQuarantines; ++Number) {
    const RequestDigest Each("d" + std::to_string(Number));
    for (int End = 0; End < 3; ++End)
      Test.crash({Each});
    REQUIRE(Test.quarantineSuspects() == std::vector{Each});
  }
  REQUIRE(Test.m_Tracker.quarantines().size() <= Bounds.m_MaxQuarantines);
}

namespace {

/// Requests quarantined among \p Contents that are all fine, as a tenth of 100
/// servers are lost, twice. Each content is sent up to \p MostRuns times at
/// once, and once more when all of them are lost.
std::size_t quarantinedAmongCorrelatedCrashes(std::mt19937_64 &Random,
                                              int Contents, int MostRuns) {
  TrackerTest Test;
  const auto Draw = [&](int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(Random);
  };
  for (int Correlated = 0; Correlated < 2; ++Correlated) {
    std::map<int, std::vector<RequestDigest>> Lost;
    std::set<RequestDigest> RanWell;
    for (int Content = 0; Content < Contents; ++Content) {
      const RequestDigest Each(std::to_string(Content));
      for (int Runs = 1 + Draw(MostRuns); Runs > 0; --Runs)
        if (const int Server = Draw(100); Server < 10)
          Lost[Server].push_back(Each);
        else
          RanWell.insert(Each);
    }
    for (const auto &[Server, Running] : Lost)
      Test.m_Tracker.recordCrash(
          {.m_Id = std::to_string(100 * Correlated + Server)}, Running,
          Test.m_Now += 20ms);
    for (const RequestDigest &Each : RanWell)
      Test.m_Tracker.recordCompletion(Each, Test.m_Now);
    Test.m_Now += 5s;
    Test.quarantineSuspects();
  }
  return Test.m_Tracker.quarantines().size();
}

} // namespace

TEST_CASE("Servers that end in a herd bar less than one fine request in 1,000",
          "[crash][decisions]") {
  std::mt19937_64 Random(20261203);
  const int MostRuns = GENERATE(1, 2, 4, 20);
  std::size_t Quarantined = 0;
  constexpr int Draws = 100;
  constexpr int Contents = 400;
  for (int Number = 0; Number < Draws; ++Number)
    Quarantined +=
        quarantinedAmongCorrelatedCrashes(Random, Contents, MostRuns);
  CAPTURE(MostRuns, Quarantined);
  REQUIRE(Quarantined * 1000 < std::size_t{Draws} * Contents);
}

TEST_CASE("A request that ends servers within a second is not taken for one "
          "that was in a herd",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int End = 0; End < 3; ++End)
    Test.m_Tracker.recordCrash({.m_Id = std::to_string(End)}, {Bad},
                               Test.m_Now += 50ms);
  Test.m_Now += 200ms;
  REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
}

TEST_CASE("A request is barred after five ends whatever else was there",
          "[crash][decisions]") {
  TrackerTest Test;
  const RequestDigest Other("other");
  for (int End = 0; End < 5; ++End) {
    REQUIRE(Test.quarantineSuspects().empty());
    Test.m_Tracker.recordCrash({.m_Id = std::to_string(End)},
                               {Bad, Beside, Other}, Test.m_Now);
    for (int Correlated = 0; Correlated < 3; ++Correlated)
      Test.m_Tracker.recordCrash(
          {.m_Id = std::to_string(10 * End + Correlated + 10)}, {Other},
          Test.m_Now);
    Test.m_Now += 100ms;
    Test.m_Tracker.recordCompletion(Other, Test.m_Now - 20s);
  }
  REQUIRE_FALSE(Test.quarantineSuspects().empty());
  REQUIRE(Test.quarantined(Bad));
}

TEST_CASE("Bad requests that hide in a herd are found when they come again",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int End = 0; End < 12; ++End)
    Test.m_Tracker.recordCrash(
        {.m_Id = std::to_string(End)},
        {End % 4 == 0 ? Bad : Beside, RequestDigest(std::to_string(End))},
        Test.m_Now);
  Test.m_Tracker.recordCompletion(Beside, Test.m_Now);
  Test.m_Now += 2s;
  REQUIRE(Test.quarantineSuspects().empty());
  Test.crash({Bad});
  Test.m_Now += 2s;
  Test.crash({Bad});
  REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
}
