#include "decisions/version/Assignment.h"
#include "support/Draw.h"
#include "support/Names.h"

#include <algorithm>

using namespace havenstair;

namespace {

std::vector<BoxName> boxes(const std::set<int> &Numbers) {
  std::vector<BoxName> Result;
  for (int Number : Numbers)
    Result.push_back(boxName(Number));
  return Result;
}

std::vector<UpstreamName> upstreams(int Count) {
  std::vector<UpstreamName> Result;
  for (int Number = 0; Number < Count; ++Number)
    Result.push_back(upstreamName(Number));
  return Result;
}

} // namespace

TEST_CASE("An assignment is even and moves no more than needed",
          "[assignment][property]") {
  rc::prop("boxes come and go", [] {
    Assignment Current;
    const int Count = *drawn(1, 30);
    for (int Round = 0; Round < 6; ++Round) {
      const int Mask = *drawn(1, 256);
      std::set<int> Live;
      for (int Number = 0; Number < 8; ++Number)
        if ((Mask >> Number & 1) != 0)
          Live.insert(Number);
      const auto Next = nextAssignment(Current, boxes(Live), upstreams(Count));
      if (!Next)
        continue;
      RC_ASSERT(Next->m_Version == Current.m_Version + 1);
      std::map<BoxName, int> Owned;
      for (const BoxName &Box : boxes(Live))
        Owned[Box] = 0;
      int Moved = 0;
      for (const auto &[Upstream, Box] : Next->m_OwnerOf) {
        RC_ASSERT(Owned.count(Box) == 1U);
        ++Owned[Box];
        const auto Before = Current.ownerOf(Upstream);
        const bool WasLive = Before && Owned.count(*Before) != 0;
        Moved += WasLive && *Before != Box ? 1 : 0;
      }
      const auto [Least, Most] = std::minmax_element(
          Owned.begin(), Owned.end(),
          [](const auto &A, const auto &B) { return A.second < B.second; });
      RC_ASSERT(Most->second - Least->second <= 1);
      // Live owners lose only what they own above the even count.
      const int Even = Count / static_cast<int>(Live.size());
      std::map<BoxName, int> Had;
      for (const auto &[Upstream, Box] : Current.m_OwnerOf)
        Had[Box] += Owned.count(Box) != 0 ? 1 : 0;
      int Above = 0;
      for (const auto &[Box, Number] : Had)
        Above += std::max(0, Number - Even);
      RC_ASSERT(Moved <= Above);
      Current = *Next;
    }
  });
}

TEST_CASE("An assignment does not change while the boxes stay the same",
          "[assignment]") {
  const auto First = nextAssignment({}, boxes({1, 2, 3}), upstreams(10));
  REQUIRE(First);
  REQUIRE_FALSE(nextAssignment(*First, boxes({1, 2, 3}), upstreams(10)));
}

TEST_CASE("A slice keeps the version in which its owner changed",
          "[assignment]") {
  const auto First = nextAssignment({}, boxes({1, 2}), upstreams(2));
  const auto Second = nextAssignment(*First, boxes({1}), upstreams(2));
  for (std::size_t Slice = 0; Slice < KeySliceCount; ++Slice) {
    const bool Kept = First->m_KeyOwners[Slice] == boxName(1);
    REQUIRE(Second->m_KeyOwnerSince[Slice] == (Kept ? 1U : 2U));
  }
}

TEST_CASE("Without boxes there is no assignment", "[assignment]") {
  REQUIRE_FALSE(nextAssignment({}, {}, upstreams(2)));
}
