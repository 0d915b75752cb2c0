#include "soak/SoakOracleTest.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

/// Tries at box-1, which is cut from 10 s to 20 s, and at box-2.
class Tries {
public:
  Tries() : m_Oracle(SoakBounds()) {
    m_Oracle.partitions().began({"box-1"}, at(10s));
  }
  void play(const std::string &Box, int Count, int Served, Duration At = 15s) {
    for (int Number = 0; Number < Count; ++Number) {
      const std::string Id = "r" + std::to_string(m_Next++);
      m_Oracle.sent({.m_Id = Id, .m_Box = Box, .m_At = at(At)});
      m_Oracle.partitions().answered({.m_Id = Id,
                                      .m_Status = Number < Served ? 200 : 503,
                                      .m_Complete = true,
                                      .m_AnswersId = Id,
                                      .m_Signature = "",
                                      .m_Body = "",
                                      .m_At = at(At)});
    }
  }
  Promises verdict() {
    m_Oracle.partitions().ended(at(20s));
    m_Oracle.partitions().finish(at(30s));
    return broken(m_Oracle);
  }

  SoakOracle m_Oracle;

private:
  int m_Next = 0;
};

const Promises None;

} // namespace

TEST_CASE("The soak's oracle judges what boxes serve that reach no engine",
          "[soak][oracle][partition]") {
  Tries Of;
  SECTION("less than two thirds of the others' share is too little") {
    Of.play("box-1", 60, 38);
    Of.play("box-2", 60, 60);
    REQUIRE(Of.verdict() == Promises{Promise::PartitionServed});
  }
  SECTION("two thirds are enough") {
    Of.play("box-1", 60, 40);
    Of.play("box-2", 60, 60);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("ten and one in fifty of all may fail") {
    Of.play("box-1", 14, 0);
    Of.play("box-2", 186, 186);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("one more may not") {
    Of.play("box-1", 15, 0);
    Of.play("box-2", 185, 185);
    REQUIRE(Of.verdict() == Promises{Promise::PartitionServed});
  }
  SECTION("tries before the box can know of it do not count") {
    Of.play("box-1", 60, 0, 12s);
    Of.play("box-2", 60, 60);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("nor do tries after its end") {
    Of.play("box-1", 60, 0, 21s);
    Of.play("box-2", 60, 60);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("nor those at a box that was held up") {
    Of.m_Oracle.trouble().add("box-1", at(13s), at(14s));
    Of.play("box-1", 60, 0);
    Of.play("box-2", 60, 60);
    REQUIRE(Of.verdict() == None);
  }
  SECTION("nor those that their callers gave up") {
    Of.play("box-1", 60, 0);
    Of.play("box-2", 60, 60);
    for (int Number = 0; Number < 50; ++Number)
      Of.m_Oracle.partitions().left("r" + std::to_string(Number));
    REQUIRE(Of.verdict() == None);
  }
  SECTION("others that fail as well do not make it worse") {
    Of.play("box-1", 60, 10);
    Of.play("box-2", 60, 14);
    REQUIRE(Of.verdict() == None);
  }
}
