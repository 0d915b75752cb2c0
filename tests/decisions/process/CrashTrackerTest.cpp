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

const CrashSuspect Bad = RequestDigest("bad");
const CrashSuspect Beside = RequestDigest("beside");
const BoxName Box("box");

/// \returns requests without parts that have these contents.
std::vector<RequestSuspects>
requests(const std::vector<CrashSuspect> &Contents) {
  std::vector<RequestSuspects> Result;
  for (const CrashSuspect &Each : Contents)
    Result.push_back({.m_Digest = RequestDigest(Each.str())});
  return Result;
}

/// A tracker and the time that is passed to it.
struct TrackerTest {
  CrashTracker m_Tracker;
  TimePoint m_Now = TimePoint(100s);
  int m_Servers = 0;

  /// One more upstream crashes while it runs \p Running; all reports of it
  /// arrive.
  void crash(const std::vector<CrashSuspect> &Running) {
    m_Tracker.recordCrash({.m_Id = "i-" + std::to_string(++m_Servers)},
                          requests(Running), m_Now);
    m_Now += 200ms;
  }

  std::vector<CrashSuspect> quarantineSuspects() {
    return m_Tracker.quarantineSuspects(Box, m_Now);
  }
  bool quarantined(const CrashSuspect &Suspect) const {
    return m_Tracker.findQuarantine(Suspect, m_Now) != nullptr;
  }
};

} // namespace

TEST_CASE("A request is quarantined after it crashed three upstreams",
          "[crash][decisions]") {
  TrackerTest Test;
  Test.crash({Bad});
  Test.crash({Bad});
  REQUIRE(Test.quarantineSuspects().empty());
  REQUIRE(Test.m_Tracker.isSuspect(Bad, Test.m_Now));
  Test.crash({Bad});
  REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
  REQUIRE(Test.quarantined(Bad));
  REQUIRE(Test.m_Tracker.findQuarantine(Bad, Test.m_Now)->m_Upstreams.size() ==
          3);
  REQUIRE(Test.m_Tracker.findQuarantine(Bad, Test.m_Now)->m_By == Box);
}

TEST_CASE("Reports of several boxes about one crash count once",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int Report = 0; Report < 5; ++Report)
    Test.m_Tracker.recordCrash({.m_Id = "i-1"}, requests({Bad}), Test.m_Now);
  REQUIRE(Test.m_Tracker.crashCount(Bad, Test.m_Now) == 1);
  SECTION("and a crash of a later incarnation is another one") {
    Test.m_Tracker.recordCrash({.m_Id = "i-1", .m_StartTime = 5},
                               requests({Bad}), Test.m_Now);
    REQUIRE(Test.m_Tracker.crashCount(Bad, Test.m_Now) == 2);
  }
}

TEST_CASE("No request is quarantined while reports may still arrive",
          "[crash][decisions]") {
  TrackerTest Test;
  Test.crash({Bad, Beside});
  Test.crash({Bad, Beside});
  const UpstreamIncarnation Last{.m_Id = "last"};
  Test.m_Tracker.recordCrash(Last, requests({Beside}), Test.m_Now);
  REQUIRE(Test.quarantineSuspects().empty());
  const auto DecisionTime = Test.m_Tracker.decisionTime(Beside, Test.m_Now);
  REQUIRE(DecisionTime);
  REQUIRE(Test.m_Tracker.nextDecisionTime(Test.m_Now) == DecisionTime);
  SECTION("so a late report counts") {
    Test.m_Tracker.recordCrash(Last, requests({Bad}), *DecisionTime - 1ms);
    Test.m_Now = *DecisionTime + 200ms;
    REQUIRE(Test.quarantineSuspects().empty());
    Test.crash({Bad});
    REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
  }
  SECTION("and afterwards it is") {
    Test.m_Now = *DecisionTime;
    REQUIRE_FALSE(Test.m_Tracker.nextDecisionTime(Test.m_Now));
    REQUIRE(Test.quarantineSuspects() == std::vector{Beside});
  }
}

TEST_CASE("A request that ran beside the crashing one each time is not "
          "quarantined instead",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int Crash = 0; Crash < 3; ++Crash)
    Test.crash({Bad, Beside});
  REQUIRE(Test.quarantineSuspects().empty());
  SECTION("one more crash without it tells them apart") {
    Test.crash({Bad});
    REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
    REQUIRE_FALSE(Test.quarantined(Beside));
    REQUIRE(Test.m_Tracker.crashCount(Beside, Test.m_Now) == 0);
    SECTION("and crashes beside a quarantined request no longer count") {
      Test.crash({Bad, Beside});
      REQUIRE(Test.quarantineSuspects().empty());
    }
  }
  SECTION("so does one that runs to completion") {
    REQUIRE(Test.m_Tracker.recordCompletion(Beside, Test.m_Now));
    REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
  }
  SECTION("and when nothing does, both are quarantined at the fifth crash") {
    Test.crash({Bad, Beside});
    REQUIRE(Test.quarantineSuspects().empty());
    Test.crash({Bad, Beside});
    REQUIRE(Test.quarantineSuspects().size() == 2);
  }
}

TEST_CASE("Each of several crashing requests is found", "[crash][decisions]") {
  TrackerTest Test;
  const CrashSuspect Other = RequestDigest("other");
  for (int Crash = 0; Crash < 3; ++Crash) {
    Test.crash({Bad, Beside});
    Test.crash({Other});
  }
  Test.crash({Bad});
  REQUIRE(Test.quarantineSuspects().size() == 2);
  REQUIRE(Test.quarantined(Bad));
  REQUIRE(Test.quarantined(Other));
}

TEST_CASE("A request that ran to completion is blamed for no crash",
          "[crash][decisions]") {
  TrackerTest Test;
  SECTION("shortly before the crashes") {
    Test.m_Tracker.recordCompletion(Bad, Test.m_Now);
    const auto Result =
        Test.m_Tracker.recordCrash({.m_Id = "i"}, requests({Bad}), Test.m_Now);
    REQUIRE(Result.m_Completed == std::set{Bad});
    REQUIRE_FALSE(Result.m_New);
    for (int Crash = 0; Crash < 5; ++Crash)
      Test.crash({Bad});
  }
  SECTION("between the crashes") {
    Test.crash({Bad});
    Test.crash({Bad});
    REQUIRE(Test.m_Tracker.recordCompletion(Bad, Test.m_Now));
    Test.crash({Bad});
  }
  REQUIRE(Test.quarantineSuspects().empty());
}

TEST_CASE(
    "A quarantine is lifted when the request runs to completion after all",
    "[crash][decisions]") {
  TrackerTest Test;
  for (int Crash = 0; Crash < 3; ++Crash)
    Test.crash({Bad});
  Test.quarantineSuspects();
  REQUIRE(Test.m_Tracker.recordCompletion(Bad, Test.m_Now));
  REQUIRE_FALSE(Test.quarantined(Bad));
  REQUIRE(Test.quarantineSuspects().empty());
}

TEST_CASE("A lifted quarantine is not taken over again from a box that missed "
          "the lifting",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int Crash = 0; Crash < 3; ++Crash)
    Test.crash({Bad});
  Test.quarantineSuspects();
  const Quarantine Lifted = *Test.m_Tracker.findQuarantine(Bad, Test.m_Now);
  Test.m_Tracker.recordCompletion(Bad, Test.m_Now);
  Test.m_Now += 60s;
  REQUIRE(Test.m_Tracker.wasLifted(Bad));
  REQUIRE_FALSE(Test.m_Tracker.adopt(Bad, Lifted, Test.m_Now));
  SECTION("but later crashes count") {
    for (int Crash = 0; Crash < 3; ++Crash)
      Test.crash({Bad});
    REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
    REQUIRE_FALSE(Test.m_Tracker.wasLifted(Bad));
  }
}

TEST_CASE("A quarantine expires, and one more crash renews it",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int Crash = 0; Crash < 3; ++Crash)
    Test.crash({Bad});
  Test.quarantineSuspects();
  Test.m_Now += CrashTracker::Options{}.m_QuarantineDuration;
  Test.m_Tracker.prune(Test.m_Now);
  REQUIRE_FALSE(Test.quarantined(Bad));
  SECTION(
      "a report of it from a box that learned of it later does not renew it") {
    Quarantine Late{.m_Until = Test.m_Now + 60s};
    REQUIRE_FALSE(Test.m_Tracker.adopt(Bad, Late, Test.m_Now));
  }
  Test.crash({Bad, Beside});
  REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
}

TEST_CASE("A quarantine that another box reports is taken over once",
          "[crash][decisions]") {
  TrackerTest Test;
  const Quarantine Reported{.m_Upstreams = {"i-1"},
                            .m_By = BoxName("other"),
                            .m_Since = Test.m_Now - 60s,
                            .m_Until = TimePoint::max()};
  REQUIRE(Test.m_Tracker.adopt(Bad, Reported, Test.m_Now));
  REQUIRE_FALSE(Test.m_Tracker.adopt(Bad, Reported, Test.m_Now));
  REQUIRE(Test.m_Tracker.findQuarantine(Bad, Test.m_Now)->m_By ==
          BoxName("other"));
  REQUIRE(Test.m_Tracker.findQuarantine(Bad, Test.m_Now)->m_Until <=
          Test.m_Now + CrashTracker::Options{}.m_QuarantineDuration);
}

TEST_CASE("A request that operators release is not quarantined",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int Crash = 0; Crash < 3; ++Crash)
    Test.crash({Bad});
  Test.quarantineSuspects();
  Test.m_Tracker.setReleased({Bad});
  REQUIRE_FALSE(Test.quarantined(Bad));
  for (int Crash = 0; Crash < 5; ++Crash)
    Test.crash({Bad});
  REQUIRE(Test.quarantineSuspects().empty());
  Test.m_Tracker.setReleased({});
  REQUIRE_FALSE(Test.quarantineSuspects().empty());
}

TEST_CASE("A box that saw a suspect run to completion says so",
          "[crash][decisions]") {
  TrackerTest Test;
  Test.m_Tracker.recordCompletion(Beside, Test.m_Now);
  REQUIRE(Test.m_Tracker.addSuspect(Beside, Test.m_Now));
  REQUIRE_FALSE(Test.m_Tracker.isSuspect(Beside, Test.m_Now));
  REQUIRE_FALSE(Test.m_Tracker.addSuspect(Bad, Test.m_Now));
  REQUIRE(Test.m_Tracker.isSuspect(Bad, Test.m_Now));
  REQUIRE(Test.m_Tracker.recordCompletion(Bad, Test.m_Now));
}

TEST_CASE("Quarantining thousands of requests keeps the memory bounds",
          "[crash][decisions]") {
  TrackerTest Test;
  const CrashTracker::Options Bounds;
  for (std::size_t Number = 0; Number < 2 * Bounds.m_MaxQuarantines; ++Number) {
    const CrashSuspect Each = RequestDigest("d" + std::to_string(Number));
    for (int Crash = 0; Crash < 3; ++Crash)
      Test.crash({Each});
    REQUIRE(Test.quarantineSuspects() == std::vector{Each});
  }
  REQUIRE(Test.m_Tracker.quarantines().size() <= Bounds.m_MaxQuarantines);
}

namespace {

/// \returns how many of \p Contents harmless requests are quarantined when a
/// tenth of 100 upstreams crash at once, twice. Each request is sent up to \p
/// MostRuns times at once, and once more when all of these are lost.
std::size_t quarantinedAmongCorrelatedCrashes(std::mt19937_64 &Random,
                                              int Contents, int MostRuns) {
  TrackerTest Test;
  const auto Draw = [&](int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(Random);
  };
  for (int Correlated = 0; Correlated < 2; ++Correlated) {
    std::map<int, std::vector<CrashSuspect>> Lost;
    std::set<CrashSuspect> RanWell;
    for (int Content = 0; Content < Contents; ++Content) {
      const CrashSuspect Each = RequestDigest(std::to_string(Content));
      for (int Runs = 1 + Draw(MostRuns); Runs > 0; --Runs)
        if (const int Server = Draw(100); Server < 10)
          Lost[Server].push_back(Each);
        else
          RanWell.insert(Each);
    }
    for (const auto &[Server, Running] : Lost)
      Test.m_Tracker.recordCrash(
          {.m_Id = std::to_string(100 * Correlated + Server)},
          requests(Running), Test.m_Now += 20ms);
    for (const CrashSuspect &Each : RanWell)
      Test.m_Tracker.recordCompletion(Each, Test.m_Now);
    Test.m_Now += 5s;
    Test.quarantineSuspects();
  }
  return Test.m_Tracker.quarantines().size();
}

} // namespace

TEST_CASE(
    "Correlated crashes quarantine fewer than one harmless request in 1,000",
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

// A server that had ended, and was still listed, was sent to each time: the
// quarantine was neither lifted nor made certain.
TEST_CASE("A run of a quarantined request that reaches no upstream is made "
          "again at once",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int Crash = 0; Crash < 3; ++Crash)
    Test.m_Tracker.recordCrash({.m_Id = std::to_string(Crash)}, requests({Bad}),
                               Test.m_Now);
  Test.m_Now += 200ms;
  REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
  const RequestSuspects Request = requests({Bad}).front();
  const auto MayProbe = [&] {
    return Test.m_Tracker.mayProbe(Request, Box, 1, Test.m_Now);
  };
  REQUIRE_FALSE(MayProbe());
  Test.m_Now += 1500ms;
  REQUIRE(MayProbe());
  const TimePoint First = Test.m_Now;
  Test.m_Tracker.recordProbe(Request, First);
  REQUIRE_FALSE(MayProbe());
  Test.m_Now += 300ms;
  Test.m_Tracker.withdrawProbe(Request, First);
  REQUIRE(MayProbe());
  SECTION("but not when a later one is on its way") {
    Test.m_Tracker.recordProbe(Request, Test.m_Now);
    Test.m_Tracker.withdrawProbe(Request, First);
    REQUIRE_FALSE(MayProbe());
  }
  SECTION("and counts no more than those that were not made") {
    Test.m_Tracker.recordProbe(Request, Test.m_Now);
    Test.m_Now += 6s;
    REQUIRE(MayProbe());
  }
}

TEST_CASE("A request that crashes upstreams within a second is not excused as "
          "correlated",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int Crash = 0; Crash < 3; ++Crash)
    Test.m_Tracker.recordCrash({.m_Id = std::to_string(Crash)}, requests({Bad}),
                               Test.m_Now += 50ms);
  Test.m_Now += 200ms;
  REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
}

TEST_CASE(
    "A request is quarantined after five crashes whatever else was running",
    "[crash][decisions]") {
  TrackerTest Test;
  const CrashSuspect Other = RequestDigest("other");
  for (int Crash = 0; Crash < 5; ++Crash) {
    REQUIRE(Test.quarantineSuspects().empty());
    Test.m_Tracker.recordCrash({.m_Id = std::to_string(Crash)},
                               requests({Bad, Beside, Other}), Test.m_Now);
    for (int Correlated = 0; Correlated < 3; ++Correlated)
      Test.m_Tracker.recordCrash(
          {.m_Id = std::to_string(10 * Crash + Correlated + 10)},
          requests({Other}), Test.m_Now);
    Test.m_Now += 100ms;
    Test.m_Tracker.recordCompletion(Other, Test.m_Now - 20s);
  }
  REQUIRE_FALSE(Test.quarantineSuspects().empty());
  REQUIRE(Test.quarantined(Bad));
}

TEST_CASE("Crashing requests hidden among correlated crashes are found when "
          "they come again",
          "[crash][decisions]") {
  TrackerTest Test;
  for (int Crash = 0; Crash < 12; ++Crash)
    Test.m_Tracker.recordCrash({.m_Id = std::to_string(Crash)},
                               requests({Crash % 4 == 0 ? Bad : Beside,
                                         RequestDigest(std::to_string(Crash))}),
                               Test.m_Now);
  Test.m_Tracker.recordCompletion(Beside, Test.m_Now);
  Test.m_Now += 2s;
  REQUIRE(Test.quarantineSuspects().empty());
  Test.crash({Bad});
  Test.m_Now += 2s;
  Test.crash({Bad});
  REQUIRE(Test.quarantineSuspects() == std::vector{Bad});
}

namespace {

const CrashSuspect First = CrashSuspect::ofPromptPart("first");
const CrashSuspect Second = CrashSuspect::ofPromptPart("second");
const CrashSuspect BadPart = CrashSuspect::ofPromptPart("bad");

/// Requests of different contents whose prompts share parts.
struct PartsTest : TrackerTest {
  RequestSuspects request(const std::vector<CrashSuspect> &Parts) {
    return {.m_Digest = RequestDigest("r" + std::to_string(++m_Requests)),
            .m_Parts = Parts};
  }

  /// One more upstream crashes while it runs \p Running, 400 ms after the last.
  void crashUnder(const std::vector<RequestSuspects> &Running) {
    m_Tracker.recordCrash({.m_Id = "i-" + std::to_string(++m_Servers)}, Running,
                          m_Now);
    m_Now += 400ms;
  }

  bool refused(const std::vector<CrashSuspect> &Parts) {
    return m_Tracker.quarantinedIn(request(Parts), m_Now).has_value();
  }

  int m_Requests = 0;
};

} // namespace

TEST_CASE("A part is quarantined after it crashed upstreams in requests that "
          "have nothing else in common",
          "[crash][decisions]") {
  PartsTest Test;
  for (int Crash = 0; Crash < 4; ++Crash) {
    REQUIRE_FALSE(Test.refused({BadPart}));
    Test.crashUnder({Test.request({BadPart})});
    Test.quarantineSuspects();
  }
  REQUIRE(Test.refused({BadPart}));
  REQUIRE(Test.refused({First, BadPart, Second}));
  REQUIRE_FALSE(Test.refused({First, Second}));
}

TEST_CASE("A part that stood beside the crashing one each time is not refused "
          "without it",
          "[crash][decisions]") {
  PartsTest Test;
  for (int Crash = 0; Crash < 6; ++Crash) {
    Test.crashUnder({Test.request({First, Second, BadPart})});
    Test.quarantineSuspects();
  }
  REQUIRE(Test.refused({First, Second, BadPart}));
  REQUIRE_FALSE(Test.refused({First, Second}));
  REQUIRE_FALSE(Test.refused({First, BadPart}));
  SECTION("one more crash without it tells them apart") {
    Test.crashUnder({Test.request({First, BadPart})});
    REQUIRE_FALSE(Test.quarantineSuspects().empty());
    REQUIRE(Test.refused({First, BadPart}));
    REQUIRE_FALSE(Test.refused({BadPart}));
    Test.crashUnder({Test.request({BadPart})});
    Test.quarantineSuspects();
    REQUIRE(Test.refused({BadPart}));
    REQUIRE_FALSE(Test.refused({First, Second}));
  }
  SECTION("so does a run of the others without harm") {
    Test.m_Tracker.recordCompletion(First, Test.m_Now);
    Test.m_Tracker.recordCompletion(Second, Test.m_Now);
    REQUIRE(Test.refused({BadPart}));
    REQUIRE_FALSE(Test.refused({First, Second}));
  }
}

TEST_CASE("A part that many requests share is cleared by those that run well",
          "[crash][decisions]") {
  PartsTest Test;
  for (int Crash = 0; Crash < 20; ++Crash) {
    Test.m_Tracker.recordCompletion(First, Test.m_Now);
    Test.crashUnder(
        {Test.request({First, BadPart}), Test.request({First, Second})});
    Test.m_Tracker.recordCompletion(Second, Test.m_Now);
    Test.quarantineSuspects();
  }
  REQUIRE(Test.refused({First, BadPart}));
  REQUIRE_FALSE(Test.refused({First, Second}));
}

TEST_CASE("No part is quarantined for upstreams that crash at once",
          "[crash][decisions]") {
  PartsTest Test;
  for (int Crash = 0; Crash < 10; ++Crash)
    Test.m_Tracker.recordCrash({.m_Id = std::to_string(Crash)},
                               {Test.request({First}), Test.request({Second})},
                               Test.m_Now += 20ms);
  Test.m_Now += 500ms;
  REQUIRE(Test.quarantineSuspects().empty());
}

TEST_CASE("The retries of one request quarantine it and none of its parts",
          "[crash][decisions]") {
  PartsTest Test;
  const RequestSuspects Same = Test.request({First});
  for (int Crash = 0; Crash < 4; ++Crash)
    Test.crashUnder({Same});
  REQUIRE(Test.quarantineSuspects() ==
          std::vector<CrashSuspect>{Same.m_Digest});
  REQUIRE(Test.m_Tracker.quarantinedIn(Same, Test.m_Now));
  REQUIRE_FALSE(Test.refused({First}));
  SECTION("and the part as soon as another request crashes under it") {
    Test.crashUnder({Test.request({First})});
    Test.quarantineSuspects();
    REQUIRE(Test.refused({First}));
  }
}

TEST_CASE("Each of several parts that crash upstreams is found",
          "[crash][decisions]") {
  PartsTest Test;
  const CrashSuspect Other = CrashSuspect::ofPromptPart("other");
  for (int Crash = 0; Crash < 5; ++Crash) {
    Test.crashUnder({Test.request({BadPart})});
    Test.crashUnder({Test.request({Other}), Test.request({BadPart})});
    Test.crashUnder({Test.request({Other})});
    Test.quarantineSuspects();
  }
  REQUIRE(Test.refused({BadPart}));
  REQUIRE(Test.refused({Other}));
}

// Two bad parts under one first part, and no sound request ran in between: the
// first part was refused to all.
TEST_CASE("What two parts that crash upstreams have beside them is not refused",
          "[crash][decisions]") {
  PartsTest Test;
  const CrashSuspect Other = CrashSuspect::ofPromptPart("other");
  for (int Crash = 0; Crash < 8; ++Crash) {
    const CrashSuspect &Bad = Crash % 2 == 0 ? BadPart : Other;
    Test.crashUnder({Test.request({First, Bad}), Test.request({First})});
    Test.quarantineSuspects();
    REQUIRE_FALSE(Test.refused({First}));
  }
  REQUIRE(Test.refused({First, BadPart}));
  REQUIRE(Test.refused({First, Other}));
}

// In a small service the crashed upstreams ran little but requests with one of
// two bad parts, which together were more than those with the first part.
TEST_CASE("What two parts that crash upstreams have beside them is not refused "
          "although few sound requests ran",
          "[crash][decisions]") {
  PartsTest Test;
  const CrashSuspect Other = CrashSuspect::ofPromptPart("other");
  for (int Upstream = 0; Upstream < 3; ++Upstream) {
    std::vector<RequestSuspects> Running{Test.request({First})};
    for (const CrashSuspect &Bad : {BadPart, Other})
      for (const CrashSuspect &Under : {First, First, First, Second})
        Running.push_back(Test.request({Under, Bad}));
    Test.crashUnder(Running);
    Test.m_Now -= 300ms;
  }
  const std::vector<std::vector<CrashSuspect>> Later{{First, Other},
                                                     {First, Other},
                                                     {Second, BadPart},
                                                     {First, BadPart},
                                                     {Second, BadPart}};
  for (const std::vector<CrashSuspect> &Parts : Later) {
    Test.m_Now += 1s;
    if (Test.refused(Parts))
      continue;
    Test.crashUnder({Test.request(Parts)});
    Test.quarantineSuspects();
    REQUIRE_FALSE(Test.refused({First}));
    REQUIRE_FALSE(Test.refused({Second}));
  }
  REQUIRE(Test.refused({First, BadPart}));
  REQUIRE(Test.refused({Second, BadPart}));
  REQUIRE(Test.refused({First, Other}));
}

TEST_CASE("A first part that crashes upstreams is found under many others",
          "[crash][decisions]") {
  PartsTest Test;
  int Crashes = 0;
  for (; !Test.refused({BadPart}); ++Crashes) {
    const CrashSuspect Under =
        CrashSuspect::ofPromptPart(std::to_string(Crashes % 20));
    Test.crashUnder({Test.request({BadPart, Under}),
                     Test.request({BadPart, Second}), Test.request({Under})});
    Test.m_Tracker.recordCompletion(Second, Test.m_Now);
    Test.quarantineSuspects();
    REQUIRE(Crashes < 6);
  }
}

TEST_CASE("A part that begins to crash upstreams is found although it ran well "
          "before",
          "[crash][decisions]") {
  PartsTest Test;
  Test.m_Tracker.recordCompletion(BadPart, Test.m_Now);
  int Crashes = 0;
  while (!Test.refused({BadPart})) {
    Test.crashUnder({Test.request({BadPart})});
    Test.quarantineSuspects();
    REQUIRE(++Crashes < 14);
  }
}

TEST_CASE("What may be the cause in place of a quarantined part is taken over "
          "from other boxes, and never grows",
          "[crash][decisions]") {
  PartsTest Test;
  const Quarantine Wide{.m_Until = Test.m_Now + 60s};
  Quarantine Narrow = Wide;
  Narrow.m_Beside = {First};
  REQUIRE(Test.m_Tracker.adopt(BadPart, Narrow, Test.m_Now));
  REQUIRE_FALSE(Test.refused({BadPart}));
  REQUIRE(Test.m_Tracker.adopt(BadPart, Wide, Test.m_Now));
  REQUIRE(Test.refused({BadPart}));
  REQUIRE_FALSE(Test.m_Tracker.adopt(BadPart, Narrow, Test.m_Now));
  REQUIRE(Test.refused({BadPart}));
}
