#include "decisions/process/ConfigPursuit.h"

#include "support/Draw.h"
#include "support/Names.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace havenstair;

namespace {

const BoxName Relay("relay");
constexpr TimePoint Start{3600s};

ConfigPursuit::Word word(ConfigVersion Version, bool Holds) {
  return {.m_Held = Holds ? Version : 0, .m_Known = Version};
}

/// Which of its ways to a configuration a box has.
struct Ways {
  bool m_Holder = true; ///< Another box tells that it holds the version.
  bool m_Watching = false;
  bool m_LeavesReads = false;
};

/// How long what a box begins takes, where its way is well.
struct Costs {
  Duration m_Answer = 200ms; ///< A packed copy over a small link.
  Duration m_Read = 1700ms;  ///< Two megabytes over 10 Mbit/s.
  Duration m_Failure = 1s;   ///< Until a call counts as lost.
};

/// A box that was told of versions at \p Versions, and whose ways fail what
/// was begun before \p Well. \returns when it has the newest one.
TimePoint haveIt(const std::vector<TimePoint> &Versions, TimePoint Well,
                 const Ways &Of) {
  constexpr Duration Step = 10ms;
  constexpr Duration Longest = 60s;
  const Costs Takes;
  ConfigPursuit Pursuit;
  std::optional<TimePoint> ReadEnds;
  std::optional<TimePoint> CopyComes;
  bool ReadIsWell = false;
  std::size_t Told = 0;
  for (TimePoint Now = Start; Now < Start + Longest; Now += Step) {
    while (Told < Versions.size() && Versions[Told] <= Now)
      Pursuit.told(Relay, word(++Told, Of.m_Holder), Now);
    if (CopyComes && *CopyComes <= Now && Told == Versions.size())
      return Now;
    if (ReadEnds && *ReadEnds <= Now) {
      if (ReadIsWell && Told == Versions.size())
        return Now;
      ReadEnds.reset();
    }
    const ConfigStep Next = Pursuit.next({.m_Known = 0,
                                          .m_Reading = ReadEnds.has_value(),
                                          .m_Watching = Of.m_Watching,
                                          .m_LeavesReads = Of.m_LeavesReads},
                                         Now);
    if (Next == ConfigStep::Ask && Now >= Well)
      CopyComes = Now + Takes.m_Answer;
    if (Next == ConfigStep::None || Next == ConfigStep::Ask)
      continue;
    ReadIsWell = Now >= Well;
    ReadEnds = Now + (ReadIsWell ? Takes.m_Read : Takes.m_Failure);
  }
  return Start + Longest;
}

} // namespace

TEST_CASE(
    "However long the ways to a configuration have failed, it is there in "
    "time once they are well",
    "[config-pursuit][property]") {
  // What operators want, from when the ways are well again.
  constexpr Duration Given = 3s;
  rc::prop("in time", [=] {
    std::vector<TimePoint> Versions;
    TimePoint Last = Start;
    const int Count = *drawn(1, 12);
    for (int Number = 0; Number < Count; ++Number) {
      Last += std::chrono::milliseconds(*drawn(0, 3000));
      Versions.push_back(Last);
    }
    const TimePoint Well = Last + std::chrono::milliseconds(*drawn(0, 9000));
    const Ways Of{.m_Holder = *drawn(0, 1) == 1,
                  .m_Watching = *drawn(0, 1) == 1,
                  .m_LeavesReads = *drawn(0, 1) == 1};
    // A box that nobody can send a copy has to read all of it, after the read
    // that fails.
    const Duration Whole = Of.m_Holder ? 0us : Costs{}.m_Failure;
    RC_ASSERT(haveIt(Versions, Well, Of) - Well <= Given + Whole);
  });
}

TEST_CASE("A box that leaves the reading to others asks the one that has it",
          "[config-pursuit]") {
  ConfigPursuit Pursuit;
  const ConfigPursuit::Situation Leaf{.m_Known = 1, .m_LeavesReads = true};
  REQUIRE(Pursuit.next(Leaf, Start) == ConfigStep::None);

  SECTION("at once, and not again before it may have answered") {
    REQUIRE(Pursuit.told(Relay, word(2, true), Start));
    REQUIRE(Pursuit.next(Leaf, Start) == ConfigStep::Ask);
    REQUIRE(Pursuit.holder() == Relay);
    REQUIRE(Pursuit.next(Leaf, Start + 400ms) == ConfigStep::None);
    REQUIRE(Pursuit.next(Leaf, Start + 500ms) == ConfigStep::Ask);
  }
  SECTION("not one that only knows of it") {
    REQUIRE(Pursuit.told(Relay, word(2, false), Start));
    REQUIRE(Pursuit.holder().empty());
    REQUIRE(Pursuit.next(Leaf, Start + 500ms) == ConfigStep::None);
    REQUIRE_FALSE(Pursuit.told(Relay, word(2, true), Start + 500ms));
    REQUIRE(Pursuit.next(Leaf, Start + 500ms) == ConfigStep::Ask);
  }
  SECTION("and reads the store when nobody has it for long") {
    REQUIRE(Pursuit.told(Relay, word(2, false), Start));
    REQUIRE(Pursuit.next(Leaf, Start + ConfigPursuit::HolderAnswers) ==
            ConfigStep::ReadStale);
    REQUIRE(Pursuit.next(Leaf, Start + ConfigPursuit::HolderAnswers + 200ms) ==
            ConfigStep::ReadCurrent);
  }
  SECTION("for what it has while it only knows of newer ones") {
    REQUIRE(Pursuit.told(Relay, {.m_Held = 2, .m_Known = 3}, Start));
    REQUIRE(Pursuit.next(Leaf, Start) == ConfigStep::Ask);
    REQUIRE(Pursuit.next({.m_Known = 2, .m_LeavesReads = true},
                         Start + 600ms) == ConfigStep::None);
  }
  SECTION("but none that has gone") {
    REQUIRE(Pursuit.told(Relay, word(2, true), Start));
    Pursuit.forget(Relay);
    REQUIRE(Pursuit.next(Leaf, Start) == ConfigStep::None);
  }
  SECTION("and nobody once it has it") {
    REQUIRE(Pursuit.told(Relay, word(2, true), Start));
    REQUIRE(Pursuit.behind(1, Start + 300ms) == 300ms);
    REQUIRE(Pursuit.next({.m_Known = 2}, Start + 300ms) == ConfigStep::None);
    REQUIRE(Pursuit.behind(2, Start + 300ms) == 0us);
  }
}

TEST_CASE("Each newer version of a series is asked for as it is told",
          "[config-pursuit]") {
  ConfigPursuit Pursuit;
  const ConfigPursuit::Situation Leaf{.m_Known = 1, .m_LeavesReads = true};
  Pursuit.told(Relay, word(2, true), Start);
  REQUIRE(Pursuit.next(Leaf, Start) == ConfigStep::Ask);
  Pursuit.told(Relay, word(3, true), Start + 250ms);
  REQUIRE(Pursuit.next(Leaf, Start + 250ms) == ConfigStep::Ask);
  REQUIRE(Pursuit.behind(1, Start + 250ms) == 250ms);
}

TEST_CASE("A box whose own watch does not tell begins it again",
          "[config-pursuit]") {
  ConfigPursuit Pursuit;
  const ConfigPursuit::Situation Box{.m_Known = 1, .m_Watching = true};
  REQUIRE(Pursuit.told(Relay, word(2, true), Start));
  REQUIRE(Pursuit.next(Box, Start + 100ms) == ConfigStep::None);
  REQUIRE(Pursuit.next(Box, Start + ConfigPursuit::WatchTells) ==
          ConfigStep::ReadAnew);
  REQUIRE(Pursuit.next({.m_Known = 1, .m_Reading = true, .m_Watching = true},
                       Start + ConfigPursuit::AskWhileReading) ==
          ConfigStep::Ask);
}
