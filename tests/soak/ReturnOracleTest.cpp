#include "soak/SoakOracleTest.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

/// Tries around a loss of all boxes at 10 s; the last is back at 12 s.
class Tries {
public:
  Tries() : m_Oracle(SoakBounds()) {
    play("box-1", 40, 40, 5s);
    m_Oracle.returns().lost(at(10s));
    m_Oracle.returns().back(at(12s));
  }
  void play(const std::string &Box, int Count, int Served, Duration At) {
    for (int Number = 0; Number < Count; ++Number) {
      const std::string Id = "r" + std::to_string(m_Next++);
      m_Oracle.sent({.m_Id = Id, .m_Box = Box, .m_At = at(At)});
      m_Oracle.returns().answered({.m_Id = Id,
                                   .m_Status = Number < Served ? 200 : 503,
                                   .m_Complete = true,
                                   .m_AnswersId = Id,
                                   .m_Signature = "",
                                   .m_Body = "",
                                   .m_At = at(At)});
    }
  }
  void playStreams(int Count, int Brought, Duration At) {
    for (int Number = 0; Number < Count; ++Number) {
      const std::string Id = "t" + std::to_string(m_Next++);
      m_Oracle.sent({.m_Id = Id, .m_Box = "box-1", .m_At = at(At)});
      m_Oracle.streamTried({.m_Id = Id,
                            .m_Stream = Id,
                            .m_Box = "box-1",
                            .m_Brought = Number < Brought,
                            .m_At = at(At),
                            .m_EndedAt = at(At)});
    }
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
constexpr Duration After = 28s;

} // namespace

TEST_CASE("The soak's oracle judges whether service is back after a loss of "
          "all boxes",
          "[soak][oracle][return]") {
  Tries Of;
  SECTION("a quarter is enough") {
    Of.play("box-1", 40, 10, After);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("less is too little, of all and of the box") {
    Of.play("box-1", 40, 9, After);
    REQUIRE(Of.verdict() ==
            Promises{Promise::ServiceBack, Promise::ServiceBack});
  }
  SECTION("one box that refuses for good is broken beside others that serve") {
    Of.play("box-1", 400, 400, After);
    Of.play("box-2", 40, 1, After);
    REQUIRE(Of.verdict() == Promises{Promise::ServiceBack});
  }
  SECTION("a quarter of streams that bring an event is enough") {
    Of.playStreams(40, 10, After);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("less of them is too little, of all and of the box") {
    Of.playStreams(40, 9, After);
    REQUIRE(Of.verdict() ==
            Promises{Promise::ServiceBack, Promise::ServiceBack});
  }
  SECTION("a box that was lost again just before is not judged by itself") {
    Of.play("box-1", 400, 400, After);
    Of.play("box-2", 40, 1, After);
    Of.m_Oracle.trouble().add("box-2", at(After - 2s), at(After - 1s));
    REQUIRE(Of.verdict() == None);
  }
  SECTION("what is sent before the bound does not count") {
    Of.play("box-1", 40, 0, 26s);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("after a second loss the bound begins anew") {
    Of.m_Oracle.returns().lost(at(20s));
    Of.m_Oracle.returns().back(at(21s));
    Of.play("box-1", 40, 0, After);
    REQUIRE(Of.verdict() == None);
    Of.play("box-1", 40, 0, 37s);
    REQUIRE(Of.verdict() ==
            Promises{Promise::ServiceBack, Promise::ServiceBack});
  }
}
