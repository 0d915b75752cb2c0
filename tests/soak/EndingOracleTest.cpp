#include "soak/SoakOracleTest.h"
#include "soak/StreamText.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

const std::string Run = "sig";

std::string events(int First, int Last, AnswerCut At = AnswerCut::Nowhere) {
  constexpr int LastOfAll = 4;
  std::string Result;
  for (int Number = First; Number <= Last; ++Number)
    Result += streamText({.m_Number = Number,
                          .m_Request = "r",
                          .m_Run = Run,
                          .m_Last = Number == LastOfAll},
                         At);
  return Result;
}

/// An oracle that has seen a run of the request.
struct Judged {
  explicit Judged(RequestKind Kind) : m_Oracle(SoakBounds()) {
    m_Oracle.sent({.m_Id = "r",
                   .m_Box = "box-1",
                   .m_Kind = Kind,
                   .m_Service = "plain",
                   .m_Target = "/x",
                   .m_Body = "body",
                   .m_At = at(0s)});
    m_Oracle.made({"r", Run, 200, isStream(Kind) ? "" : "answer"});
  }
  void ended(const std::string &Readable, bool FramedAsWhole, int After = 0) {
    m_Oracle.ended({.m_Id = "r",
                    .m_Signature = Run,
                    .m_Readable = Readable,
                    .m_After = After,
                    .m_FramedAsWhole = FramedAsWhole,
                    .m_Sound = false,
                    .m_Engine = "e1",
                    .m_How = ""});
  }
  Promises complete(const std::string &Body) {
    m_Oracle.answered({.m_Id = "r",
                       .m_Status = 200,
                       .m_Complete = true,
                       .m_AnswersId = "r",
                       .m_Signature = Run,
                       .m_Body = Body,
                       .m_At = at(1s)});
    return broken(m_Oracle);
  }

  SoakOracle m_Oracle;
};

const Promises None;
const Promises Whole{Promise::WholeAnswer};

} // namespace

TEST_CASE("The soak's oracle takes what nobody can tell from a whole answer",
          "[soak][oracle][ending]") {
  SECTION("a plain answer that ended in order") {
    Judged Of(RequestKind::Safe);
    Of.ended("ans", true);
    REQUIRE(Of.complete("ans") == None);
  }
  SECTION("a stream that ended in order between two events") {
    Judged Of(RequestKind::Stream);
    Of.ended(events(1, 2), true);
    REQUIRE(Of.complete(events(1, 2)) == None);
  }
  SECTION("a stream that ended in order before its first event") {
    Judged Of(RequestKind::Stream);
    Of.ended("", true);
    REQUIRE(Of.complete("") == None);
  }
  SECTION("a resumed run that ended in order before an event of its own") {
    Judged Of(RequestKind::ResumableStream);
    Of.ended("", true, 2);
    REQUIRE(Of.complete(events(1, 2)) == None);
  }
}

TEST_CASE("The soak's oracle finds parts that are given out as whole",
          "[soak][oracle][ending]") {
  SECTION("of a plain answer that was broken off") {
    Judged Of(RequestKind::Safe);
    Of.ended("ans", false);
    REQUIRE(Of.complete("ans") == Whole);
  }
  SECTION("of less than what a plain answer had") {
    Judged Of(RequestKind::Safe);
    Of.ended("answ", true);
    REQUIRE(Of.complete("ans") == Whole);
  }
  SECTION("of a stream that was broken off between two events") {
    Judged Of(RequestKind::Stream);
    Of.ended(events(1, 2), false);
    REQUIRE(Of.complete(events(1, 2)) == Whole);
  }
  SECTION("of a stream that ended inside an event, without that event") {
    Judged Of(RequestKind::Stream);
    Of.ended(events(1, 2) + "id: 3", true);
    REQUIRE(Of.complete(events(1, 2)) == Whole);
  }
  SECTION("of a stream that ended inside an event, with its part") {
    Judged Of(RequestKind::Stream);
    Of.ended(events(1, 2) + "id: 3", true);
    REQUIRE(Of.complete(events(1, 2) + "id: 3") == Whole);
  }
  SECTION("with part of an event behind the last one") {
    Judged Of(RequestKind::Stream);
    Of.ended(events(1, 4), true);
    REQUIRE(Of.complete(events(1, 4) + "id: 5") == Whole);
  }
  SECTION("of less than what a stream had") {
    Judged Of(RequestKind::Stream);
    Of.ended(events(1, 3), true);
    REQUIRE(Of.complete(events(1, 2)) == Whole);
  }
}

TEST_CASE("The soak reads events with comments and either line end",
          "[soak][ending]") {
  const AnswerCut Form = GENERATE(AnswerCut::Nowhere, AnswerCut::InsideCrlf,
                                  AnswerCut::InsideComment);
  const std::string Text = events(1, 2, Form) + events(3, 4);
  REQUIRE(readStream(Text).size() == 4);
  REQUIRE(readStream(Text).back() == StreamPiece{4, "r", Run, true});
  REQUIRE(unfinishedEvent(Text).empty());
  for (const AnswerCut At : AllCuts) {
    const std::string Part = cutText(events(1, 1, At), At);
    const bool Between = At == AnswerCut::Nowhere ||
                         At == AnswerCut::BeforeBody ||
                         At == AnswerCut::BetweenEvents;
    REQUIRE(unfinishedEvent(Text + Part).empty() == Between);
  }
}

TEST_CASE("The soak's oracle finds sound answers that are cut",
          "[soak][oracle][ending]") {
  SoakOracle Oracle((SoakBounds()));
  const CallerRequest Request{.m_Id = "r",
                              .m_Box = "box-1",
                              .m_Kind = RequestKind::Safe,
                              .m_Service = "plain",
                              .m_Target = "/x",
                              .m_Body = "body",
                              .m_At = at(10s)};
  const auto Run = [&](bool Sound) {
    Oracle.ended({.m_Id = "r",
                  .m_Signature = Sound ? "sound" : "cut",
                  .m_Readable = "answer",
                  .m_FramedAsWhole = Sound,
                  .m_Sound = Sound,
                  .m_Engine = "e1",
                  .m_How = ""});
  };
  const auto Answered = [&](bool Complete, Duration At) {
    Oracle.answered({.m_Id = "r",
                     .m_Status = 200,
                     .m_Complete = Complete,
                     .m_AnswersId = "r",
                     .m_Signature = "sound",
                     .m_Body = Complete ? "answer" : "ans",
                     .m_At = at(At)});
    return broken(Oracle);
  };
  Oracle.sent(Request);
  Oracle.made({"r", "sound", 200, "answer"});
  Run(true);
  SECTION("one that is cut is wrong") {
    REQUIRE(Answered(false, 11s) == Promises{Promise::SoundAnswer});
  }
  SECTION("one that arrives is right") { REQUIRE(Answered(true, 11s) == None); }
  SECTION("another run that broke off may be the cause") {
    Run(false);
    REQUIRE(Answered(false, 11s) == None);
  }
  SECTION("so may an engine that started again") {
    Oracle.sound().startedAgain("e1", at(10500ms));
    REQUIRE(Answered(false, 11s) == None);
  }
  SECTION("or trouble of the box") {
    Oracle.trouble().add("box-1", at(9s), at(10s));
    REQUIRE(Answered(false, 11s) == None);
  }
  SECTION("or time") { REQUIRE(Answered(false, 14s) == None); }
}
