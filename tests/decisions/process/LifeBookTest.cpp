#include "decisions/process/LifeBook.h"

#include <catch2/catch.hpp>

using namespace havenstair;

TEST_CASE("Only a later start of a server that was known is a new one",
          "[lives]") {
  LifeBook Book;
  REQUIRE_FALSE(Book.note({.m_Id = "a", .m_StartTime = 100}));
  REQUIRE_FALSE(Book.note({.m_Id = "a", .m_StartTime = 100}));
  REQUIRE_FALSE(Book.note({.m_Id = "a", .m_StartTime = 0}));
  REQUIRE_FALSE(Book.note({.m_Id = "b", .m_StartTime = 300}));
  REQUIRE(Book.note({.m_Id = "a", .m_StartTime = 200}));
  REQUIRE_FALSE(Book.note({.m_Id = "a", .m_StartTime = 100}));
  REQUIRE(Book.newest("a") == 200);
}

TEST_CASE("A word of an earlier start is not believed", "[lives]") {
  LifeBook Book;
  Book.note({.m_Id = "a", .m_StartTime = 200});
  REQUIRE_FALSE(Book.believes({.m_Id = "a", .m_StartTime = 199}));
  REQUIRE(Book.believes({.m_Id = "a", .m_StartTime = 200}));
  REQUIRE(Book.believes({.m_Id = "a", .m_StartTime = 201}));
  REQUIRE(Book.believes({.m_Id = "a", .m_StartTime = 0}));
  REQUIRE(Book.believes({.m_Id = "b", .m_StartTime = 1}));
}
