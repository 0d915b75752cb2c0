#include "soak/SoakOracleTest.h"

using namespace havenstair;

namespace {

OrderArrival order(const std::string &Holder, std::uint64_t Token, Duration At,
                   bool Fenced = false) {
  return {.m_Engine = "e1",
          .m_Holder = Holder,
          .m_Token = Token,
          .m_Fenced = Fenced,
          .m_At = at(At)};
}

OrderBegun begun() {
  return {.m_Engine = "e1",
          .m_StoreLoad = false,
          .m_UsedMb = 80,
          .m_LimitMb = 100,
          .m_Adapters = 1,
          .m_AdapterLimit = 4,
          .m_At = at(0s)};
}

} // namespace

TEST_CASE("The soak's oracle judges who gives orders", "[soak][oracle]") {
  SoakOracle Oracle((SoakBounds()));
  Oracle.orders().arrived(order("box-1", 5, 0s));

  SECTION("the next giver waits its turn") {
    Oracle.orders().arrived(order("box-2", 6, 3s));
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("two givers at a time are seen") {
    Oracle.orders().arrived(order("box-2", 6, 2900ms));
    REQUIRE(broken(Oracle) == Promises{Promise::OneGiver});
  }
  SECTION("a shared token is seen") {
    Oracle.orders().arrived(order("box-2", 5, 10s));
    REQUIRE(broken(Oracle) == Promises{Promise::FencingToken});
  }
  SECTION("a token that falls is seen") {
    Oracle.orders().arrived(order("box-1", 4, 10s));
    REQUIRE(broken(Oracle) == Promises{Promise::FencingToken});
  }
  SECTION("orders that trouble held up say nothing") {
    const std::string Subject = GENERATE(as<std::string>(), "box-2", "e1");
    Oracle.trouble().add(Subject, at(0s), at(950ms));
    Oracle.orders().arrived(order("box-2", 4, 1s));
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("trouble that lasts, or is over for long, excuses no giver") {
    Oracle.trouble().begin("box-2", at(0s));
    if (GENERATE(true, false))
      Oracle.trouble().end("box-2", at(600ms));
    Oracle.orders().arrived(order("box-2", 6, 1s));
    REQUIRE(broken(Oracle) == Promises{Promise::OneGiver});
  }
  SECTION("an engine that checks tokens guards itself against trouble") {
    Oracle.trouble().begin("box-2", at(0s));
    Oracle.orders().arrived(order("box-2", 4, 1s, true));
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("where all is calm, two givers are seen there too") {
    Oracle.orders().arrived(order("box-2", 6, 1s, true));
    REQUIRE(broken(Oracle) == Promises{Promise::OneGiver});
  }
  SECTION("an engine that started again has seen no orders") {
    Oracle.orders().forgot("e1");
    Oracle.orders().arrived(order("box-2", 6, 1s));
    REQUIRE(broken(Oracle).empty());
  }
}

TEST_CASE("The soak's oracle judges what orders lead to", "[soak][oracle]") {
  SoakOracle Oracle((SoakBounds()));
  OrderBegun Order = begun();

  SECTION("weights that do not fit") {
    Order.m_UsedMb = 101;
    Oracle.orders().begun(Order);
    REQUIRE(broken(Oracle) == Promises{Promise::EngineMemory});
  }
  SECTION("adapters that do not fit") {
    Order.m_Adapters = 5;
    Oracle.orders().begun(Order);
    REQUIRE(broken(Oracle) == Promises{Promise::EngineMemory});
  }
  SECTION("loads from the store in any window") {
    Order.m_StoreLoad = true;
    // 2 a second for 5 s with a tenth more, and 3.
    for (int Number = 0; Number < 14; ++Number) {
      Order.m_At = at(Number * 300ms);
      Oracle.orders().begun(Order);
    }
    REQUIRE(broken(Oracle).empty());
    Oracle.orders().begun(Order);
    REQUIRE(broken(Oracle) == Promises{Promise::StoreLoads});
  }
}
