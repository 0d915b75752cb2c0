#include "gateway/request/SendAnswer.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

const AnswerFacts Own{.m_RequestId = "id-1"};

SendAnswer answered(int Status, const AnswerFacts &Facts = Own,
                    const HttpHeaders &Headers = {{"Content-Length", "4"}}) {
  SendAnswer Result({.m_RequestId = "id-1"});
  Result.readHead(Status, Headers, Facts);
  return Result;
}

SendAnswer answeredByBox(PassVerdict Verdict) {
  SendAnswer Result({.m_RequestId = "id-1", .m_FromBox = true});
  Result.readHead(503, {verdictField(Verdict)}, Own);
  return Result;
}

} // namespace

TEST_CASE("A whole answer counts as the upstream's, by its status",
          "[gateway][send-answer]") {
  REQUIRE(answered(200).outcome(HttpEnd::Complete, false) ==
          SendOutcome::Answered);
  REQUIRE(answered(404).outcome(HttpEnd::Closed, false) ==
          SendOutcome::Answered);
  REQUIRE(answered(500).outcome(HttpEnd::Complete, false) ==
          SendOutcome::ServerError);
}

TEST_CASE("An answer that is cut, or lacks content, is broken",
          "[gateway][send-answer]") {
  REQUIRE(answered(200).outcome(HttpEnd::Broken, false) == SendOutcome::Broken);
  REQUIRE(answered(200).outcome(HttpEnd::Complete, true) ==
          SendOutcome::Broken);
  REQUIRE(SendAnswer().outcome(HttpEnd::NotWritten, false) ==
          SendOutcome::NotSent);
}

TEST_CASE("The upstream's word that it did not run a request holds even where "
          "the answer is cut",
          "[gateway][send-answer]") {
  const AnswerFacts NotRun{.m_RequestId = "id-1", .m_NotRun = true};
  REQUIRE(answered(503, NotRun).outcome(HttpEnd::Broken, false) ==
          SendOutcome::Rejected);
}

TEST_CASE("A box's verdict decides what became of a request passed on",
          "[gateway][send-answer]") {
  REQUIRE(
      answeredByBox(PassVerdict::Declined).outcome(HttpEnd::Broken, false) ==
      SendOutcome::NotSent);
  REQUIRE(
      answeredByBox(PassVerdict::Rejected).outcome(HttpEnd::Broken, false) ==
      SendOutcome::Rejected);
  // A refusal is passed on to the caller, so that it must have come whole.
  const SendAnswer Refused = answeredByBox(PassVerdict::Refused);
  REQUIRE(Refused.outcome(HttpEnd::Complete, false) == SendOutcome::Rejected);
  REQUIRE(Refused.outcome(HttpEnd::Broken, false) == SendOutcome::Broken);
  REQUIRE(Refused.headers().empty());
}

TEST_CASE("An upstream's verdict is none, and a box cannot state that a "
          "request has not run",
          "[gateway][send-answer]") {
  const SendAnswer FromUpstream =
      answered(503, Own, {verdictField(PassVerdict::Declined)});
  REQUIRE(FromUpstream.verdict() == PassVerdict::None);
  REQUIRE(FromUpstream.outcome(HttpEnd::Complete, false) ==
          SendOutcome::ServerError);
  SendAnswer FromBox({.m_RequestId = "id-1", .m_FromBox = true});
  FromBox.readHead(503, {},
                   {.m_RequestId = "id-1", .m_NotRun = true, .m_NoRoom = true});
  REQUIRE_FALSE(FromBox.noRoom());
  REQUIRE(FromBox.outcome(HttpEnd::Complete, false) ==
          SendOutcome::ServerError);
}

TEST_CASE("An answer is foreign with another request's id, or as a success "
          "with none",
          "[gateway][send-answer]") {
  REQUIRE_FALSE(answered(200).foreign());
  REQUIRE(answered(200, {.m_RequestId = "id-2"}).foreign());
  REQUIRE(answered(500, {.m_RequestId = "id-2"}).foreign());
  REQUIRE(answered(204, {}).foreign());
  REQUIRE_FALSE(answered(500, {}).foreign());
}

TEST_CASE("A connection has failed where it ends before any byte",
          "[gateway][send-answer]") {
  REQUIRE(SendAnswer().connectionFailed(HttpEnd::NotWritten));
  REQUIRE(SendAnswer().connectionFailed(HttpEnd::Broken));
  REQUIRE_FALSE(SendAnswer().connectionFailed(HttpEnd::Closed));
  REQUIRE_FALSE(answered(200).connectionFailed(HttpEnd::Broken));
}

TEST_CASE("An answer announces the bytes that its length states",
          "[gateway][send-answer]") {
  REQUIRE(answered(200).announcedBytes() == 4);
  REQUIRE(answered(200, Own, {}).announcedBytes() == 0);
  REQUIRE(answered(200, Own, {{"content-length", "4, 4"}}).announcedBytes() ==
          0);
}

TEST_CASE("The body of an answer is charged until its bytes are destroyed",
          "[gateway][send-answer]") {
  const MemoryBudget Memory({.m_Limit = 1000});
  SendAnswer Answer = answered(200);
  REQUIRE(Answer.reserve(400, Memory));
  Answer.append(std::string(400, 'a'));
  REQUIRE(Memory.held() == 400);
  REQUIRE(Answer.growTo(400, Memory));
  REQUIRE(Memory.held() == 400);
  REQUIRE_FALSE(Answer.growTo(800, Memory));
  REQUIRE(Memory.held() == 400);
  {
    const SharedBytes Body = Answer.takeBody();
    REQUIRE(Body.size() == 400);
    REQUIRE(Memory.held() == 400);
  }
  REQUIRE(Memory.held() == 0);
}
