#include "decisions/process/StreamHolders.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace havenstair;

namespace {

std::vector<HolderCandidate> boxes(int PerDataCentre,
                                   const std::vector<std::string> &Names) {
  std::vector<HolderCandidate> Result;
  for (const std::string &Name : Names)
    for (int Index = 0; Index < PerDataCentre; ++Index)
      Result.push_back({.m_Box = BoxName(Name + std::to_string(Index)),
                        .m_DataCentre = DataCentreName(Name)});
  return Result;
}

} // namespace

TEST_CASE("The boxes that remember a stream are spread over data centres",
          "[stream-version]") {
  for (int Stream = 0; Stream < 50; ++Stream) {
    std::set<char> DataCentres;
    for (const BoxName &Box : chooseStreamHolders(boxes(3, {"a", "b", "c"}),
                                                  std::to_string(Stream), 3))
      DataCentres.insert(Box.str().front());
    REQUIRE(DataCentres.size() == 3);
  }
}

TEST_CASE("All boxes choose the same holders, in whatever order they know the "
          "candidates",
          "[stream-version]") {
  auto Candidates = boxes(4, {"a", "b"});
  const auto Before = chooseStreamHolders(Candidates, "attempt", 3);
  std::reverse(Candidates.begin(), Candidates.end());
  REQUIRE(chooseStreamHolders(Candidates, "attempt", 3) == Before);
  REQUIRE(std::set<BoxName>(Before.begin(), Before.end()).size() == 3);
}

TEST_CASE("Fewer candidates than wanted all remember a stream",
          "[stream-version]") {
  REQUIRE(chooseStreamHolders(boxes(1, {"a", "b"}), "attempt", 3).size() == 2);
  REQUIRE(chooseStreamHolders({}, "attempt", 3).empty());
}
