#include "soak/SoakOracleTest.h"
#include "soak/StreamText.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

CallerRequest request(const std::string &Id, RequestKind Kind,
                      Duration At = 0s) {
  return {.m_Id = Id,
          .m_Box = "box-1",
          .m_BoxLife = 1,
          .m_Kind = Kind,
          .m_Service = "plain",
          .m_Target = "/x",
          .m_Body = "body",
          .m_Since = std::nullopt,
          .m_At = at(At)};
}

EngineArrival arrival(const std::string &Id, Duration At = 0s,
                      bool Runs = true) {
  return {.m_Id = Id,
          .m_Engine = "e1",
          .m_Service = "plain",
          .m_DataCentre = "za",
          .m_Target = "/x",
          .m_Body = "body",
          .m_Runs = Runs,
          .m_At = at(At)};
}

CallerAnswer answer(const std::string &Id, int Status,
                    const std::string &Signature = "",
                    const std::string &Body = "") {
  return {.m_Id = Id,
          .m_Status = Status,
          .m_Complete = true,
          .m_AnswersId = Id,
          .m_Signature = Signature,
          .m_Body = Body,
          .m_At = at(1s)};
}

std::string events(const std::string &Id, const std::string &Run,
                   const std::vector<int> &Numbers, int Last) {
  std::string Result;
  for (int Number : Numbers)
    Result += streamText({.m_Number = Number,
                          .m_Request = Id,
                          .m_Run = Run,
                          .m_Last = Number == Last});
  return Result;
}

} // namespace

TEST_CASE("The soak's oracle judges whole and own answers", "[soak][oracle]") {
  SoakOracle Oracle((SoakBounds()));
  Oracle.sent(request("r", RequestKind::Safe));
  Oracle.arrived(arrival("r"));
  Oracle.made({"r", "sig", 200, "answer"});

  SECTION("an engine's answer as it made it is right") {
    Oracle.answered(answer("r", 200, "sig", "answer"));
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("a part that does not look complete is right") {
    CallerAnswer Part = answer("r", 200, "sig", "ans");
    Part.m_Complete = false;
    Oracle.answered(Part);
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("a part that looks complete is not") {
    Oracle.answered(answer("r", 200, "sig", "ans"));
    REQUIRE(broken(Oracle) == Promises{Promise::WholeAnswer});
  }
  SECTION("a success that no engine made is not") {
    Oracle.answered(answer("r", 200, "", "answer"));
    REQUIRE(broken(Oracle) == Promises{Promise::OwnAnswer});
  }
  SECTION("the answer to another request is not") {
    Oracle.sent(request("other", RequestKind::Safe));
    Oracle.made({"other", "sig-2", 200, "answer"});
    Oracle.answered(answer("r", 200, "sig-2", "answer"));
    REQUIRE(broken(Oracle) == Promises{Promise::OwnAnswer});
  }
  SECTION("another id in the head is not") {
    CallerAnswer Foreign = answer("r", 200, "sig", "answer");
    Foreign.m_AnswersId = "other";
    Oracle.answered(Foreign);
    REQUIRE(broken(Oracle) == Promises{Promise::OwnAnswer});
  }
  SECTION("a signed failure that the engine did not give is not") {
    Oracle.answered(answer("r", 500, "sig"));
    REQUIRE(broken(Oracle) == Promises{Promise::OwnAnswer});
  }
  SECTION("a success where the engine failed is not") {
    Oracle.made({"r", "failed", 500, "answer"});
    Oracle.answered(answer("r", 200, "failed", "answer"));
    REQUIRE(broken(Oracle) == Promises{Promise::OwnAnswer});
  }
}

TEST_CASE("The soak's oracle judges what engines get", "[soak][oracle]") {
  SoakOracle Oracle((SoakBounds()));
  Oracle.sent(request("r", RequestKind::Safe));

  SECTION("a request that nobody sent is none") {
    Oracle.arrived(arrival("nobody"));
    REQUIRE(broken(Oracle) == Promises{Promise::Unchanged});
  }
  SECTION("a changed body is seen") {
    EngineArrival Changed = arrival("r");
    Changed.m_Body = "bod";
    Oracle.arrived(Changed);
    REQUIRE(broken(Oracle) == Promises{Promise::Unchanged});
  }
  SECTION("a changed target is seen") {
    EngineArrival Changed = arrival("r");
    Changed.m_Target = "/y";
    Oracle.arrived(Changed);
    REQUIRE(broken(Oracle) == Promises{Promise::Unchanged});
  }
}

TEST_CASE("The soak's oracle counts runs", "[soak][oracle]") {
  SoakOracle Oracle((SoakBounds()));
  const auto Kind = GENERATE(RequestKind::Safe, RequestKind::Unsafe,
                             RequestKind::Stream, RequestKind::ResumableStream);
  Oracle.sent(request("r", Kind));
  const bool Once = !mayRepeat(Kind);

  SECTION("a second run of what may not be repeated is wrong") {
    Oracle.arrived(arrival("r"));
    Oracle.arrived(arrival("r"));
    REQUIRE(broken(Oracle) == (Once ? Promises{Promise::RunOnce} : Promises{}));
  }
  SECTION("a run after a refusal by an engine is right") {
    Oracle.arrived(arrival("r", 0s, false));
    Oracle.arrived(arrival("r"));
    REQUIRE(broken(Oracle).empty());
  }
  const int Status = GENERATE(408, 421, 429, 503);
  SECTION("what ran before is not refused as not run") {
    Oracle.arrived(arrival("r"));
    Oracle.answered(answer("r", Status));
    REQUIRE(broken(Oracle) == (Once ? Promises{Promise::NotRun} : Promises{}));
  }
  SECTION("what was refused does not run later") {
    Oracle.answered(answer("r", Status));
    Oracle.arrived(arrival("r"));
    REQUIRE(broken(Oracle) == (Once ? Promises{Promise::NotRun} : Promises{}));
  }
  SECTION("other failures promise nothing") {
    Oracle.arrived(arrival("r"));
    Oracle.answered(answer("r", 502));
    REQUIRE(broken(Oracle).empty());
  }
}

TEST_CASE("The soak's oracle reads streams event by event", "[soak][oracle]") {
  SoakOracle Oracle((SoakBounds()));
  Oracle.sent(request("once", RequestKind::Stream));
  Oracle.sent(request("again", RequestKind::ResumableStream));
  for (const std::string &Id : {std::string("once"), std::string("again")})
    Oracle.made({Id, Id + "-1", 200, ""});

  SECTION("all events in order are right") {
    Oracle.answered(
        answer("once", 200, "once-1", events("once", "once-1", {1, 2, 3}, 3)));
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("a hole, a repeat and a wrong start are not") {
    const std::vector<int> Numbers =
        GENERATE(std::vector<int>{1, 3}, std::vector<int>{1, 1, 2, 3},
                 std::vector<int>{2, 3});
    Oracle.answered(
        answer("once", 200, "once-1", events("once", "once-1", Numbers, 3)));
    REQUIRE(broken(Oracle) == Promises{Promise::StreamOrder});
  }
  SECTION("an end before the last event is not") {
    const std::vector<int> Numbers =
        GENERATE(std::vector<int>{}, std::vector<int>{1, 2});
    Oracle.answered(
        answer("once", 200, "once-1", events("once", "once-1", Numbers, 3)));
    REQUIRE(broken(Oracle) == Promises{Promise::WholeAnswer});
  }
  SECTION("a stream that visibly breaks off is right") {
    CallerAnswer Part =
        answer("once", 200, "once-1",
               events("once", "once-1", {1}, 3) + "id: 2\ndata: on");
    Part.m_Complete = false;
    Oracle.answered(Part);
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("another request's event is not") {
    Oracle.answered(
        answer("once", 200, "once-1",
               events("once", "once-1", {1}, 2) + events("x", "x-1", {2}, 2)));
    REQUIRE(broken(Oracle) == Promises{Promise::OwnAnswer});
  }
  SECTION("bytes that are no event are not") {
    Oracle.answered(answer("once", 200, "once-1", "garbage\n\n"));
    REQUIRE(broken(Oracle) == Promises{Promise::StreamOrder});
  }
  SECTION("two runs are joined only where a stream may be resumed") {
    Oracle.answered(answer("again", 200, "again-1",
                           events("again", "again-1", {1}, 2) +
                               events("again", "again-2", {2}, 2)));
    REQUIRE(broken(Oracle).empty());
    Oracle.answered(answer("once", 200, "once-1",
                           events("once", "once-1", {1}, 2) +
                               events("once", "once-2", {2}, 2)));
    REQUIRE(broken(Oracle) == Promises{Promise::StreamOrder});
  }
}

TEST_CASE("The soak's oracle knows how long engines may be sent to",
          "[soak][oracle]") {
  SoakOracle Oracle((SoakBounds()));
  Oracle.sent(request("r", RequestKind::Safe, 2400ms));
  Oracle.routing().engineLeaves("e1", at(0s));

  SECTION("within the bound") {
    Oracle.arrived(arrival("r", 2s));
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("not beyond it") {
    Oracle.arrived(arrival("r", 2500ms));
    REQUIRE(broken(Oracle) == Promises{Promise::Draining});
  }
  SECTION("again when it serves again") {
    Oracle.routing().engineServes("e1");
    Oracle.arrived(arrival("r", 2500ms));
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("trouble excuses for a while") {
    const std::string Subject =
        GENERATE(as<std::string>(), "box-1", "store", "e1", "harness");
    Oracle.trouble().add(Subject, at(-3s), at(-2s));
    Oracle.arrived(arrival("r", 2500ms));
    REQUIRE(broken(Oracle).empty());
    Oracle.arrived(arrival("r", 3100ms));
    REQUIRE(broken(Oracle) == Promises{Promise::Draining});
  }
  SECTION("trouble of another box does not") {
    Oracle.trouble().begin("box-2", at(0s));
    Oracle.arrived(arrival("r", 2500ms));
    REQUIRE(broken(Oracle) == Promises{Promise::Draining});
  }
}

TEST_CASE("The soak's oracle tells versions by the routes that boxes know",
          "[soak][oracle]") {
  SoakOracle Oracle((SoakBounds()));
  for (std::uint64_t Version = 1; Version <= 4; ++Version)
    Oracle.config().configured(Version,
                               at(std::chrono::seconds(10 * (Version - 1))));
  // Version 3 stands since 20 s, version 4 since 30 s.
  const auto Ask = [&](const std::string &Id, std::uint64_t Since,
                       Duration Sent) {
    CallerRequest Request = request(Id, RequestKind::Safe, Sent);
    Request.m_Since = Since;
    Oracle.sent(Request);
  };
  const auto Unknown = [&](const std::string &Id, Duration At) {
    CallerAnswer Answer = answer(Id, 404);
    Answer.m_At = at(At);
    Oracle.answered(Answer);
  };

  SECTION("a new route is known within the bound") {
    Ask("r", 4, 31s);
    Unknown("r", 31s);
    REQUIRE(broken(Oracle).empty());
    Ask("late", 4, 33s);
    Unknown("late", 33s);
    REQUIRE(broken(Oracle) == Promises{Promise::ConfigInForce});
  }
  SECTION("a dropped route is dropped within the bound") {
    Ask("r", 2, 31s);
    Oracle.arrived(arrival("r", 31s));
    REQUIRE(broken(Oracle).empty());
    Ask("late", 2, 33s);
    Oracle.arrived(arrival("late", 33s));
    REQUIRE(broken(Oracle) == Promises{Promise::ConfigInForce});
  }
  SECTION("a store in trouble excuses for a while") {
    Oracle.trouble().add("store", at(30s), at(32s));
    Ask("r", 4, 33s);
    Unknown("r", 33s);
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("what was shown does not go back, also under trouble") {
    Oracle.trouble().begin("store", at(30s));
    Ask("new", 4, 31s);
    Oracle.arrived(arrival("new", 31s));
    Ask("old", 4, 33500ms);
    Unknown("old", 33500ms);
    REQUIRE(broken(Oracle) == Promises{Promise::ConfigBack});
  }
  SECTION("a box that starts again may be older for a while") {
    Oracle.trouble().begin("store", at(30s));
    Ask("new", 4, 31s);
    Oracle.arrived(arrival("new", 31s));
    CallerRequest Request = request("old", RequestKind::Safe, 33500ms);
    Request.m_Since = 4;
    Request.m_BoxLife = 2;
    Oracle.sent(Request);
    Unknown("old", 33500ms);
    REQUIRE(broken(Oracle).empty());
  }
}

TEST_CASE("The soak's oracle keeps the budget of repeats", "[soak][oracle]") {
  SoakBounds Bounds;
  Bounds.m_RetryAllowance = 2;
  SoakOracle Oracle(Bounds);
  for (int Number = 0; Number < 10; ++Number)
    Oracle.sent(request("r" + std::to_string(Number), RequestKind::Safe));
  // A fifth of 10 and 2 more.
  for (int Number = 0; Number < 4; ++Number) {
    const std::string Id = "r" + std::to_string(Number);
    Oracle.arrived(arrival(Id, 1s, false));
    Oracle.arrived(arrival(Id, 1s));
  }
  REQUIRE(broken(Oracle).empty());
  Oracle.arrived(arrival("r0", 1s));
  REQUIRE(broken(Oracle) == Promises{Promise::RetryBudget});
}

TEST_CASE(
    "The soak's oracle judges evacuations, warm-up and regions when asked",
    "[soak][oracle]") {
  const bool On = GENERATE(true, false);
  SoakBounds Bounds;
  Bounds.m_CheckEvacuation = Bounds.m_CheckWarmUp = Bounds.m_CheckRegions = On;
  SoakOracle Oracle(Bounds);
  const auto Expected = [&](Promise Of) {
    return On ? Promises{Of} : Promises{};
  };
  Oracle.sent(request("r", RequestKind::Safe));

  SECTION("an evacuated data centre") {
    Oracle.routing().evacuated("za", at(0s));
    Oracle.arrived(arrival("r", 5s));
    REQUIRE(broken(Oracle).empty());
    Oracle.arrived(arrival("r", 5300ms));
    REQUIRE(broken(Oracle) == Expected(Promise::Evacuation));
  }
  SECTION("a data centre that was readmitted") {
    Oracle.routing().evacuated("za", at(0s));
    Oracle.routing().readmitted("za");
    Oracle.arrived(arrival("r", 6s));
    REQUIRE(broken(Oracle).empty());
  }
  SECTION("a cold engine") {
    Oracle.routing().engineCold("e1", at(0s), at(3s));
    for (int Number = 0; Number < 10; ++Number)
      Oracle.arrived(arrival("r", 0s));
    REQUIRE(broken(Oracle).empty());
    Oracle.arrived(arrival("r", 0s));
    REQUIRE(broken(Oracle) == Expected(Promise::WarmUpRate));
  }
  SECTION("a region that may not see the request") {
    Oracle.routing().allowed("/x", {"zb"});
    Oracle.arrived(arrival("r", 0s));
    REQUIRE(broken(Oracle) == Expected(Promise::AllowedRegions));
  }
}

TEST_CASE("A box that ends by itself is a verdict", "[soak][oracle]") {
  SoakOracle Oracle((SoakBounds()));
  Oracle.boxEnded("box-1", 139, at(0s));
  REQUIRE(broken(Oracle) == Promises{Promise::BoxLives});
}
