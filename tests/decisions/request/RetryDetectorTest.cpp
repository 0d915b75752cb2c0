#include "decisions/request/RetryDetector.h"
#include "support/Draw.h"
#include "support/Names.h"
#include <random>

using namespace havenstair;

namespace {

constexpr Duration Longest = 5s;
constexpr int Tries = 3000;

/// How callers of a route begin.
struct Callers {
  double m_Spread = 0;     ///< First deadlines are shorter by up to this part.
  double m_OtherPart = 0;  ///< Callers of a second kind.
  double m_OtherTimes = 1; ///< Their deadline, as a part of the first kind's.
  double m_Refused = 0;    ///< Part of the tries that is turned away.
  int m_Seed = 0;
};

/// Draws what one box sees of the callers of a route.
class Arrivals {
public:
  explicit Arrivals(Callers Of) : m_Of(Of), m_Random(Of.m_Seed) {}

  double chance() { return m_Chance(m_Random); }
  TimePoint next() {
    m_Now += fromMillis(800 * chance());
    return m_Now;
  }
  Duration firstDeadline() {
    const double Kind = chance() < m_Of.m_OtherPart ? m_Of.m_OtherTimes : 1;
    return fromMillis(inMillis(Longest) * Kind *
                      (1 - m_Of.m_Spread * chance()));
  }
  bool refused() { return chance() < m_Of.m_Refused; }

private:
  Callers m_Of;
  std::mt19937 m_Random;
  std::uniform_real_distribution<double> m_Chance{0, 1};
  TimePoint m_Now = at(1s);
};

/// First tries that are taken for second ones, when nobody comes back.
int misjudged(const Callers &Of) {
  Arrivals From(Of);
  RetryDetector Clock;
  int Wrong = 0;
  for (int Try = 0; Try < Tries; ++Try) {
    const TimePoint Now = From.next();
    const Duration Left = From.firstDeadline();
    if (Clock.timeSinceFirstAttempt("r", Left, Now) > 0us)
      ++Wrong;
    if (From.refused())
      Clock.recordRefusal("r", Now);
  }
  return Wrong;
}

struct Found {
  int m_Seconds = 0;
  int m_Found = 0;
  int m_TooLong = 0; ///< Believed to have waited longer than they have.
  int m_Wrong = 0;   ///< First tries taken for second ones.
};

/// Callers that boxes turn away come back, to any of the boxes.
void find(const Callers &Of, Found &Result) {
  /// Tries before the trouble begins.
  constexpr int Calm = 600;
  Arrivals From(Of);
  RetryDetector Clock;
  for (int Try = 0; Try < Tries; ++Try) {
    const TimePoint Now = From.next();
    const Duration First = From.firstDeadline();
    const bool Second = Try > Calm && From.refused();
    const Duration Away =
        fromMillis((0.1 + 0.23 * From.chance()) * inMillis(First));
    const Duration Left = Second ? First - Away : First;
    const Duration Since = Clock.timeSinceFirstAttempt("r", Left, Now);
    if (Try > Calm && From.refused())
      Clock.recordRefusal("r", Now);
    if (!Second && Since > 0us)
      ++Result.m_Wrong;
    if (!Second || inMillis(Left) > inMillis(Longest) * (0.85 - Of.m_Spread))
      continue;
    ++Result.m_Seconds;
    Result.m_Found += Since > 0us ? 1 : 0;
    Result.m_TooLong += Since > Away ? 1 : 0;
  }
}

void learn(RetryDetector &Clock, Duration Deadline) {
  for (int Try = 0; Try < 500; ++Try)
    Clock.timeSinceFirstAttempt("r", Deadline, at(Try * 50ms));
}

} // namespace

TEST_CASE("Of first tries, under one in a hundred is taken for a second one",
          "[admission][first-tries][property]") {
  rc::prop("one kind or two, equal or spread", [] {
    const Callers Of{.m_Spread = 0.01 * *drawn(0, 31),
                     .m_OtherPart = 0.01 * *drawn(0, 51),
                     .m_OtherTimes = 0.01 * *drawn(20, 100),
                     .m_Refused = 0.01 * *drawn(0, 60),
                     .m_Seed = *drawn(0, 1 << 20)};
    RC_ASSERT(misjudged(Of) * 100 < Tries);
  });
}

TEST_CASE("Second tries are found where they can be told",
          "[admission][first-tries][property]") {
  rc::prop("beyond the spread of first deadlines", [] {
    constexpr int Boxes = 6;
    Callers Of{.m_Spread = 0.01 * *drawn(0, 16),
               .m_Refused = 0.01 * *drawn(10, 30),
               .m_Seed = *drawn(0, 1 << 20)};
    Found Result;
    for (int Box = 0; Box < Boxes; ++Box, ++Of.m_Seed)
      find(Of, Result);
    RC_ASSERT(Result.m_Found * 10 >= Result.m_Seconds * 6);
    RC_ASSERT(Result.m_TooLong * 50 < Result.m_Seconds);
    RC_ASSERT(Result.m_Wrong * 100 < Boxes * Tries);
  });
}

TEST_CASE("A second try has waited as long as its deadline is short",
          "[admission][first-tries]") {
  RetryDetector Clock;
  learn(Clock, 5000ms);
  Clock.recordRefusal("r", at(300s));
  REQUIRE(Clock.timeSinceFirstAttempt("r", 4999ms, at(301s)) == 0us);
  REQUIRE(Clock.timeSinceFirstAttempt("r", 4200ms, at(301s)) == 799ms);
  REQUIRE(Clock.timeSinceFirstAttempt("other", 4200ms, at(301s)) == 0us);
}

TEST_CASE("In doubt a try is a first one", "[admission][first-tries]") {
  RetryDetector Clock;
  SECTION("a box that has just started") {
    Clock.recordRefusal("r", at(300s));
    Clock.timeSinceFirstAttempt("r", 5000ms, at(300s));
    REQUIRE(Clock.timeSinceFirstAttempt("r", 4200ms, at(301s)) == 0us);
  }
  SECTION("nobody was turned away") {
    learn(Clock, 5000ms);
    REQUIRE(Clock.timeSinceFirstAttempt("r", 4200ms, at(301s)) == 0us);
  }
  SECTION("who was turned away has given up since") {
    learn(Clock, 5000ms);
    Clock.recordRefusal("r", at(300s));
    REQUIRE(Clock.timeSinceFirstAttempt("r", 4200ms, at(500s)) == 0us);
  }
  SECTION("more come than were turned away") {
    learn(Clock, 5000ms);
    Clock.recordRefusal("r", at(300s));
    int Seconds = 0;
    for (int Try = 0; Try < 20; ++Try)
      Seconds +=
          Clock.timeSinceFirstAttempt("r", 4200ms, at(301s)) > 0us ? 1 : 0;
    REQUIRE(Seconds > 0);
    REQUIRE(Seconds <= 4);
  }
  SECTION("hardly any of those that were turned away come back") {
    learn(Clock, 5000ms);
    for (int Try = 0; Try < 100; ++Try)
      Clock.recordRefusal("r", at(300s));
    REQUIRE(Clock.timeSinceFirstAttempt("r", 4200ms, at(301s)) == 0us);
  }
}

TEST_CASE("A route whose deadlines become shorter is learned anew",
          "[admission][first-tries]") {
  RetryDetector Clock;
  learn(Clock, 10s);
  for (int Try = 0; Try < 30; ++Try)
    REQUIRE(Clock.timeSinceFirstAttempt("r", 4s, at(301s)) == 0us);
  Clock.recordRefusal("r", at(300s));
  REQUIRE(Clock.timeSinceFirstAttempt("r", 4s, at(302s)) == 0us);
}

TEST_CASE("Routes that nobody asks for any more are forgotten",
          "[admission][first-tries]") {
  RetryDetector Clock({.m_MaxRoutes = 10});
  for (int Route = 0; Route < 200; ++Route) {
    Clock.timeSinceFirstAttempt(std::to_string(Route), 5s, at(Route * 600s));
    REQUIRE(Clock.routes() <= 10);
  }
}
