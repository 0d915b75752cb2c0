#include "decisions/process/FleetTopology.h"
#include "support/Draw.h"
#include "support/Names.h"
#include <algorithm>
#include <set>

using namespace havenstair;

namespace {

/// \p Count boxes in three data centres; the first of each is strong.
std::vector<FleetMember> fleetOf(std::size_t Count) {
  std::vector<FleetMember> Result;
  for (std::size_t Number = 0; Number < Count; ++Number)
    Result.push_back(
        {.m_Box = BoxName("box-" + std::to_string(100 + Number)),
         .m_DataCentre = DataCentreName("dc-" + std::to_string(Number % 3)),
         .m_Capacity = Number < 3 ? 0.5 : 0.12});
  return Result;
}

FleetTopology seenBy(const std::vector<FleetMember> &Fleet,
                     std::size_t Number) {
  std::vector<FleetMember> Others = Fleet;
  Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Number));
  FleetTopology Result(Fleet[Number]);
  Result.setMembers(std::move(Others));
  return Result;
}

} // namespace

TEST_CASE("In a small fleet every box is linked to every other", "[topology]") {
  const auto Fleet = fleetOf(8);
  for (std::size_t Number = 0; Number < Fleet.size(); ++Number) {
    const FleetTopology Seen = seenBy(Fleet, Number);
    REQUIRE(Seen.flat());
    REQUIRE(Seen.relay());
    REQUIRE(Seen.links().size() == 7);
  }
}

TEST_CASE("In a large fleet the strongest boxes of each data centre are relays",
          "[topology]") {
  const auto Fleet = fleetOf(60);
  const FleetTopology Strong = seenBy(Fleet, 0);
  REQUIRE_FALSE(Strong.flat());
  REQUIRE(Strong.relay());
  REQUIRE(Strong.relays().size() == 9);
  REQUIRE(Strong.links().size() == 8);
  const FleetTopology Leaf = seenBy(Fleet, 59);
  REQUIRE_FALSE(Leaf.relay());
  REQUIRE(Leaf.links().size() == 4);

  SECTION("the leader stays one although it is weak") {
    FleetTopology Seen = seenBy(Fleet, 59);
    Seen.setLeader(Fleet[59].m_Box);
    REQUIRE(Seen.relay());
    REQUIRE(Seen.links().size() == 9);
  }
}

TEST_CASE("A leaf prefers a stronger relay to one as weak as itself",
          "[topology]") {
  const auto Fleet = fleetOf(60);
  for (std::size_t Number = 3; Number < Fleet.size(); ++Number) {
    const FleetTopology Leaf = seenBy(Fleet, Number);
    if (!Leaf.relay())
      REQUIRE(Leaf.links().front() == Fleet[Number % 3].m_Box);
  }
  SECTION("among boxes of equal capacity, leaves are spread over all relays") {
    std::vector<FleetMember> Equals = Fleet;
    for (FleetMember &Each : Equals)
      Each.m_Capacity = 0.5;
    std::set<BoxName> First;
    for (std::size_t Number = 0; Number < Equals.size(); ++Number)
      if (const FleetTopology Seen = seenBy(Equals, Number); !Seen.relay())
        First.insert(Seen.links().front());
    REQUIRE(First.size() == 9);
  }
  SECTION("without the strong one, other relays take its place") {
    const std::vector<FleetMember> Weak(Fleet.begin() + 3, Fleet.end());
    const FleetTopology Leaf = seenBy(Weak, Weak.size() - 1);
    REQUIRE(Leaf.links().size() == 4);
  }
}

TEST_CASE("Boxes that know the same members agree on the relays",
          "[topology][property]") {
  rc::prop("agreed", [] {
    const auto Fleet = fleetOf(static_cast<std::size_t>(*drawn(2, 90)));
    const auto First =
        static_cast<std::size_t>(*drawn(0, static_cast<int>(Fleet.size()) - 1));
    const auto Second =
        static_cast<std::size_t>(*drawn(0, static_cast<int>(Fleet.size()) - 1));
    const FleetTopology A = seenBy(Fleet, First);
    const FleetTopology B = seenBy(Fleet, Second);
    RC_ASSERT(A.relays() == B.relays());
    // Each leaf is linked to a relay; relays are linked to each other.
    for (const BoxName &Box : A.links())
      RC_ASSERT(A.isRelay(Box));
    RC_ASSERT(Fleet.size() == 1 || !A.links().empty());
  });
}
