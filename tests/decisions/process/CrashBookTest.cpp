#include "decisions/process/CrashBook.h"

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
struct BookTest {
  CrashBook m_Book;
  TimePoint m_Now = TimePoint(100s);
  int m_Servers = 0;

  /// One more server ends with \p Running on it; all words of it come.
  void crash(const std::vector<RequestDigest> &Running) {
    m_Book.crashed({.m_Id = "i-" + std::to_string(++m_Servers)}, Running,
                   m_Now);
    m_Now += 200ms;
  }

  std::vector<RequestDigest> judge() { return m_Book.judge(Box, m_Now); }
  bool barred(const RequestDigest &Request) const {
    return m_Book.bar(Request, m_Now) != nullptr;
  }
};

} // namespace

TEST_CASE("A request is barred once three servers ended under it",
          "[crash][decisions]") {
  BookTest Test;
  Test.crash({Bad});
  Test.crash({Bad});
  REQUIRE(Test.judge().empty());
  REQUIRE(Test.m_Book.suspicious(Bad, Test.m_Now));
  Test.crash({Bad});
  REQUIRE(Test.judge() == std::vector{Bad});
  REQUIRE(Test.barred(Bad));
  REQUIRE(Test.m_Book.bar(Bad, Test.m_Now)->m_Servers.size() == 3);
  REQUIRE(Test.m_Book.bar(Bad, Test.m_Now)->m_By == Box);
}

TEST_CASE("Words of several boxes on one end count once",
          "[crash][decisions]") {
  BookTest Test;
  for (int Word = 0; Word < 5; ++Word)
    Test.m_Book.crashed({.m_Id = "i-1"}, {Bad}, Test.m_Now);
  REQUIRE(Test.m_Book.crashes(Bad, Test.m_Now) == 1);
  SECTION("and a later start of the server is another one") {
    Test.m_Book.crashed({.m_Id = "i-1", .m_StartTime = 5}, {Bad}, Test.m_Now);
    REQUIRE(Test.m_Book.crashes(Bad, Test.m_Now) == 2);
  }
}

TEST_CASE("Nothing is judged while words may be on their way",
          "[crash][decisions]") {
  BookTest Test;
  Test.crash({Bad, Beside});
  Test.crash({Bad, Beside});
  const UpstreamIncarnation Last{.m_Id = "last"};
  Test.m_Book.crashed(Last, {Beside}, Test.m_Now);
  REQUIRE(Test.judge().empty());
  const auto JudgedAt = Test.m_Book.judgedAt(Beside, Test.m_Now);
  REQUIRE(JudgedAt);
  REQUIRE(Test.m_Book.settlesAt(Test.m_Now) == JudgedAt);
  SECTION("so what is told late counts") {
    Test.m_Book.crashed(Last, {Bad}, *JudgedAt - 1ms);
    Test.m_Now = *JudgedAt + 200ms;
    REQUIRE(Test.judge().empty());
    Test.crash({Bad});
    REQUIRE(Test.judge() == std::vector{Bad});
  }
  SECTION("and then it is") {
    Test.m_Now = *JudgedAt;
    REQUIRE_FALSE(Test.m_Book.settlesAt(Test.m_Now));
    REQUIRE(Test.judge() == std::vector{Beside});
  }
}

TEST_CASE("What was there each time too is not barred in its place",
          "[crash][decisions]") {
  BookTest Test;
  for (int End = 0; End < 3; ++End)
    Test.crash({Bad, Beside});
  REQUIRE(Test.judge().empty());
  SECTION("one more end without it tells them apart") {
    Test.crash({Bad});
    REQUIRE(Test.judge() == std::vector{Bad});
    REQUIRE_FALSE(Test.barred(Beside));
    REQUIRE(Test.m_Book.crashes(Beside, Test.m_Now) == 0);
    SECTION("and what happens beside a barred one no longer counts") {
      Test.crash({Bad, Beside});
      REQUIRE(Test.judge().empty());
    }
  }
  SECTION("so does one that runs well") {
    REQUIRE(Test.m_Book.ranWell(Beside, Test.m_Now));
    REQUIRE(Test.judge() == std::vector{Bad});
  }
  SECTION("and when nothing does, both are barred at the fifth") {
    Test.crash({Bad, Beside});
    REQUIRE(Test.judge().empty());
    Test.crash({Bad, Beside});
    REQUIRE(Test.judge().size() == 2);
  }
}

TEST_CASE("Each of several bad requests is found", "[crash][decisions]") {
  BookTest Test;
  const RequestDigest Other("other");
  for (int End = 0; End < 3; ++End) {
    Test.crash({Bad, Beside});
    Test.crash({Other});
  }
  Test.crash({Bad});
  REQUIRE(Test.judge().size() == 2);
  REQUIRE(Test.barred(Bad));
  REQUIRE(Test.barred(Other));
}

TEST_CASE("A request that ran well is to blame for no end",
          "[crash][decisions]") {
  BookTest Test;
  SECTION("shortly before") {
    Test.m_Book.ranWell(Bad, Test.m_Now);
    const auto Heard = Test.m_Book.crashed({.m_Id = "i"}, {Bad}, Test.m_Now);
    REQUIRE(Heard.m_RanWell == std::vector{Bad});
    REQUIRE_FALSE(Heard.m_New);
    for (int End = 0; End < 5; ++End)
      Test.crash({Bad});
  }
  SECTION("between the ends") {
    Test.crash({Bad});
    Test.crash({Bad});
    REQUIRE(Test.m_Book.ranWell(Bad, Test.m_Now));
    Test.crash({Bad});
  }
  REQUIRE(Test.judge().empty());
}

TEST_CASE("A bar ends when the request runs well after all",
          "[crash][decisions]") {
  BookTest Test;
  for (int End = 0; End < 3; ++End)
    Test.crash({Bad});
  Test.judge();
  REQUIRE(Test.m_Book.ranWell(Bad, Test.m_Now));
  REQUIRE_FALSE(Test.barred(Bad));
  REQUIRE(Test.judge().empty());
}

TEST_CASE("A bar that was lifted is not taken over from who has not heard",
          "[crash][decisions]") {
  BookTest Test;
  for (int End = 0; End < 3; ++End)
    Test.crash({Bad});
  Test.judge();
  const RequestBar Lifted = *Test.m_Book.bar(Bad, Test.m_Now);
  Test.m_Book.ranWell(Bad, Test.m_Now);
  Test.m_Now += 60s;
  REQUIRE(Test.m_Book.pardoned(Bad));
  REQUIRE_FALSE(Test.m_Book.adopt(Bad, Lifted, Test.m_Now));
  SECTION("but what it does afterwards counts") {
    for (int End = 0; End < 3; ++End)
      Test.crash({Bad});
    REQUIRE(Test.judge() == std::vector{Bad});
    REQUIRE_FALSE(Test.m_Book.pardoned(Bad));
  }
}

TEST_CASE("A bar ends by itself, and one more end renews it",
          "[crash][decisions]") {
  BookTest Test;
  for (int End = 0; End < 3; ++End)
    Test.crash({Bad});
  Test.judge();
  Test.m_Now += CrashBook::Options{}.m_BarredFor;
  Test.m_Book.prune(Test.m_Now);
  REQUIRE_FALSE(Test.barred(Bad));
  SECTION("word of it from a box that learned later does not renew it") {
    RequestBar Late{.m_Until = Test.m_Now + 60s};
    REQUIRE_FALSE(Test.m_Book.adopt(Bad, Late, Test.m_Now));
  }
  Test.crash({Bad, Beside});
  REQUIRE(Test.judge() == std::vector{Bad});
}

TEST_CASE("Words of another box's bar are taken over once",
          "[crash][decisions]") {
  BookTest Test;
  const RequestBar Told{.m_Servers = {"i-1"},
                        .m_By = BoxName("other"),
                        .m_Since = Test.m_Now - 60s,
                        .m_Until = TimePoint::max()};
  REQUIRE(Test.m_Book.adopt(Bad, Told, Test.m_Now));
  REQUIRE_FALSE(Test.m_Book.adopt(Bad, Told, Test.m_Now));
  REQUIRE(Test.m_Book.bar(Bad, Test.m_Now)->m_By == BoxName("other"));
  REQUIRE(Test.m_Book.bar(Bad, Test.m_Now)->m_Until <=
          Test.m_Now + CrashBook::Options{}.m_BarredFor);
}

TEST_CASE("What operators let through is not barred", "[crash][decisions]") {
  BookTest Test;
  for (int End = 0; End < 3; ++End)
    Test.crash({Bad});
  Test.judge();
  Test.m_Book.letThrough({Bad});
  REQUIRE_FALSE(Test.barred(Bad));
  for (int End = 0; End < 5; ++End)
    Test.crash({Bad});
  REQUIRE(Test.judge().empty());
  Test.m_Book.letThrough({});
  REQUIRE_FALSE(Test.judge().empty());
}

TEST_CASE("A word of suspicion finds who knows better", "[crash][decisions]") {
  BookTest Test;
  Test.m_Book.ranWell(Beside, Test.m_Now);
  REQUIRE(Test.m_Book.suspected(Beside, Test.m_Now));
  REQUIRE_FALSE(Test.m_Book.suspicious(Beside, Test.m_Now));
  REQUIRE_FALSE(Test.m_Book.suspected(Bad, Test.m_Now));
  REQUIRE(Test.m_Book.suspicious(Bad, Test.m_Now));
  REQUIRE(Test.m_Book.ranWell(Bad, Test.m_Now));
}

TEST_CASE("Thousands of bad requests are barred within bounds",
          "[crash][decisions]") {
  BookTest Test;
  const CrashBook::Options Bounds;
  for (std::size_t Number = 0; Number < 2 * Bounds.m_MostBars; ++Number) {
    const RequestDigest Each("d" + std::to_string(Number));
    for (int End = 0; End < 3; ++End)
      Test.crash({Each});
    REQUIRE(Test.judge() == std::vector{Each});
  }
  REQUIRE(Test.m_Book.bars().size() <= Bounds.m_MostBars);
}

namespace {

/// Requests barred among \p Contents that are all fine, as a tenth of 100
/// servers are lost, twice. Each content is sent up to \p MostRuns times at
/// once, and once more when all of them are lost.
std::size_t barredByHerds(std::mt19937_64 &Random, int Contents, int MostRuns) {
  BookTest Test;
  const auto Draw = [&](int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(Random);
  };
  for (int Herd = 0; Herd < 2; ++Herd) {
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
      Test.m_Book.crashed({.m_Id = std::to_string(100 * Herd + Server)},
                          Running, Test.m_Now += 20ms);
    for (const RequestDigest &Each : RanWell)
      Test.m_Book.ranWell(Each, Test.m_Now);
    Test.m_Now += 5s;
    Test.judge();
  }
  return Test.m_Book.bars().size();
}

} // namespace

TEST_CASE("Servers that end in a herd bar less than one fine request in 1,000",
          "[crash][decisions]") {
  std::mt19937_64 Random(20261203);
  const int MostRuns = GENERATE(1, 2, 4, 20);
  std::size_t Barred = 0;
  constexpr int Draws = 100;
  constexpr int Contents = 400;
  for (int Number = 0; Number < Draws; ++Number)
    Barred += barredByHerds(Random, Contents, MostRuns);
  CAPTURE(MostRuns, Barred);
  REQUIRE(Barred * 1000 < std::size_t{Draws} * Contents);
}

TEST_CASE("A request that ends servers within a second is not taken for one "
          "that was in a herd",
          "[crash][decisions]") {
  BookTest Test;
  for (int End = 0; End < 3; ++End)
    Test.m_Book.crashed({.m_Id = std::to_string(End)}, {Bad},
                        Test.m_Now += 50ms);
  Test.m_Now += 200ms;
  REQUIRE(Test.judge() == std::vector{Bad});
}

TEST_CASE("A request is barred after five ends whatever else was there",
          "[crash][decisions]") {
  BookTest Test;
  const RequestDigest Other("other");
  for (int End = 0; End < 5; ++End) {
    REQUIRE(Test.judge().empty());
    Test.m_Book.crashed({.m_Id = std::to_string(End)}, {Bad, Beside, Other},
                        Test.m_Now);
    for (int Herd = 0; Herd < 3; ++Herd)
      Test.m_Book.crashed({.m_Id = std::to_string(10 * End + Herd + 10)},
                          {Other}, Test.m_Now);
    Test.m_Now += 100ms;
    Test.m_Book.ranWell(Other, Test.m_Now - 20s);
  }
  REQUIRE_FALSE(Test.judge().empty());
  REQUIRE(Test.barred(Bad));
}

TEST_CASE("Bad requests that hide in a herd are found when they come again",
          "[crash][decisions]") {
  BookTest Test;
  for (int End = 0; End < 12; ++End)
    Test.m_Book.crashed(
        {.m_Id = std::to_string(End)},
        {End % 4 == 0 ? Bad : Beside, RequestDigest(std::to_string(End))},
        Test.m_Now);
  Test.m_Book.ranWell(Beside, Test.m_Now);
  Test.m_Now += 2s;
  REQUIRE(Test.judge().empty());
  Test.crash({Bad});
  Test.m_Now += 2s;
  Test.crash({Bad});
  REQUIRE(Test.judge() == std::vector{Bad});
}
