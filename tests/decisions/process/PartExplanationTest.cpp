#include "decisions/process/PartExplanation.h"

#include "decisions/process/CrashTracker.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

using namespace havenstair;

namespace {

/// What was running at one crash.
struct Event {
  std::set<RequestSuspects> m_Requests;
  std::set<CrashSuspect> m_Suspects;
};
using Events = std::vector<Event>;

CrashSuspect part(int Number) {
  return CrashSuspect::ofPromptPart("part-" + std::to_string(Number));
}

/// Crashes with drawn requests that hold drawn parts of a few.
Events draw(std::mt19937_64 &Random) {
  const auto Draw = [&](int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(Random);
  };
  Events Result(static_cast<std::size_t>(Draw(1, 5)));
  int Requests = 0;
  for (Event &Each : Result)
    for (int Count = Draw(1, 4); Count > 0; --Count) {
      RequestSuspects Request{
          .m_Digest = RequestDigest("request-" + std::to_string(Requests++)),
          .m_Parts = {}};
      for (int Parts = Draw(0, 3); Parts > 0; --Parts)
        Request.m_Parts.push_back(part(Draw(0, 6)));
      for (const CrashSuspect &Suspect : Request.all())
        Each.m_Suspects.insert(Suspect);
      Each.m_Requests.insert(std::move(Request));
    }
  return Result;
}

PartExplanation explain(const Events &All) {
  std::vector<PartExplanation::Evidence> Evidence;
  for (const Event &Each : All)
    Evidence.push_back(
        {.m_Requests = &Each.m_Requests, .m_Suspects = &Each.m_Suspects});
  return {Evidence, [](const CrashSuspect &) { return true; }};
}

std::size_t countHolders(const CrashSuspect &Part, const Events &All) {
  std::size_t Result = 0;
  for (const Event &Each : All)
    Result += static_cast<std::size_t>(std::count_if(
        Each.m_Requests.begin(), Each.m_Requests.end(),
        [&](const auto &Request) { return Request.holds(Part); }));
  return Result;
}

/// By trying all pairs.
std::size_t leastHolders(const Events &All) {
  std::size_t Result = PartExplanation::NoExplanation;
  for (int One = 0; One <= 6; ++One)
    for (int Other = One; Other <= 6; ++Other) {
      const CrashSuspect First = part(One);
      const CrashSuspect Second = part(Other);
      const bool Explains =
          std::all_of(All.begin(), All.end(), [&](const Event &Each) {
            return Each.m_Suspects.contains(First) ||
                   Each.m_Suspects.contains(Second);
          });
      const std::size_t Together =
          countHolders(First, All) +
          (One == Other ? 0 : countHolders(Second, All));
      if (Explains)
        Result = std::min(Result, Together);
    }
  return Result;
}

using Cost = std::tuple<std::size_t, std::size_t, std::size_t>;

/// \returns the least cost of \p First, or any part, with another or alone, of
/// parts with fewer holders than \p FewerThan but for \p First; by trying all.
std::optional<Cost> leastCost(const Events &All, std::optional<int> First,
                              std::size_t FewerThan) {
  std::optional<Cost> Result;
  for (int One = First.value_or(0); One <= First.value_or(6); ++One)
    for (int Other = 0; Other <= 6; ++Other) {
      const std::size_t OneHolders = countHolders(part(One), All);
      const std::size_t OtherHolders = countHolders(part(Other), All);
      if ((!First && OneHolders >= FewerThan) ||
          (Other != One && OtherHolders >= FewerThan) ||
          !std::all_of(All.begin(), All.end(), [&](const Event &Each) {
            return Each.m_Suspects.contains(part(One)) ||
                   Each.m_Suspects.contains(part(Other));
          }))
        continue;
      const Cost Found = One == Other
                             ? Cost{OneHolders, 1, OneHolders}
                             : Cost{OneHolders + OtherHolders, 2,
                                    std::max(OneHolders, OtherHolders)};
      Result = std::min(Result.value_or(Found), Found);
    }
  return Result;
}

} // namespace

TEST_CASE("Rarer parts explain crashes in place of a part as trying all pairs "
          "of parts does",
          "[crash][decisions]") {
  std::mt19937_64 Random(20261205);
  int Explained = 0;
  for (int Trial = 0; Trial < 2000; ++Trial) {
    const Events All = draw(Random);
    const PartExplanation Known = explain(All);
    for (int Number = 0; Number <= 6; ++Number) {
      const auto Rarer =
          leastCost(All, std::nullopt, countHolders(part(Number), All));
      const auto With = leastCost(All, Number, PartExplanation::NoExplanation);
      const bool Expected = Rarer && (!With || *Rarer < *With);
      Explained += Expected ? 1 : 0;
      REQUIRE(Known.rarerPartsExplainAll(part(Number)) == Expected);
    }
  }
  REQUIRE(Explained > 0);
}

TEST_CASE("Rare parts explain crashes as trying all pairs of parts does",
          "[crash][decisions]") {
  std::mt19937_64 Random(20261204);
  for (int Trial = 0; Trial < 2000; ++Trial) {
    const Events All = draw(Random);
    const PartExplanation Known = explain(All);
    REQUIRE(Known.leastHolders() == leastHolders(All));
    for (int Number = 0; Number <= 6; ++Number) {
      REQUIRE(Known.holders(part(Number)) == countHolders(part(Number), All));
      const bool AtEach =
          std::all_of(All.begin(), All.end(), [&](const Event &Each) {
            return Each.m_Suspects.contains(part(Number));
          });
      REQUIRE(Known.common().contains(part(Number)) == AtEach);
    }
  }
}

// Boxes answer nothing while they judge crashes.
TEST_CASE("Long conversations at crashes do not hold a box up",
          "[crash][decisions]") {
  CrashTracker Tracker;
  TimePoint Now(100s);
  std::vector<RequestSuspects> Running;
  for (int Number = 0; Number < 8; ++Number) {
    RequestSuspects Request{
        .m_Digest = RequestDigest("request-" + std::to_string(Number)),
        .m_Parts = {}};
    for (int Part = 0; Part < 64; ++Part)
      Request.m_Parts.push_back(part(100 * Number + Part));
    Running.push_back(std::move(Request));
  }
  for (int Crash = 0; Crash < 8; ++Crash) {
    Tracker.recordCrash({.m_Id = "i-" + std::to_string(Crash)}, Running, Now);
    Now += 1s;
    Tracker.quarantineSuspects(BoxName("box"), Now);
  }
  REQUIRE(Tracker.quarantines().size() <= 8 * 65);
}
