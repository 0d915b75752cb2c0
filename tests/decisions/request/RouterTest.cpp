#include "decisions/request/Router.h"
#include "support/Draw.h"
#include "support/Names.h"

using namespace havenstair;

namespace {

std::vector<Candidate> candidates(const std::vector<int> &Pressures) {
  std::vector<Candidate> Result;
  for (std::size_t Index = 0; Index < Pressures.size(); ++Index)
    Result.push_back(
        {upstreamName(static_cast<int>(Index)), Pressures[Index] / 10.0});
  return Result;
}

} // namespace

TEST_CASE("A conversation stays at its upstream while the pressure allows it",
          "[routing]") {
  const auto Idle = candidates({0, 0, 0, 0});
  const auto Preferred = *prefixAffinity(Idle, 42, 0.25);
  std::vector<Candidate> Busy = Idle;
  for (Candidate &Each : Busy)
    if (Each.m_Upstream == Preferred)
      Each.m_Pressure = 0.2;
  REQUIRE(prefixAffinity(Busy, 42, 0.25) == Preferred);
  for (Candidate &Each : Busy)
    if (Each.m_Upstream == Preferred)
      Each.m_Pressure = 0.3;
  REQUIRE(prefixAffinity(Busy, 42, 0.25) != Preferred);
}

TEST_CASE("The chosen pressure exceeds the least by no more than the slack",
          "[routing][property]") {
  rc::prop("bounded load", [] {
    const auto Pressures =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(drawn(0, 30)));
    const auto Prefix = *rc::gen::arbitrary<std::uint64_t>();
    const auto All = candidates(Pressures);
    const auto Chosen = *prefixAffinity(All, Prefix, 0.25);
    double Least = 1e9;
    double ChosenPressure = 0;
    for (const Candidate &Each : All) {
      Least = std::min(Least, Each.m_Pressure);
      if (Each.m_Upstream == Chosen)
        ChosenPressure = Each.m_Pressure;
    }
    RC_ASSERT(ChosenPressure <= Least + 0.25);
  });
}

TEST_CASE("Without candidates there is no choice", "[routing]") {
  REQUIRE_FALSE(leastPressure({}, 1));
}
