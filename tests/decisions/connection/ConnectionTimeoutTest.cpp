#include "decisions/connection/ConnectionTimeout.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

constexpr TimePoint Start{1000s};
constexpr CallerTimeouts Limits{.m_Header = 3s, .m_Idle = 12s};
constexpr SendProgress Nothing{};

} // namespace

TEST_CASE("A silent answer has no timeout of its connection",
          "[caller-timeout]") {
  ConnectionTimeout Timeout(Start);
  Timeout.enter(ConnectionStage::Answering, Start);
  for (Duration After : {1s, 5s, 25s, 60s, 3600s})
    REQUIRE_FALSE(Timeout.look(Limits, Nothing, Start + After).m_Expired);
}

TEST_CASE("An answer that nobody reads expires from the time when bytes waited",
          "[caller-timeout]") {
  ConnectionTimeout Timeout(Start);
  Timeout.enter(ConnectionStage::Answering, Start);
  Timeout.noteSent(Start + 60s);
  const SendProgress Waiting{.m_Unsent = true};
  REQUIRE_FALSE(Timeout.look(Limits, Waiting, Start + 71s).m_Expired);
  REQUIRE(Timeout.look(Limits, Waiting, Start + 72s).m_Expired == 12s);
}

TEST_CASE("Bytes that the other side acknowledges are progress",
          "[caller-timeout]") {
  ConnectionTimeout Timeout(Start);
  Timeout.enter(ConnectionStage::Delivering, Start);
  SendProgress Slow{.m_Unsent = true, .m_Unacknowledged = true};
  for (int Second = 10; Second <= 100; Second += 10) {
    Slow.m_Acknowledged = 1000 * Second;
    REQUIRE_FALSE(
        Timeout.look(Limits, Slow, Start + std::chrono::seconds(Second))
            .m_Expired);
  }
  SECTION("and the same number of them is none") {
    REQUIRE(Timeout.look(Limits, Slow, Start + 112s).m_Expired == 12s);
  }
}

TEST_CASE("Answers to probes of a closed window are no progress",
          "[caller-timeout]") {
  ConnectionTimeout Timeout(Start);
  Timeout.enter(ConnectionStage::Delivering, Start);
  const SendProgress Stalled{.m_Unsent = true,
                             .m_Unacknowledged = true,
                             .m_Acknowledged = 5000,
                             .m_SinceAcknowledgement = 100ms};
  REQUIRE_FALSE(Timeout.look(Limits, Stalled, Start + 3s).m_Expired);
  REQUIRE_FALSE(Timeout.look(Limits, Stalled, Start + 14s).m_Expired);
  REQUIRE(Timeout.look(Limits, Stalled, Start + 15s).m_Expired == 12s);
}

TEST_CASE("A rest counts from the last acknowledgement of the answer",
          "[caller-timeout]") {
  ConnectionTimeout Timeout(Start);
  Timeout.enter(ConnectionStage::Delivering, Start);
  const SendProgress Read{.m_Acknowledged = 5000, .m_SinceAcknowledgement = 1s};
  REQUIRE_FALSE(Timeout.look(Limits, Read, Start + 3s).m_Expired);
  REQUIRE(Timeout.stage() == ConnectionStage::AwaitingHead);
  REQUIRE_FALSE(Timeout.look(Limits, Read, Start + 13s).m_Expired);
  REQUIRE(Timeout.look(Limits, Read, Start + 14s).m_Expired == 12s);
}

TEST_CASE("A head is bounded from its first byte, however it comes",
          "[caller-timeout]") {
  ConnectionTimeout Timeout(Start);
  Timeout.enter(ConnectionStage::InHead, Start + 5s);
  Timeout.noteRead(Start + 7s);
  REQUIRE_FALSE(Timeout.look(Limits, Nothing, Start + 7s).m_Expired);
  REQUIRE(Timeout.look(Limits, Nothing, Start + 8s).m_Expired == 3s);
}

TEST_CASE("A changed limit counts from the last progress", "[caller-timeout]") {
  ConnectionTimeout Timeout(Start);
  const CallerTimeouts Lower{.m_Header = 3s, .m_Idle = 2s};
  REQUIRE(Timeout.look(Lower, Nothing, Start + 3s).m_Expired == 2s);
  const CallerTimeouts Higher{.m_Header = 3s, .m_Idle = 30s};
  REQUIRE_FALSE(Timeout.look(Higher, Nothing, Start + 25s).m_Expired);
}

TEST_CASE("Who looks when told finds each limit when it is reached",
          "[caller-timeout]") {
  const ConnectionStage Stage =
      GENERATE(ConnectionStage::AwaitingHead, ConnectionStage::InHead,
               ConnectionStage::InBody, ConnectionStage::Delivering);
  ConnectionTimeout Timeout(Start);
  Timeout.enter(Stage, Start);
  const SendProgress Stalled{.m_Unacknowledged = true};
  TimePoint Now = Timeout.nextLook(Limits, Start);
  ConnectionTimeout::Look Seen = Timeout.look(Limits, Stalled, Now);
  while (!Seen.m_Expired) {
    REQUIRE(Seen.m_Next > Now);
    Now = Seen.m_Next;
    Seen = Timeout.look(Limits, Stalled, Now);
  }
  REQUIRE(Now - Start == *Seen.m_Expired);
}
