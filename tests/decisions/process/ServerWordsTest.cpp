#include "decisions/process/ServerWords.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

InstanceList listOf(UpstreamBirth Born) {
  InstanceList List;
  List.m_Instances["s"] = {.m_Id = "s", .m_Service = "x", .m_Born = Born};
  return List;
}

constexpr TimePoint Start(1000s);
const BoxName Self("box");
const BoxName Other("other");

} // namespace

TEST_CASE("A limit holds until an answer to a later request names none",
          "[server-words]") {
  ServerWords Words;
  Words.listed(listOf(1), Start);
  const UpstreamLife Server{.m_Id = "s", .m_Born = 1};
  const auto Hear = [&](std::optional<double> PerS, Duration Sent,
                        Duration Heard) {
    return Words.heardLimit(Server, PerS, Self, Start + Sent, Start + Heard);
  };
  REQUIRE(Hear(std::nullopt, 0ms, 1ms) == LimitChange::None);
  REQUIRE(Hear(2.5, 1ms, 10ms) == LimitChange::Begun);
  REQUIRE(Hear(2.5, 2ms, 11ms) == LimitChange::None);
  REQUIRE(Hear(std::nullopt, 9ms, 12ms) == LimitChange::None);
  REQUIRE(Hear(0.5, 9ms, 20ms) == LimitChange::Altered);
  REQUIRE(*Words.limit("s") == NamedLimit{.m_PerS = 0.5,
                                          .m_Since = Start + 10ms,
                                          .m_Heard = Start + 20ms,
                                          .m_By = Self});
  REQUIRE(Hear(std::nullopt, 15ms, 30ms) == LimitChange::None);
  REQUIRE(Hear(std::nullopt, 21ms, 40ms) == LimitChange::Ended);
  REQUIRE(Words.limit("s") == nullptr);
}

TEST_CASE("What another box heard of a server counts as heard",
          "[server-words]") {
  ServerWords Words;
  Words.listed(listOf(1), Start);
  const UpstreamLife Server{.m_Id = "s", .m_Born = 1};
  REQUIRE(Words.toldLimit(Server, 0, Other, 700ms, Start + 1s) ==
          LimitChange::Begun);
  REQUIRE(Words.limit("s")->m_Since == Start + 300ms);
  REQUIRE(Words.heardLimit(Server, std::nullopt, Self, Start + 900ms,
                           Start + 2s) == LimitChange::None);
  REQUIRE(Words.toldLimit(Server, std::nullopt, Other, 0ms, Start + 2s) ==
          LimitChange::Ended);
}

TEST_CASE("Words of a server end with its life", "[server-words]") {
  ServerWords Words;
  Words.listed(listOf(1), Start);
  const UpstreamLife Server{.m_Id = "s", .m_Born = 1};
  Words.heardLimit(Server, 1, Self, Start, Start + 1s);
  SECTION("when it is listed as another life") {
    Words.listed(listOf(2), Start + 2s);
    REQUIRE(Words.limit("s") == nullptr);
    REQUIRE(Words.heardLimit(Server, 1, Self, Start + 2s, Start + 3s) ==
            LimitChange::None);
  }
  SECTION("when it has left the list for long, but not for a short time") {
    Words.listed({}, Start + 2s);
    REQUIRE(Words.limit("s") != nullptr);
    Words.listed({}, Start + 2s + ServerWords::RememberFor + 1ms);
    REQUIRE(Words.limit("s") == nullptr);
  }
  SECTION("when a later life speaks before the list tells of it") {
    const UpstreamLife Later{.m_Id = "s", .m_Born = 2};
    REQUIRE(Words.toldLimit(Later, 3, Other, 0ms, Start + 2s) ==
            LimitChange::Begun);
    REQUIRE(Words.limit("s")->m_PerS == 3);
    REQUIRE(Words.toldLimit(Server, 1, Other, 0ms, Start + 2s) ==
            LimitChange::None);
  }
  SECTION("though not with a late word of a former life") {
    Words.listed(listOf(0), Start + 2s);
    REQUIRE(Words.limit("s") != nullptr);
  }
}

TEST_CASE("A server leaves for the rest of its life", "[server-words]") {
  ServerWords Words;
  const UpstreamLife Server{.m_Id = "s", .m_Born = 1};
  Words.listed(listOf(1), Start);
  REQUIRE(Words.leaving().empty());
  REQUIRE(Words.heardLeaving(Server, Other, Start));
  REQUIRE_FALSE(Words.heardLeaving(Server, Self, Start + 1s));
  REQUIRE(Words.leaving() == std::map<UpstreamLife, SaidLeaving>{
                                 {Server, {.m_Since = Start, .m_By = Other}}});
  Words.listed(listOf(1), Start + 9s);
  REQUIRE(Words.leaving().size() == 1);
  Words.listed(listOf(2), Start + 10s);
  REQUIRE(Words.leaving().empty());
  REQUIRE_FALSE(Words.heardLeaving(Server, Self, Start + 11s));
}

TEST_CASE("Of several times to retry after the latest holds, for one life",
          "[server-words]") {
  ServerWords Words;
  const UpstreamLife Server{.m_Id = "s", .m_Born = 1};
  REQUIRE_FALSE(Words.retryAt("s", Start));
  REQUIRE(Words.heardRetryAfter(Server, 3s, Start));
  REQUIRE_FALSE(Words.heardRetryAfter(Server, 1s, Start + 1s));
  REQUIRE(Words.retryAt("s", Start + 2s) == Start + 3s);
  REQUIRE(Words.heardRetryAfter(Server, 2s, Start + 2s));
  REQUIRE(Words.retryAt("s", Start + 3s) == Start + 4s);
  REQUIRE(Words.backedOff(Start + 3s) == 1);
  REQUIRE_FALSE(Words.retryAt("s", Start + 4s));
  REQUIRE(Words.backedOff(Start + 4s) == 0);
  SECTION("a later life takes requests") {
    Words.listed(listOf(2), Start + 3s);
    REQUIRE_FALSE(Words.retryAt("s", Start + 3s));
  }
}
