#include "wire/process/PlatformClient.h"
#include "standin/StandinPlatform.h"
#include "wire/common/EventLoop.h"
#include "wire/process/PlatformWatch.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;

/// A client and the platform that it talks to, on one loop.
struct Pair {
  PlatformStatus swap(const std::string &Key, const std::string &Value,
                      PlatformIndex Expected) {
    std::optional<PlatformStatus> Got;
    m_Client.swap({{Key, Value, Expected}},
                  [&](PlatformStatus Status) { Got = Status; });
    REQUIRE(m_Loop.runUntil([&] { return Got.has_value(); }, Limit));
    return *Got;
  }

  PlatformRead read(const std::string &Key) {
    std::optional<PlatformRead> Got;
    m_Client.read(Key, {}, [&](PlatformRead Read) { Got = std::move(Read); });
    REQUIRE(m_Loop.runUntil([&] { return Got.has_value(); }, Limit));
    return *Got;
  }

  EventLoop m_Loop;
  StandinPlatform m_Platform{m_Loop, {"127.0.0.1", 0}};
  HttpClient m_Http{m_Loop};
  PlatformClient m_Client{m_Http, {.m_Address = m_Platform.endpoint()}};
};

} // namespace

TEST_CASE("A compare-and-swap wins once", "[platform]") {
  Pair Under;
  REQUIRE(Under.read("a").m_Status == PlatformStatus::NotFound);
  REQUIRE(Under.swap("a", "one", 0) == PlatformStatus::Ok);
  REQUIRE(Under.swap("a", "two", 0) == PlatformStatus::Conflict);
  const PlatformRead Read = Under.read("a");
  REQUIRE(Read.m_Entries.at(0).m_Value == "one");
  REQUIRE(Under.swap("a", std::string("\0\xff", 2),
                     Read.m_Entries.at(0).m_ModifyIndex) == PlatformStatus::Ok);
  REQUIRE(Under.read("a").m_Entries.at(0).m_Value == std::string("\0\xff", 2));
}

TEST_CASE("A waiting read answers when something changed, not before",
          "[platform]") {
  Pair Under;
  Under.swap("p/a", "one", 0);
  const PlatformIndex Now = Under.read("p/a").m_Index;
  std::optional<PlatformRead> Got;
  const auto Take = [&](PlatformRead Read) { Got = std::move(Read); };
  SECTION("of one key") { Under.m_Client.read("p/a", {Now, 10s}, Take); }
  SECTION("of a prefix") { Under.m_Client.list("p/", {Now, 10s}, Take); }
  // Other calls come and go meanwhile.
  for (int Count = 0; Count < 10; ++Count)
    Under.read("elsewhere");
  REQUIRE_FALSE(Got);
  Under.swap("p/a", "two", Now);
  REQUIRE(Under.m_Loop.runUntil([&] { return Got.has_value(); }, Limit));
  REQUIRE(Got->m_Entries.at(0).m_Value == "two");
}

TEST_CASE("A watch waits longer and longer while the platform is down",
          "[platform][retry]") {
  Pair Under;
  int Reads = 0;
  const PlatformWatch Watch(
      Under.m_Loop, {.m_Read =
                         [&](PlatformWait, const PlatformWatch::Next &Next) {
                           ++Reads;
                           Next(PlatformStatus::Lost, 0);
                         },
                     .m_Random = [] { return 1.0; },
                     .m_RetryFirst = 10ms,
                     .m_RetryCap = 40ms});
  const TimePoint Began = EventLoop::now();
  REQUIRE(Under.m_Loop.runUntil([&] { return Reads == 6; }, Limit));
  // 10, 20, 40, 40, 40 ms at the least.
  REQUIRE(EventLoop::now() - Began >= 150ms);
  REQUIRE_FALSE(Watch.current());
}
