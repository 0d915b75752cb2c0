#include "gateway/request/SendStatistics.h"

#include "gateway/process/ServingState.h"
#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

const TimePoint SentAt = TimePoint() + 10s;

void list(ServingState &State, StartTime Started) {
  const std::uint64_t Number = State.m_Upstreams.list().m_Revision.m_Number + 1;
  State.m_Upstreams.update({.m_Revision = {.m_Number = Number},
                            .m_Instances = {{"i-1",
                                             {.m_Id = "i-1",
                                              .m_Service = "s",
                                              .m_StartTime = Started}}}},
                           SentAt);
}

SendStatistics sent(ServingState &State) {
  return {State,
          {.m_Upstream = {.m_Id = "i-1", .m_StartTime = 1},
           .m_Model = "m",
           .m_SentAt = SentAt,
           .m_WorkMs = 80,
           .m_Tokens = 500}};
}

InstanceLoad load(const ServingState &State) {
  return State.m_Loads.load("i-1", SentAt);
}

double failureRate(const ServingState &State) {
  return State.m_Failures.rate("i-1", SentAt);
}

} // namespace

TEST_CASE("A send counts as load until it ends, and its work until its answer "
          "begins",
          "[gateway][send-statistics]") {
  ServingState State;
  list(State, 1);
  SendStatistics Statistics = sent(State);
  REQUIRE(load(State) ==
          InstanceLoad{.m_Running = 1, .m_PendingMs = 80, .m_Tokens = 500});
  SECTION("with an answer") {
    Statistics.onStarted(SentAt + 90ms);
    REQUIRE(load(State) == InstanceLoad{.m_Running = 1, .m_Tokens = 500});
  }
  SECTION("without one") {}
  REQUIRE(Statistics.running());
  Statistics.onEnded();
  REQUIRE_FALSE(Statistics.running());
  REQUIRE(load(State) == InstanceLoad{});
}

TEST_CASE("The outcome of a send counts for its upstream's failure rate",
          "[gateway][send-statistics]") {
  ServingState State;
  list(State, 1);
  SendStatistics Statistics = sent(State);
  SECTION("An answer is no failure, nor one that may be whole") {
    Statistics.recordOutcome(SendOutcome::Answered, false, SentAt);
    Statistics.recordOutcome(SendOutcome::Broken, true, SentAt);
    REQUIRE(failureRate(State) == 0);
  }
  SECTION("An upstream that cannot be reached fails for others as well") {
    Statistics.recordOutcome(SendOutcome::NotSent, false, SentAt);
    REQUIRE(failureRate(State) > 0.9);
  }
  SECTION("A broken answer is one failure") {
    Statistics.recordOutcome(SendOutcome::Broken, false, SentAt);
    REQUIRE(failureRate(State) > 0);
    REQUIRE(failureRate(State) < 0.9);
  }
}

TEST_CASE("What an upstream did before it restarted does not count for the "
          "one that took its name",
          "[gateway][send-statistics]") {
  ServingState State;
  list(State, 1);
  SendStatistics Statistics = sent(State);
  list(State, 2);
  State.forget("i-1");
  REQUIRE(Statistics.upstreamRestarted());
  SendStatistics Next(State, {.m_Upstream = {.m_Id = "i-1", .m_StartTime = 2},
                              .m_WorkMs = 5,
                              .m_Tokens = 6});
  const InstanceLoad Expected = load(State);
  REQUIRE(Expected.m_Running == 1);
  Statistics.onStarted(SentAt + 90ms);
  Statistics.onEnded();
  Statistics.recordOutcome(SendOutcome::Broken, false, SentAt);
  REQUIRE(load(State) == Expected);
  REQUIRE(failureRate(State) == 0);
}
