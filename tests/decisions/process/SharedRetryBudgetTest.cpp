#include "decisions/process/SharedRetryBudget.h"
#include "support/Draw.h"
#include "support/Names.h"
#include <vector>

using namespace havenstair;

namespace {

constexpr Duration Window = 10s;
constexpr double Ratio = 0.2;
constexpr double Allowance = 50;

std::size_t countIn(const std::vector<TimePoint> &Times, TimePoint End) {
  return static_cast<std::size_t>(
      std::count_if(Times.begin(), Times.end(), [&](TimePoint Each) {
        return Each > End - Window && Each <= End;
      }));
}

} // namespace

TEST_CASE("Retries of all boxes stay below the bound in every window",
          "[budget][property]") {
  rc::prop("shared bound", [] {
    const int Boxes = *drawn(1, 9);
    std::vector<SharedRetryBudget> Budgets(
        static_cast<std::size_t>(Boxes),
        SharedRetryBudget(
            {.m_Ratio = Ratio, .m_Allowance = Allowance, .m_Window = Window}));
    std::vector<TimePoint> Requests;
    std::vector<TimePoint> Retries;
    TimePoint Now = at(0s);
    for (int Step = 0; Step < 400; ++Step) {
      Now += std::chrono::milliseconds(*drawn(0, 200));
      SharedRetryBudget &Box =
          Budgets[static_cast<std::size_t>(*drawn(0, Boxes))];
      if (*drawn(0, 3) == 0) {
        Box.recordRequest("s", Now);
        Requests.push_back(Now);
      } else if (Box.trySpend("s", Boxes, Now)) {
        Retries.push_back(Now);
      }
      const double Bound =
          Ratio * static_cast<double>(countIn(Requests, Now)) + Allowance;
      RC_ASSERT(static_cast<double>(countIn(Retries, Now)) <= Bound);
    }
  });
}

TEST_CASE("Boxes that start again do not get their allowance twice",
          "[budget][property]") {
  rc::prop("shared bound with restarts", [] {
    const int Boxes = *drawn(1, 9);
    const SharedRetryBudget::Options Opts{
        .m_Ratio = Ratio, .m_Allowance = Allowance, .m_Window = Window};
    std::vector<SharedRetryBudget> Budgets(static_cast<std::size_t>(Boxes),
                                           SharedRetryBudget(Opts, at(0s)));
    std::vector<TimePoint> Retries;
    TimePoint Now = at(0s);
    for (int Step = 0; Step < 400; ++Step) {
      Now += std::chrono::milliseconds(*drawn(0, 200));
      SharedRetryBudget &Box =
          Budgets[static_cast<std::size_t>(*drawn(0, Boxes))];
      if (*drawn(0, 20) == 0)
        Box = SharedRetryBudget(Opts, Now);
      else if (Box.trySpend("s", Boxes, Now))
        Retries.push_back(Now);
      RC_ASSERT(static_cast<double>(countIn(Retries, Now)) <= Allowance);
    }
  });
}

TEST_CASE("Each service has a budget of its own", "[budget]") {
  SharedRetryBudget Budget(
      {.m_Ratio = 0, .m_Allowance = 2, .m_Window = Window, .m_Margin = 1});
  REQUIRE(Budget.trySpend("a", 1, at(1s)));
  REQUIRE(Budget.trySpend("a", 1, at(1s)));
  REQUIRE_FALSE(Budget.trySpend("a", 1, at(1s)));
  REQUIRE(Budget.trySpend("b", 1, at(1s)));
  REQUIRE(Budget.spent("a", at(1s)) == 2);
  REQUIRE(Budget.trySpend("a", 1, at(12s)));
}
