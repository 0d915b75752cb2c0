#include "wire/process/PlatformClient.h"
#include "standin/StandinPlatform.h"
#include "wire/common/EventLoop.h"
#include "wire/process/PlatformWatch.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;

/// A client and a stand-in for the platform, on one event loop.
struct ClientAndPlatform {
  PlatformStatus swap(const std::string &Key, const std::string &Value,
                      PlatformIndex Expected) {
    std::optional<PlatformStatus> Result;
    m_Client.swap({{Key, Value, Expected}},
                  [&](PlatformStatus Status) { Result = Status; });
    REQUIRE(m_Loop.runUntil([&] { return Result.has_value(); }, Limit));
    return *Result;
  }

  PlatformRead read(const std::string &Key) {
    std::optional<PlatformRead> Result;
    m_Client.read(Key, {},
                  [&](PlatformRead Read) { Result = std::move(Read); });
    REQUIRE(m_Loop.runUntil([&] { return Result.has_value(); }, Limit));
    return *Result;
  }

  EventLoop m_Loop;
  StandinPlatform m_Platform{m_Loop, {"127.0.0.1", 0}};
  HttpClient m_Http{m_Loop};
  PlatformClient m_Client{m_Http, {.m_Address = m_Platform.endpoint()}};
};

} // namespace

TEST_CASE("Of two compare-and-swaps with the same index, one succeeds",
          "[platform]") {
  ClientAndPlatform Fixture;
  REQUIRE(Fixture.read("a").m_Status == PlatformStatus::NotFound);
  REQUIRE(Fixture.swap("a", "one", 0) == PlatformStatus::Ok);
  REQUIRE(Fixture.swap("a", "two", 0) == PlatformStatus::Conflict);
  const PlatformRead Read = Fixture.read("a");
  REQUIRE(Read.m_Entries.at(0).m_Value == "one");
  REQUIRE(Fixture.swap("a", std::string("\0\xff", 2),
                       Read.m_Entries.at(0).m_ModifyIndex) ==
          PlatformStatus::Ok);
  REQUIRE(Fixture.read("a").m_Entries.at(0).m_Value ==
          std::string("\0\xff", 2));
}

TEST_CASE("A waiting read answers after a change, not before", "[platform]") {
  ClientAndPlatform Fixture;
  Fixture.swap("p/a", "one", 0);
  const PlatformIndex Now = Fixture.read("p/a").m_Index;
  std::optional<PlatformRead> Result;
  const auto Take = [&](PlatformRead Read) { Result = std::move(Read); };
  SECTION("of one key") { Fixture.m_Client.read("p/a", {Now, 10s}, Take); }
  SECTION("of a prefix") { Fixture.m_Client.list("p/", {Now, 10s}, Take); }
  // Other calls are answered meanwhile.
  for (int Count = 0; Count < 10; ++Count)
    Fixture.read("elsewhere");
  REQUIRE_FALSE(Result);
  Fixture.swap("p/a", "two", Now);
  REQUIRE(Fixture.m_Loop.runUntil([&] { return Result.has_value(); }, Limit));
  REQUIRE(Result->m_Entries.at(0).m_Value == "two");
}

TEST_CASE("The pauses of a watch grow while the platform is down",
          "[platform][retry]") {
  ClientAndPlatform Fixture;
  int Reads = 0;
  const PlatformWatch Watch(
      Fixture.m_Loop, {.m_Read =
                           [&](PlatformWait, const PlatformWatch::Next &Next) {
                             ++Reads;
                             Next(PlatformStatus::Lost, 0);
                           },
                       .m_Random = [] { return 1.0; },
                       .m_RetryFirst = 10ms,
                       .m_RetryCap = 40ms});
  const TimePoint Began = EventLoop::now();
  REQUIRE(Fixture.m_Loop.runUntil([&] { return Reads == 6; }, Limit));
  // The five pauses are at least 10, 20, 40, 40 and 40 ms.
  REQUIRE(EventLoop::now() - Began >= 150ms);
  REQUIRE_FALSE(Watch.current());
}
