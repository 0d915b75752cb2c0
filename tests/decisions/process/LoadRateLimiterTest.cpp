#include "decisions/process/LoadRateLimiter.h"
#include "support/Draw.h"
#include "support/Names.h"
#include <map>
#include <vector>

using namespace havenstair;

namespace {

/// A load as the store of weights sees it: it begins at some time between the
/// sending of its order and the message that settles it.
struct OpenLoad {
  TimePoint m_Begins{};
  TimePoint m_Settles{};
};

std::size_t mostInWindow(const std::vector<TimePoint> &Starts,
                         Duration Window) {
  std::size_t Most = 0;
  for (const TimePoint From : Starts)
    Most = std::max<std::size_t>(
        Most, std::count_if(Starts.begin(), Starts.end(), [&](TimePoint Each) {
          return Each >= From && Each <= From + Window;
        }));
  return Most;
}

} // namespace

TEST_CASE(
    "No window has more starts than the bound, however late each load begins",
    "[ceiling][property]") {
  rc::prop("bounded", [] {
    LoadRateLimiter Limiter;
    const double PerSecond = *drawn(2, 40) / 10.0;
    const auto Slack = static_cast<std::size_t>(*drawn(0, 4));
    Limiter.configure(
        {.m_LoadsPerSecond = PerSecond, .m_Window = 5s, .m_Slack = Slack});
    std::map<InstanceId, OpenLoad> Open;
    std::vector<TimePoint> Starts;
    TimePoint Now = at(0s);
    for (int Step = 0; Step < 200; ++Step) {
      Now += std::chrono::milliseconds(*drawn(0, 300));
      for (auto At = Open.begin(); At != Open.end();) {
        if (At->second.m_Settles > Now) {
          ++At;
          continue;
        }
        Limiter.onSettled(At->first, Now);
        At = Open.erase(At);
      }
      if (Limiter.available(Now) == 0)
        continue;
      const InstanceId Engine = "i-" + std::to_string(Step);
      const auto Begins = Now + std::chrono::milliseconds(*drawn(0, 4000));
      const auto Settles = Begins + std::chrono::milliseconds(*drawn(0, 2000));
      Open[Engine] = {.m_Begins = Begins, .m_Settles = Settles};
      Limiter.onOrdered(Engine);
      Starts.push_back(Begins);
    }
    RC_ASSERT(static_cast<double>(mostInWindow(Starts, 5s)) <=
              std::max(1.0, PerSecond * 5 + static_cast<double>(Slack)));
  });
}

TEST_CASE("An order without an answer counts until it is settled",
          "[ceiling]") {
  LoadRateLimiter Limiter;
  Limiter.configure({.m_LoadsPerSecond = 0.4, .m_Window = 5s, .m_Slack = 0});
  REQUIRE(Limiter.available(at(0s)) == 2);
  Limiter.onOrdered("i-1");
  REQUIRE(Limiter.available(at(60s)) == 1);
  Limiter.onSettled("i-1", at(60s));
  REQUIRE(Limiter.available(at(61s)) == 1);
  REQUIRE(Limiter.available(at(66s)) == 2);
}

TEST_CASE("A load settled twice, or never ordered, counts at most once",
          "[ceiling]") {
  LoadRateLimiter Limiter;
  Limiter.configure({.m_LoadsPerSecond = 0.4, .m_Window = 5s, .m_Slack = 0});
  Limiter.onSettled("i-2", at(0s));
  REQUIRE(Limiter.available(at(0s)) == 2);
  Limiter.onOrdered("i-1");
  Limiter.onSettled("i-1", at(1s));
  Limiter.onSettled("i-1", at(2s));
  REQUIRE(Limiter.available(at(3s)) == 1);
  REQUIRE(Limiter.available(at(6s) + 1ms) == 2);
}

TEST_CASE("A new leader starts with a used-up window", "[ceiling]") {
  LoadRateLimiter Limiter;
  SECTION("the bound is known before") {
    Limiter.configure({.m_LoadsPerSecond = 2, .m_Window = 5s, .m_Slack = 0});
    Limiter.assumeFullWindow(at(10s));
  }
  SECTION("the bound becomes known only afterwards") {
    Limiter.assumeFullWindow(at(10s));
    Limiter.configure({.m_LoadsPerSecond = 2, .m_Window = 5s, .m_Slack = 0});
  }
  REQUIRE(Limiter.available(at(14s)) == 0);
  REQUIRE(Limiter.available(at(15s)) == 0);
  REQUIRE(Limiter.available(at(15s) + 1ms) == 10);
}

TEST_CASE("All of the slack but one load is used", "[ceiling]") {
  LoadRateLimiter Limiter;
  Limiter.configure(
      {.m_LoadsPerSecond = 1.6, .m_Window = 5s, .m_Overage = 1.1});
  REQUIRE(Limiter.available(at(0s)) == 10);
}

TEST_CASE("Known loads of the former leader count by number", "[ceiling]") {
  LoadRateLimiter Limiter;
  Limiter.configure({.m_LoadsPerSecond = 2, .m_Window = 5s, .m_Slack = 0});
  Limiter.assumeFullWindow(at(10s));
  REQUIRE(Limiter.available(at(11s)) == 0);
  Limiter.setFormerLoads(3, at(11s));
  REQUIRE_FALSE(Limiter.assumesFullWindow());
  REQUIRE(Limiter.available(at(11s)) == 7);
  REQUIRE(Limiter.available(at(16s) + 1ms) == 10);
}
