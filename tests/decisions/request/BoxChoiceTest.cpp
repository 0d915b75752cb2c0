#include "decisions/request/BoxChoice.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

constexpr TimePoint Now = TimePoint(10s);
const DataCentreName Here("a");
const DataCentreName There("b");
const BoxName Near("near");
const BoxName Far("far");
const std::vector<BoxChoice::Candidate> Both{
    {.m_Box = Near, .m_DataCentre = Here},
    {.m_Box = Far, .m_DataCentre = There}};
constexpr BoxChoice::Draws Last{.m_First = 1, .m_Second = 1};

} // namespace

TEST_CASE("A box asks its own data centre first", "[decisions][pass]") {
  BoxChoice Choice(Here);
  REQUIRE(Choice.choose(Both, {}, Last, Now) == Near);
  REQUIRE(Choice.choose(Both, {Near}, Last, Now) == Far);
  REQUIRE_FALSE(Choice.choose(Both, {Near, Far}, Last, Now));
}

TEST_CASE("A box that declined is not asked again for a while",
          "[decisions][pass]") {
  BoxChoice Choice(Here);
  Choice.onDeclined(Near, Here, Now);
  REQUIRE(Choice.choose(Both, {}, Last, Now) == Far);
  REQUIRE(Choice.choose(Both, {}, Last, Now + 1s) == Near);
}

TEST_CASE("Where all boxes have declined, the one that did longest ago is left",
          "[decisions][pass]") {
  BoxChoice Choice(Here);
  Choice.onDeclined(Far, There, Now);
  Choice.onDeclined(Near, Here, Now + 10ms);
  const TimePoint Later = Now + 20ms;
  REQUIRE_FALSE(Choice.choose(Both, {}, Last, Later));
  REQUIRE(Choice.chooseDeclined(Both, {}) == Far);
  REQUIRE(Choice.chooseDeclined(Both, {Far}) == Near);
  REQUIRE_FALSE(Choice.chooseDeclined(Both, {Near, Far}));
}

TEST_CASE("All data centres are alike after a box of the own one declined",
          "[decisions][pass]") {
  const BoxName Next("next");
  std::vector<BoxChoice::Candidate> All = Both;
  All.insert(All.begin(), {.m_Box = Next, .m_DataCentre = Here});
  BoxChoice Choice(Here);
  Choice.onDeclined(Near, Here, Now);
  REQUIRE(Choice.choose(All, {}, Last, Now) == Far);
}

TEST_CASE("Of two boxes the one with fewer open requests is asked",
          "[decisions][pass]") {
  const std::vector<BoxChoice::Candidate> Two{
      {.m_Box = BoxName("x"), .m_DataCentre = There},
      {.m_Box = BoxName("y"), .m_DataCentre = There}};
  const BoxChoice::Draws Random{.m_First = 0, .m_Second = 1};
  BoxChoice Choice(Here);
  Choice.onOpened(BoxName("x"));
  REQUIRE(Choice.choose(Two, {}, Random, Now) == BoxName("y"));
  Choice.onEnded(BoxName("x"));
  REQUIRE(Choice.choose(Two, {}, Random, Now) == BoxName("x"));
}

TEST_CASE("No more than a number of requests are passed on to one box",
          "[decisions][pass]") {
  BoxChoice Choice(Here, {.m_MaxOpen = 2});
  Choice.onOpened(Near);
  Choice.onOpened(Near);
  REQUIRE(Choice.choose(Both, {}, Last, Now) == Far);
}
