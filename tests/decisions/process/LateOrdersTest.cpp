#include "decisions/process/LateOrders.h"
#include "support/Names.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

ResidencyOrder load(const std::string &Model) {
  return {.m_Load = true, .m_Model = Model, .m_Adapter = {}};
}

} // namespace

TEST_CASE("A late load counts until the engine's order count has passed it",
          "[orders][lives]") {
  LateOrders Late;
  Late.add(load("a"), 0, at(0s));
  Late.add(load("b"), 2, at(1s));
  Late.add({.m_Load = false, .m_Model = "c", .m_Adapter = {}}, 2, at(1s));
  REQUIRE(Late.loads(0) == std::set{load("a"), load("b")});
  REQUIRE(Late.loads(1) == std::set{load("b")});
  REQUIRE(Late.loads(3).empty());
}

TEST_CASE("An order sent twice counts once, until the later call is too old",
          "[orders][lives]") {
  LateOrders Late;
  Late.add(load("a"), 0, at(0s));
  Late.add(load("a"), 0, at(4s));
  REQUIRE(Late.loads(0).size() == 1);
  Late.expire(10s, at(11s));
  REQUIRE(Late.loads(0).size() == 1);
  Late.expire(10s, at(15s));
  REQUIRE(Late.empty());
}
