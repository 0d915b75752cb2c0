#include "soak/SoakOracleTest.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

const std::string Body = CrashOracle::Prefix + "0";

/// A try of the request that ends engines arrives at one.
void arrive(SoakOracle &Oracle, const std::string &Id, Duration At,
            const std::string &Text = Body) {
  Oracle.sent({.m_Id = Id,
               .m_Box = "box-1",
               .m_Service = "plain",
               .m_Target = "/x",
               .m_Body = Text,
               .m_At = at(At)});
  Oracle.arrived({.m_Id = Id,
                  .m_Engine = "e1",
                  .m_Service = "plain",
                  .m_DataCentre = "za",
                  .m_Target = "/x",
                  .m_Body = Text,
                  .m_Runs = true,
                  .m_At = at(At)});
}

} // namespace

TEST_CASE("The soak's oracle judges requests that end engines",
          "[soak][oracle]") {
  SoakOracle Oracle((SoakBounds()));
  for (int End = 0; End < 3; ++End) {
    arrive(Oracle, "before-" + std::to_string(End), 0s);
    Oracle.crashes().ended(Body, at(0s));
  }
  SECTION("those that come while the third end is news are right") {
    for (int Try = 0; Try < 9; ++Try)
      arrive(Oracle, std::to_string(Try), 2s);
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("three more are right") {
    for (int Try = 0; Try < 3; ++Try)
      arrive(Oracle, std::to_string(Try), 10s);
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("a fourth is wrong, and told once") {
    for (int Try = 0; Try < 6; ++Try)
      arrive(Oracle, std::to_string(Try), 10s);
    REQUIRE(broken(Oracle) == Promises{Promise::CrashingBarred});
  }
  SECTION("a box that was held up is excused") {
    Oracle.trouble().add("box-1", at(8s), at(9s));
    for (int Try = 0; Try < 6; ++Try)
      arrive(Oracle, std::to_string(Try), 10s);
    REQUIRE(broken(Oracle).empty());
  }
}

TEST_CASE("The soak's oracle finds others that are barred", "[soak][oracle]") {
  SoakOracle Oracle((SoakBounds()));
  const std::string Barred = R"({"error":{"code":"request_barred"}})";
  const auto Answer = [&](const std::string &Id, const std::string &By) {
    Oracle.answered({.m_Id = Id,
                     .m_Status = 400,
                     .m_Complete = true,
                     .m_AnswersId = Id,
                     .m_Signature = By,
                     .m_Body = Barred,
                     .m_At = at(1s)});
  };
  arrive(Oracle, "bad", 0s);
  Answer("bad", "");
  REQUIRE(broken(Oracle).empty());
  Oracle.sent({.m_Id = "fine", .m_Box = "box-1", .m_Body = "body"});
  Answer("fine", "");
  REQUIRE(broken(Oracle) == Promises{Promise::OthersServed});
}

TEST_CASE(
    "The soak's oracle judges requests that share a part of their prompts",
    "[soak][oracle]") {
  SoakOracle Oracle((SoakBounds()));
  const auto Body = [](const std::string &Id) {
    return CrashOracle::PartPrefix + "0" + CrashOracle::Separator + Id;
  };
  for (int End = 0; End < 5; ++End)
    Oracle.crashes().ended(Body(std::to_string(End)), at(0s));
  SECTION("three after the fifth end are right") {
    for (int Try = 0; Try < 3; ++Try)
      arrive(Oracle, std::to_string(Try), 10s, Body(std::to_string(Try)));
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("a fourth is wrong, though no two were alike") {
    for (int Try = 0; Try < 4; ++Try)
      arrive(Oracle, std::to_string(Try), 10s, Body(std::to_string(Try)));
    REQUIRE(broken(Oracle) == Promises{Promise::CrashingBarred});
  }
}
