#include "decisions/request/RetryDetector.h"
#include "support/Draw.h"
#include "support/Names.h"
#include <random>

using namespace havenstair;

namespace {

constexpr Duration Longest = 5s;
constexpr int Attempts = 3000;

/// The callers of a route.
struct Callers {
  /// Greatest fraction by which first deadlines are shorter than Longest.
  double m_DeadlineSpread = 0;
  /// Share of callers of a second kind.
  double m_OtherShare = 0;
  /// Deadline of the second kind of callers over that of the first.
  double m_OtherDeadlineRatio = 1;
  /// Share of the attempts that are refused.
  double m_RefusedShare = 0;
  int m_Seed = 0;
};

/// Draws the requests of a route's callers that one box receives.
class Arrivals {
public:
  explicit Arrivals(Callers Population)
      : m_Population(Population), m_Random(Population.m_Seed) {}

  double chance() { return m_Chance(m_Random); }
  TimePoint next() {
    m_Now += fromMillis(800 * chance());
    return m_Now;
  }
  Duration firstDeadline() {
    const double Kind = chance() < m_Population.m_OtherShare
                            ? m_Population.m_OtherDeadlineRatio
                            : 1;
    return fromMillis(inMillis(Longest) * Kind *
                      (1 - m_Population.m_DeadlineSpread * chance()));
  }
  bool refused() { return chance() < m_Population.m_RefusedShare; }

private:
  Callers m_Population;
  std::mt19937 m_Random;
  std::uniform_real_distribution<double> m_Chance{0, 1};
  TimePoint m_Now = at(1s);
};

/// Number of first attempts that are taken for retries, when no caller retries.
int misjudged(const Callers &Population) {
  Arrivals Source(Population);
  RetryDetector Detector;
  int Misjudged = 0;
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    const TimePoint Now = Source.next();
    const Duration Left = Source.firstDeadline();
    if (Detector.timeSinceFirstAttempt("r", Left, Now) > 0us)
      ++Misjudged;
    if (Source.refused())
      Detector.recordRefusal("r", Now);
  }
  return Misjudged;
}

/// Counts of judged requests; m_Detected and m_TooLong are of m_Retries.
struct Tally {
  int m_Retries = 0;
  int m_Detected = 0;
  int m_TooLong = 0;   ///< Estimated to have waited longer than they have.
  int m_Misjudged = 0; ///< First attempts that are taken for retries.
};

/// Refused callers retry, at any of the boxes.
void detectRetries(const Callers &Population, Tally &Result) {
  /// Number of attempts before the first refusal.
  constexpr int Learning = 600;
  Arrivals Source(Population);
  RetryDetector Detector;
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    const TimePoint Now = Source.next();
    const Duration First = Source.firstDeadline();
    const bool IsRetry = Attempt > Learning && Source.refused();
    const Duration Waited =
        fromMillis((0.1 + 0.23 * Source.chance()) * inMillis(First));
    const Duration Left = IsRetry ? First - Waited : First;
    const Duration Estimate = Detector.timeSinceFirstAttempt("r", Left, Now);
    if (Attempt > Learning && Source.refused())
      Detector.recordRefusal("r", Now);
    if (!IsRetry && Estimate > 0us)
      ++Result.m_Misjudged;
    if (!IsRetry || inMillis(Left) > inMillis(Longest) *
                                         (0.85 - Population.m_DeadlineSpread))
      continue;
    ++Result.m_Retries;
    Result.m_Detected += Estimate > 0us ? 1 : 0;
    Result.m_TooLong += Estimate > Waited ? 1 : 0;
  }
}

void learn(RetryDetector &Detector, Duration Deadline) {
  for (int Attempt = 0; Attempt < 500; ++Attempt)
    Detector.timeSinceFirstAttempt("r", Deadline, at(Attempt * 50ms));
}

} // namespace

TEST_CASE("Fewer than one in a hundred first attempts are taken for retries",
          "[admission][first-tries][property]") {
  rc::prop("one kind or two, equal or spread", [] {
    const Callers Population{.m_DeadlineSpread = 0.01 * *drawn(0, 31),
                             .m_OtherShare = 0.01 * *drawn(0, 51),
                             .m_OtherDeadlineRatio = 0.01 * *drawn(20, 100),
                             .m_RefusedShare = 0.01 * *drawn(0, 60),
                             .m_Seed = *drawn(0, 1 << 20)};
    RC_ASSERT(misjudged(Population) * 100 < Attempts);
  });
}

TEST_CASE("Most retries with clearly shorter deadlines are detected",
          "[admission][first-tries][property]") {
  rc::prop("beyond the spread of first deadlines", [] {
    constexpr int Boxes = 6;
    Callers Population{.m_DeadlineSpread = 0.01 * *drawn(0, 16),
                       .m_RefusedShare = 0.01 * *drawn(10, 30),
                       .m_Seed = *drawn(0, 1 << 20)};
    Tally Result;
    for (int Box = 0; Box < Boxes; ++Box, ++Population.m_Seed)
      detectRetries(Population, Result);
    RC_ASSERT(Result.m_Detected * 10 >= Result.m_Retries * 6);
    RC_ASSERT(Result.m_TooLong * 50 < Result.m_Retries);
    RC_ASSERT(Result.m_Misjudged * 100 < Boxes * Attempts);
  });
}

TEST_CASE(
    "A retry is estimated to have waited as long as its deadline is shorter "
    "than that of first attempts",
    "[admission][first-tries]") {
  RetryDetector Detector;
  learn(Detector, 5000ms);
  Detector.recordRefusal("r", at(300s));
  REQUIRE(Detector.timeSinceFirstAttempt("r", 4999ms, at(301s)) == 0us);
  REQUIRE(Detector.timeSinceFirstAttempt("r", 4200ms, at(301s)) == 799ms);
  REQUIRE(Detector.timeSinceFirstAttempt("other", 4200ms, at(301s)) == 0us);
}

TEST_CASE("In doubt a request counts as a first attempt",
          "[admission][first-tries]") {
  RetryDetector Detector;
  SECTION("a box that has just started") {
    Detector.recordRefusal("r", at(300s));
    Detector.timeSinceFirstAttempt("r", 5000ms, at(300s));
    REQUIRE(Detector.timeSinceFirstAttempt("r", 4200ms, at(301s)) == 0us);
  }
  SECTION("no request was refused") {
    learn(Detector, 5000ms);
    REQUIRE(Detector.timeSinceFirstAttempt("r", 4200ms, at(301s)) == 0us);
  }
  SECTION("the refused callers must have given up since") {
    learn(Detector, 5000ms);
    Detector.recordRefusal("r", at(300s));
    REQUIRE(Detector.timeSinceFirstAttempt("r", 4200ms, at(500s)) == 0us);
  }
  SECTION("more requests with short deadlines come than were refused") {
    learn(Detector, 5000ms);
    Detector.recordRefusal("r", at(300s));
    int Retries = 0;
    for (int Attempt = 0; Attempt < 20; ++Attempt)
      Retries +=
          Detector.timeSinceFirstAttempt("r", 4200ms, at(301s)) > 0us ? 1 : 0;
    REQUIRE(Retries > 0);
    REQUIRE(Retries <= 4);
  }
  SECTION("hardly any of the refused callers retry") {
    learn(Detector, 5000ms);
    for (int Attempt = 0; Attempt < 100; ++Attempt)
      Detector.recordRefusal("r", at(300s));
    REQUIRE(Detector.timeSinceFirstAttempt("r", 4200ms, at(301s)) == 0us);
  }
}

TEST_CASE("A route whose deadlines become shorter is learned again",
          "[admission][first-tries]") {
  RetryDetector Detector;
  learn(Detector, 10s);
  for (int Attempt = 0; Attempt < 30; ++Attempt)
    REQUIRE(Detector.timeSinceFirstAttempt("r", 4s, at(301s)) == 0us);
  Detector.recordRefusal("r", at(300s));
  REQUIRE(Detector.timeSinceFirstAttempt("r", 4s, at(302s)) == 0us);
}

TEST_CASE("Routes without requests are dropped when there are too many",
          "[admission][first-tries]") {
  RetryDetector Detector({.m_MaxRoutes = 10});
  for (int Route = 0; Route < 200; ++Route) {
    Detector.timeSinceFirstAttempt(std::to_string(Route), 5s, at(Route * 600s));
    REQUIRE(Detector.routes() <= 10);
  }
}
