#include "soak/SoakOracleTest.h"

using namespace havenstair;

namespace {

/// Streams around a loss of all boxes at 10 s, of which the last is back at
/// 12 s. Two servers of each version serve from the start.
class Streams {
public:
  Streams() : m_Oracle(SoakBounds()) {
    for (const std::string Version : {"v1", "v2"})
      for (const std::string Server : {"a", "b"})
        m_Oracle.goesOn().serves("plain", Version, Server + Version, at(0s));
    m_Oracle.boxesLost(at(10s));
    m_Oracle.boxesBack(at(12s));
  }
  void play(int Count, int Brought, StreamTry Of) {
    Of.m_Box = "box-1";
    Of.m_Service = "plain";
    Of.m_EndedAt = Of.m_At + 100ms;
    for (int Number = 0; Number < Count; ++Number) {
      Of.m_Stream = "t" + std::to_string(m_Next++);
      Of.m_Brought = Number < Brought;
      m_Oracle.goesOn().tried(Of);
    }
  }
  void begin(int Count, int Brought) {
    play(Count, Brought, {.m_BegunAt = at(16s), .m_At = at(16s)});
  }
  /// Streams of before the loss.
  void takeUp(int Count, int Brought, Duration At = 16s) {
    play(Count, Brought,
         {.m_Version = "v1",
          .m_TakesUp = true,
          .m_BegunAt = at(9s),
          .m_At = at(At)});
  }
  Promises verdict() {
    m_Oracle.finish(at(60s));
    return broken(m_Oracle);
  }

  SoakOracle m_Oracle;

private:
  int m_Next = 0;
};

const Promises None;
const Promises Both{Promise::GoesOn, Promise::GoesOn};

} // namespace

TEST_CASE("The soak's oracle judges whether streams go on after a loss of all "
          "boxes",
          "[soak][oracle][return]") {
  Streams Of;
  Of.begin(40, 32);
  SECTION("half of the share of new streams is enough") {
    Of.takeUp(20, 8);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("less is too little, of all and of those from before the loss") {
    Of.takeUp(20, 7);
    REQUIRE(Of.verdict() == Both);
  }
  SECTION("streams that began since excuse none from before the loss") {
    Of.takeUp(12, 0);
    Of.play(100, 100,
            {.m_Version = "v1",
             .m_TakesUp = true,
             .m_BegunAt = at(15s),
             .m_At = at(16s)});
    REQUIRE(Of.verdict() == Promises{Promise::GoesOn});
  }
  SECTION("fewer than twelve are not judged") {
    Of.takeUp(11, 0);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("what is taken up within the time of contact is not judged") {
    Of.takeUp(20, 0, 14s);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("what goes on within the time of contact counts") {
    Of.takeUp(20, 0);
    Of.takeUp(20, 20, 13s);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("what its caller breaks off before anything comes does not count") {
    Of.play(20, 0,
            {.m_Version = "v1",
             .m_TakesUp = true,
             .m_Left = true,
             .m_BegunAt = at(9s),
             .m_At = at(16s)});
    REQUIRE(Of.verdict() == None);
  }
}

TEST_CASE("Streams need not go on when their version no longer serves",
          "[soak][oracle][return]") {
  Streams Of;
  Of.begin(40, 40);
  Of.takeUp(20, 0);
  SECTION("two servers have served throughout") {
    REQUIRE(Of.verdict() == Both);
  }
  SECTION("one of them has left") {
    Of.m_Oracle.goesOn().leaves("av1", at(11s));
    REQUIRE(Of.verdict() == None);
  }
  SECTION("one of them has started again since") {
    Of.m_Oracle.goesOn().serves("plain", "v1", "av1", at(11s));
    REQUIRE(Of.verdict() == None);
  }
  SECTION("a third one has served as well") {
    Of.m_Oracle.goesOn().leaves("av1", at(11s));
    Of.m_Oracle.goesOn().serves("plain", "v1", "cv1", at(9s));
    REQUIRE(Of.verdict() == Both);
  }
}

TEST_CASE("Streams are not judged while new ones do not begin either",
          "[soak][oracle][return]") {
  Streams Of;
  Of.begin(40, 0);
  Of.takeUp(20, 0);
  REQUIRE(Of.verdict() == None);
}

TEST_CASE("Streams at boxes or with a store in trouble are not judged",
          "[soak][oracle][return]") {
  Streams Of;
  Of.begin(40, 40);
  Of.takeUp(20, 0);
  const std::string Subject = GENERATE(as<std::string>(), "box-1", "store");
  Of.m_Oracle.trouble().add(Subject, at(14s), at(14s));
  REQUIRE(Of.verdict() == None);
}
