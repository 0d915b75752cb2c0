#include "decisions/process/UpstreamSignals.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

InstanceList listOf(StartTime Started) {
  InstanceList List;
  List.m_Instances["s"] = {
      .m_Id = "s", .m_Service = "x", .m_StartTime = Started};
  return List;
}

constexpr TimePoint Start(1000s);
const BoxName Self("box");
const BoxName Other("other");

} // namespace

TEST_CASE("A limit holds until an answer to a later request has none",
          "[server-words]") {
  UpstreamSignals Signals;
  Signals.update(listOf(1), Start);
  const UpstreamIncarnation Upstream{.m_Id = "s", .m_StartTime = 1};
  const auto RecordLimit = [&](std::optional<double> RatePerSecond,
                               Duration Sent, Duration Received) {
    return Signals.recordLimit(Upstream, RatePerSecond, Self, Start + Sent,
                               Start + Received);
  };
  REQUIRE(RecordLimit(std::nullopt, 0ms, 1ms) == LimitChange::None);
  REQUIRE(RecordLimit(2.5, 1ms, 10ms) == LimitChange::Begun);
  REQUIRE(RecordLimit(2.5, 2ms, 11ms) == LimitChange::None);
  REQUIRE(RecordLimit(std::nullopt, 9ms, 12ms) == LimitChange::None);
  REQUIRE(RecordLimit(0.5, 9ms, 20ms) == LimitChange::Altered);
  REQUIRE(*Signals.limit("s") == AdvertisedLimit{.m_RatePerSecond = 0.5,
                                                 .m_Since = Start + 10ms,
                                                 .m_ReceivedAt = Start + 20ms,
                                                 .m_ReportedBy = Self});
  REQUIRE(RecordLimit(std::nullopt, 15ms, 30ms) == LimitChange::None);
  REQUIRE(RecordLimit(std::nullopt, 21ms, 40ms) == LimitChange::Ended);
  REQUIRE(Signals.limit("s") == nullptr);
}

TEST_CASE("A limit that another box reports holds like one in an answer",
          "[server-words]") {
  UpstreamSignals Signals;
  Signals.update(listOf(1), Start);
  const UpstreamIncarnation Upstream{.m_Id = "s", .m_StartTime = 1};
  REQUIRE(Signals.mergeLimit(Upstream, 0, Other, 700ms, Start + 1s) ==
          LimitChange::Begun);
  REQUIRE(Signals.limit("s")->m_Since == Start + 300ms);
  REQUIRE(Signals.recordLimit(Upstream, std::nullopt, Self, Start + 900ms,
                              Start + 2s) == LimitChange::None);
  REQUIRE(Signals.mergeLimit(Upstream, std::nullopt, Other, 0ms, Start + 2s) ==
          LimitChange::Ended);
}

TEST_CASE("Signals of an upstream end with its incarnation", "[server-words]") {
  UpstreamSignals Signals;
  Signals.update(listOf(1), Start);
  const UpstreamIncarnation Upstream{.m_Id = "s", .m_StartTime = 1};
  Signals.recordLimit(Upstream, 1, Self, Start, Start + 1s);
  SECTION("when a later incarnation is listed") {
    Signals.update(listOf(2), Start + 2s);
    REQUIRE(Signals.limit("s") == nullptr);
    REQUIRE(Signals.recordLimit(Upstream, 1, Self, Start + 2s, Start + 3s) ==
            LimitChange::None);
  }
  SECTION("when it is missing from the list for long, but not for a moment") {
    Signals.update({}, Start + 2s);
    REQUIRE(Signals.limit("s") != nullptr);
    Signals.update({}, Start + 2s + UpstreamSignals::RememberFor + 1ms);
    REQUIRE(Signals.limit("s") == nullptr);
  }
  SECTION("when a later incarnation signals before it is listed") {
    const UpstreamIncarnation Later{.m_Id = "s", .m_StartTime = 2};
    REQUIRE(Signals.mergeLimit(Later, 3, Other, 0ms, Start + 2s) ==
            LimitChange::Begun);
    REQUIRE(Signals.limit("s")->m_RatePerSecond == 3);
    REQUIRE(Signals.mergeLimit(Upstream, 1, Other, 0ms, Start + 2s) ==
            LimitChange::None);
  }
  SECTION("but not by a late list with an earlier incarnation") {
    Signals.update(listOf(0), Start + 2s);
    REQUIRE(Signals.limit("s") != nullptr);
  }
}

TEST_CASE("A refusal limit ends with an answer without one to a later request, "
          "and apart from a rate limit",
          "[server-words]") {
  UpstreamSignals Signals;
  Signals.update(listOf(1), Start);
  const UpstreamIncarnation Upstream{.m_Id = "s", .m_StartTime = 1};
  REQUIRE(Signals.recordRefusalLimit(Upstream, 4, Self, Start, Start + 1s) ==
          LimitChange::Begun);
  REQUIRE(Signals.limit("s") == nullptr);
  REQUIRE(Signals.refusalLimits().size() == 1);
  REQUIRE(Signals.mergeRefusalLimit(Upstream, 2, Other, 1s, Start + 2s) ==
          LimitChange::Altered);
  REQUIRE(Signals.refusalLimit("s")->m_RatePerSecond == 2);
  REQUIRE(Signals.recordLimit(Upstream, std::nullopt, Self, Start + 3s,
                              Start + 4s) == LimitChange::None);
  REQUIRE(Signals.recordRefusalLimit(Upstream, std::nullopt, Self, Start + 1s,
                                     Start + 4s) == LimitChange::None);
  SECTION("by such an answer") {
    REQUIRE(Signals.recordRefusalLimit(Upstream, std::nullopt, Self, Start + 3s,
                                       Start + 4s) == LimitChange::Ended);
  }
  SECTION("by the word of another box") {
    REQUIRE(Signals.mergeRefusalLimit(Upstream, std::nullopt, Other, 0s,
                                      Start + 4s) == LimitChange::Ended);
  }
  SECTION("by another incarnation") { Signals.update(listOf(2), Start + 4s); }
  REQUIRE(Signals.refusalLimit("s") == nullptr);
}

TEST_CASE("A leaving notice holds for the rest of the incarnation",
          "[server-words]") {
  UpstreamSignals Signals;
  const UpstreamIncarnation Upstream{.m_Id = "s", .m_StartTime = 1};
  Signals.update(listOf(1), Start);
  REQUIRE(Signals.leaving().empty());
  REQUIRE(Signals.recordLeaving(Upstream, Other, Start));
  REQUIRE_FALSE(Signals.recordLeaving(Upstream, Self, Start + 1s));
  REQUIRE(Signals.leaving() ==
          std::map<UpstreamIncarnation, LeavingNotice>{
              {Upstream, {.m_Since = Start, .m_ReportedBy = Other}}});
  Signals.update(listOf(1), Start + 9s);
  REQUIRE(Signals.leaving().size() == 1);
  Signals.update(listOf(2), Start + 10s);
  REQUIRE(Signals.leaving().empty());
  REQUIRE_FALSE(Signals.recordLeaving(Upstream, Self, Start + 11s));
}

TEST_CASE("The latest of several retry times holds, for one incarnation",
          "[server-words]") {
  UpstreamSignals Signals;
  const UpstreamIncarnation Upstream{.m_Id = "s", .m_StartTime = 1};
  REQUIRE_FALSE(Signals.retryAt("s", Start));
  REQUIRE(Signals.recordRetryAfter(Upstream, 3s, Start));
  REQUIRE_FALSE(Signals.recordRetryAfter(Upstream, 1s, Start + 1s));
  REQUIRE(Signals.retryAt("s", Start + 2s) == Start + 3s);
  REQUIRE(Signals.recordRetryAfter(Upstream, 2s, Start + 2s));
  REQUIRE(Signals.retryAt("s", Start + 3s) == Start + 4s);
  REQUIRE(Signals.backedOffCount(Start + 3s) == 1);
  REQUIRE_FALSE(Signals.retryAt("s", Start + 4s));
  REQUIRE(Signals.backedOffCount(Start + 4s) == 0);
  SECTION("a later incarnation takes requests") {
    Signals.update(listOf(2), Start + 3s);
    REQUIRE_FALSE(Signals.retryAt("s", Start + 3s));
  }
}
