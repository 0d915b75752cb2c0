#include "decisions/process/LoadCeiling.h"
#include "support/Draw.h"
#include "support/Names.h"
#include <vector>

using namespace havenstair;

TEST_CASE("No window sees more loads begin than the bound",
          "[ceiling][property]") {
  rc::prop("bounded", [] {
    LoadCeiling Ceiling;
    const double PerSecond = *drawn(1, 40) / 10.0;
    Ceiling.configure({.m_LoadsPerS = PerSecond, .m_Window = 5s});
    std::vector<TimePoint> Begun;
    TimePoint Now = at(0s);
    for (int Step = 0; Step < 200; ++Step) {
      Now += std::chrono::milliseconds(*drawn(0, 300));
      if (Ceiling.left(Now) == 0)
        continue;
      Ceiling.begun(Now);
      Begun.push_back(Now);
      const auto InWindow =
          std::count_if(Begun.begin(), Begun.end(),
                        [&](TimePoint Each) { return Each > Now - 5s; });
      RC_ASSERT(static_cast<double>(InWindow) <= std::max(1.0, PerSecond * 5));
    }
  });
}

TEST_CASE("An order without an answer counts until it is settled",
          "[ceiling]") {
  LoadCeiling Ceiling;
  Ceiling.configure({.m_LoadsPerS = 0.4, .m_Window = 5s});
  REQUIRE(Ceiling.left(at(0s)) == 2);
  Ceiling.begun(at(0s));
  Ceiling.uncertain();
  REQUIRE(Ceiling.left(at(60s)) == 1);
  Ceiling.settled(at(60s));
  REQUIRE(Ceiling.left(at(61s)) == 1);
  REQUIRE(Ceiling.left(at(66s)) == 2);
}

TEST_CASE("A new order giver begins with a used-up window", "[ceiling]") {
  LoadCeiling Ceiling;
  Ceiling.configure({.m_LoadsPerS = 2, .m_Window = 5s});
  Ceiling.takeOver(at(10s));
  REQUIRE(Ceiling.left(at(14s)) == 0);
  REQUIRE(Ceiling.left(at(15s) + 1ms) == 10);
}
