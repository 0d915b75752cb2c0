#include "decisions/process/MemoryBudget.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace havenstair;

namespace {

constexpr std::size_t Limit = 1000;

MemoryBudget budget() {
  return MemoryBudget({.m_Limit = Limit,
                       .m_Large = 100,
                       .m_LargeBodyPart = 0.5,
                       .m_SmallBodyPart = 0.75});
}

} // namespace

TEST_CASE("Large bodies leave room for small ones, and both for answers",
          "[memory]") {
  const MemoryBudget Budget = budget();
  MemoryCharge Large = Budget.chargeBody(100);
  REQUIRE_FALSE(Large.resize(501));
  REQUIRE(Large.resize(500));
  REQUIRE_FALSE(Budget.chargeBody(400).resize(1));
  MemoryCharge Small = Budget.chargeBody(99);
  REQUIRE(Small.resize(250));
  REQUIRE_FALSE(Small.resize(251));
  REQUIRE(Small.bytes() == 250);
  MemoryCharge Answer = Budget.chargeAnswer();
  REQUIRE(Answer.resize(250));
  REQUIRE_FALSE(Answer.resize(251));
  REQUIRE(Budget.held() == Limit);
  REQUIRE(Budget.refusals() == 4);
  Large.resize(0);
  REQUIRE(Budget.held(MemoryUse::LargeBody) == 0);
  REQUIRE(Small.resize(260));
}

TEST_CASE("A charge of no budget takes any size", "[memory]") {
  MemoryCharge Free;
  REQUIRE(Free.resize(std::size_t{1} << 40));
}

TEST_CASE("A charge may outlive its budget", "[memory]") {
  MemoryCharge Charge;
  {
    const MemoryBudget Budget = budget();
    Charge = Budget.chargeAnswer();
  }
  REQUIRE(Charge.resize(10));
}

TEST_CASE("What is charged is given back, whichever way charges go",
          "[memory]") {
  rc::check("the sum is that of all charges, within the limit", [] {
    const MemoryBudget Budget = budget();
    std::map<int, MemoryCharge> Charges;
    const auto Steps = *rc::gen::container<std::vector<std::tuple<int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 8), rc::gen::inRange(-100, 500)));
    for (const auto &[Which, Bytes] : Steps) {
      MemoryCharge &Charge = Charges[Which];
      if (Bytes < -50)
        Charges.erase(Which);
      else if (Bytes < 0)
        Charge = Which % 2 == 0 ? Budget.chargeAnswer()
                                : Budget.chargeBody(std::size_t(-Bytes));
      else if (Bytes % 7 == 0)
        Charges[Which + 8] = std::move(Charge);
      else
        Charge.resize(Charge.bytes() == 0 ? 0 : std::size_t(Bytes));
    }
    RC_ASSERT(Budget.held() <= Limit);
    Charges.clear();
    RC_ASSERT(Budget.held() == 0u);
  });
}

TEST_CASE("Large answers leave room for others and for bodies", "[memory]") {
  const MemoryBudget Budget({.m_Limit = Limit,
                             .m_Large = 100,
                             .m_LargeBodyPart = 0.5,
                             .m_SmallBodyPart = 0.75,
                             .m_LargeAnswerPart = 0.25});
  MemoryCharge Large = Budget.chargeAnswer();
  REQUIRE(Large.resize(99));
  REQUIRE(Budget.held(MemoryUse::SmallAnswer) == 99);
  REQUIRE(Large.resize(250));
  REQUIRE(Budget.held(MemoryUse::SmallAnswer) == 0);
  REQUIRE(Budget.held(MemoryUse::LargeAnswer) == 250);
  REQUIRE_FALSE(Large.resize(251));
  MemoryCharge Small = Budget.chargeAnswer();
  REQUIRE(Small.resize(99));
  REQUIRE_FALSE(Small.resize(100));
  REQUIRE(Budget.chargeBody(100).resize(151));
}

TEST_CASE("A charge that finds no room gets what others give back",
          "[memory]") {
  const MemoryBudget Budget = budget();
  MemoryCharge Large = Budget.chargeAnswer();
  REQUIRE(Large.resize(400));
  std::size_t Asked = 0;
  Budget.onNoRoom([&](MemoryUse Use, std::size_t Wanted) {
    REQUIRE(Use == MemoryUse::LargeAnswer);
    Asked = Wanted;
    Large.resize(0);
  });
  MemoryCharge Small = Budget.chargeAnswer();
  REQUIRE(Small.resize(200));
  REQUIRE(Asked == 200);
  REQUIRE(Budget.refusals() == 0);
  Budget.onNoRoom(nullptr);
  REQUIRE_FALSE(Small.resize(2000));
}
