#include "decisions/process/ConfigFetchPolicy.h"

#include "support/Draw.h"
#include "support/Names.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace havenstair;

namespace {

const BoxName Relay("relay");
constexpr TimePoint Start{3600s};

ConfigFetchPolicy::PeerVersions peerVersions(ConfigVersion Version,
                                             bool Holds) {
  return {.m_Held = Holds ? Version : 0, .m_Known = Version};
}

/// The ways in which a box can get a configuration.
struct Paths {
  bool m_HasSource = true; ///< A peer can send the version.
  bool m_Watching = false;
  bool m_DefersReads = false;
};

/// How long calls take while their way works.
struct Costs {
  Duration m_Answer = 200ms; ///< A packed copy over a small link.
  Duration m_Read = 1700ms;  ///< Two megabytes over 10 Mbit/s.
  Duration m_Failure = 1s;   ///< Until a call counts as lost.
};

/// Runs a box to which versions are reported at the times \p Versions, and
/// whose calls fail when they begin before \p WorksFrom. \returns when it has
/// the newest version.
TimePoint timeOfNewest(const std::vector<TimePoint> &Versions,
                       TimePoint WorksFrom, const Paths &Available) {
  constexpr Duration Step = 10ms;
  constexpr Duration Longest = 60s;
  const Costs Cost;
  ConfigFetchPolicy Policy;
  std::optional<TimePoint> ReadEnds;
  std::optional<TimePoint> CopyComes;
  bool ReadWorks = false;
  std::size_t Reported = 0;
  for (TimePoint Now = Start; Now < Start + Longest; Now += Step) {
    while (Reported < Versions.size() && Versions[Reported] <= Now)
      Policy.recordReport(Relay,
                          peerVersions(++Reported, Available.m_HasSource), Now);
    if (CopyComes && *CopyComes <= Now && Reported == Versions.size())
      return Now;
    if (ReadEnds && *ReadEnds <= Now) {
      if (ReadWorks && Reported == Versions.size())
        return Now;
      ReadEnds.reset();
    }
    const ConfigStep Next =
        Policy.next({.m_Known = 0,
                     .m_Reading = ReadEnds.has_value(),
                     .m_Watching = Available.m_Watching,
                     .m_DefersReads = Available.m_DefersReads},
                    Now);
    if (Next == ConfigStep::AskPeer && Now >= WorksFrom)
      CopyComes = Now + Cost.m_Answer;
    if (Next == ConfigStep::None || Next == ConfigStep::AskPeer)
      continue;
    ReadWorks = Now >= WorksFrom;
    ReadEnds = Now + (ReadWorks ? Cost.m_Read : Cost.m_Failure);
  }
  return Start + Longest;
}

} // namespace

TEST_CASE("A configuration arrives in time once fetching works again, however "
          "long it has failed",
          "[config-pursuit][property]") {
  // Required by operators, from when the ways work again.
  constexpr Duration Given = 3s;
  rc::prop("in time", [=] {
    std::vector<TimePoint> Versions;
    TimePoint Last = Start;
    const int Count = *drawn(1, 12);
    for (int Number = 0; Number < Count; ++Number) {
      Last += std::chrono::milliseconds(*drawn(0, 3000));
      Versions.push_back(Last);
    }
    const TimePoint WorksFrom =
        Last + std::chrono::milliseconds(*drawn(0, 9000));
    const Paths Available{.m_HasSource = *drawn(0, 1) == 1,
                          .m_Watching = *drawn(0, 1) == 1,
                          .m_DefersReads = *drawn(0, 1) == 1};
    // Without a peer that can send a copy, the box has to read the whole
    // configuration after the read that fails.
    const Duration Whole = Available.m_HasSource ? 0us : Costs{}.m_Failure;
    RC_ASSERT(timeOfNewest(Versions, WorksFrom, Available) - WorksFrom <=
              Given + Whole);
  });
}

TEST_CASE(
    "A box that leaves reading to others asks the peer that has the version",
    "[config-pursuit]") {
  ConfigFetchPolicy Policy;
  const ConfigFetchPolicy::Situation Leaf{.m_Known = 1, .m_DefersReads = true};
  REQUIRE(Policy.next(Leaf, Start) == ConfigStep::None);

  SECTION("at once, and again only after the pause") {
    REQUIRE(Policy.recordReport(Relay, peerVersions(2, true), Start));
    REQUIRE(Policy.next(Leaf, Start) == ConfigStep::AskPeer);
    REQUIRE(Policy.source() == Relay);
    REQUIRE(Policy.next(Leaf, Start + 400ms) == ConfigStep::None);
    REQUIRE(Policy.next(Leaf, Start + 500ms) == ConfigStep::AskPeer);
  }
  SECTION("not a peer that only knows of the version") {
    REQUIRE(Policy.recordReport(Relay, peerVersions(2, false), Start));
    REQUIRE(Policy.source().empty());
    REQUIRE(Policy.next(Leaf, Start + 500ms) == ConfigStep::None);
    REQUIRE_FALSE(
        Policy.recordReport(Relay, peerVersions(2, true), Start + 500ms));
    REQUIRE(Policy.next(Leaf, Start + 500ms) == ConfigStep::AskPeer);
  }
  SECTION("and reads the store when no peer has it for long") {
    REQUIRE(Policy.recordReport(Relay, peerVersions(2, false), Start));
    REQUIRE(Policy.next(Leaf, Start + ConfigFetchPolicy::SourceTimeout) ==
            ConfigStep::ReadStale);
    REQUIRE(Policy.next(Leaf, Start + ConfigFetchPolicy::SourceTimeout +
                                  200ms) == ConfigStep::ReadCurrent);
  }
  SECTION(
      "for the version that it has, not for newer ones that it only knows of") {
    REQUIRE(Policy.recordReport(Relay, {.m_Held = 2, .m_Known = 3}, Start));
    REQUIRE(Policy.next(Leaf, Start) == ConfigStep::AskPeer);
    REQUIRE(Policy.next({.m_Known = 2, .m_DefersReads = true}, Start + 600ms) ==
            ConfigStep::None);
  }
  SECTION("but not a peer that has gone") {
    REQUIRE(Policy.recordReport(Relay, peerVersions(2, true), Start));
    Policy.forget(Relay);
    REQUIRE(Policy.next(Leaf, Start) == ConfigStep::None);
  }
  SECTION("and nobody once it has the version") {
    REQUIRE(Policy.recordReport(Relay, peerVersions(2, true), Start));
    REQUIRE(Policy.behind(1, Start + 300ms) == 300ms);
    REQUIRE(Policy.next({.m_Known = 2}, Start + 300ms) == ConfigStep::None);
    REQUIRE(Policy.behind(2, Start + 300ms) == 0us);
  }
}

TEST_CASE(
    "Each newer version of a series is requested as soon as it is reported",
    "[config-pursuit]") {
  ConfigFetchPolicy Policy;
  const ConfigFetchPolicy::Situation Leaf{.m_Known = 1, .m_DefersReads = true};
  Policy.recordReport(Relay, peerVersions(2, true), Start);
  REQUIRE(Policy.next(Leaf, Start) == ConfigStep::AskPeer);
  Policy.recordReport(Relay, peerVersions(3, true), Start + 250ms);
  REQUIRE(Policy.next(Leaf, Start + 250ms) == ConfigStep::AskPeer);
  REQUIRE(Policy.behind(1, Start + 250ms) == 250ms);
}

TEST_CASE("A box whose own watch delivers nothing restarts it",
          "[config-pursuit]") {
  ConfigFetchPolicy Policy;
  const ConfigFetchPolicy::Situation Box{.m_Known = 1, .m_Watching = true};
  REQUIRE(Policy.recordReport(Relay, peerVersions(2, true), Start));
  REQUIRE(Policy.next(Box, Start + 100ms) == ConfigStep::None);
  REQUIRE(Policy.next(Box, Start + ConfigFetchPolicy::WatchSilenceTimeout) ==
          ConfigStep::RestartWatch);
  REQUIRE(Policy.next({.m_Known = 1, .m_Reading = true, .m_Watching = true},
                      Start + ConfigFetchPolicy::AskDelayWhileReading) ==
          ConfigStep::AskPeer);
}
