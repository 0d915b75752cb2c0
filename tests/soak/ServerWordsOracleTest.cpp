#include "soak/SoakOracleTest.h"

using namespace havenstair;

namespace {

/// Requests of one box reach the engine `e`.
class WordsStory {
public:
  /// One arrives at \p Then, by \p Box.
  void arrive(Duration Then, const std::string &Box = "b1") {
    const std::string Id = send(Then, Box);
    m_Oracle.arrived({.m_Id = Id,
                      .m_Engine = "e",
                      .m_Service = "plain",
                      .m_Target = "/x",
                      .m_At = at(Then)});
  }
  /// The answer to one of \p Box says \p Words.
  void say(Duration Then, EngineWords Words, const std::string &Box = "b1") {
    Words.m_Id = send(Then, Box);
    Words.m_Engine = "e";
    Words.m_At = at(Then);
    m_Oracle.said(Words);
  }
  Promises broken() const { return havenstair::broken(m_Oracle); }

  SoakOracle m_Oracle{{}};

private:
  std::string send(Duration Then, const std::string &Box) {
    const std::string Id = std::to_string(++m_Sent);
    m_Oracle.sent({.m_Id = Id,
                   .m_Box = Box,
                   .m_Service = "plain",
                   .m_Target = "/x",
                   .m_At = at(Then)});
    return Id;
  }

  int m_Sent = 0;
};

} // namespace

TEST_CASE("The soak's oracle counts what a limited engine gets over all boxes",
          "[soak][oracle]") {
  WordsStory Story;
  Story.say(0s, {.m_LimitPerSecond = 1});
  for (int Number = 0; Number < 20; ++Number)
    Story.arrive(1s + Number * 10ms);
  REQUIRE(Story.broken().empty());
  for (int Number = 0; Number < 11; ++Number)
    Story.arrive(4s + Number * 100ms, Number % 2 == 0 ? "b1" : "b2");
  REQUIRE(Story.broken().empty());
  SECTION("one too many in a span") {
    Story.arrive(7s, "b2");
    REQUIRE(Story.broken() == Promises{Promise::ServerLimit});
  }
  SECTION("later it is not") {
    Story.arrive(8001ms, "b2");
    REQUIRE(Story.broken().empty());
  }
  SECTION("by a box in trouble") {
    Story.m_Oracle.trouble().begin("b2", at(6s));
    Story.arrive(7s, "b2");
    REQUIRE(Story.broken().empty());
  }
  SECTION("after its end") {
    Story.say(6s, {});
    Story.arrive(7s);
    REQUIRE(Story.broken().empty());
  }
}

TEST_CASE("The soak's oracle holds a box to what it was told of leaving",
          "[soak][oracle]") {
  WordsStory Story;
  Story.say(0s, {.m_Leaving = true});
  Story.say(1s, {.m_Leaving = true});
  Story.arrive(2100ms);
  Story.arrive(3s, "b2");
  REQUIRE(Story.broken().empty());
  SECTION("later than the bound") {
    Story.arrive(2300ms);
    REQUIRE(Story.broken() == Promises{Promise::SaidLeaving});
  }
  SECTION("but for trouble since then") {
    Story.m_Oracle.trouble().add("b1", at(1s), at(1100ms));
    Story.arrive(9s);
    REQUIRE(Story.broken().empty());
  }
}

TEST_CASE("The soak's oracle holds a box to the time to retry after",
          "[soak][oracle]") {
  WordsStory Story;
  Story.say(0s, {.m_RetryAfter = 3s});
  for (Duration Then : {100ms, 200ms, 300ms, 400ms, 600ms, 700ms, 3100ms})
    Story.arrive(Then);
  for (Duration Then : {600ms, 700ms, 800ms})
    Story.arrive(Then, "b2");
  REQUIRE(Story.broken().empty());
  Story.arrive(2900ms);
  REQUIRE(Story.broken() == Promises{Promise::ServerRetryAfter});
}

TEST_CASE("The soak's oracle forgets words of an engine that starts again",
          "[soak][oracle]") {
  WordsStory Story;
  Story.say(0s, {.m_LimitPerSecond = 1, .m_Leaving = true, .m_RetryAfter = 9s});
  Story.m_Oracle.words().startedAgain("e");
  for (int Number = 0; Number < 20; ++Number)
    Story.arrive(4s + Number * 10ms);
  REQUIRE(Story.broken().empty());
}
