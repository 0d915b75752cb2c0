#include "gateway/request/RequestLog.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/EventLoop.h"
#include "wire/common/Json.h"
#include <catch2/catch.hpp>
#include <cstdio>
#include <functional>
#include <memory>

using namespace havenstair;

namespace {

const RequestDescriptor Request{
    .m_Id = "id-1", .m_Model = "m", .m_Adapter = "a", .m_Resumes = "id-0"};
const RequestSuspects Suspects{
    .m_Digest = RequestDigest("d"),
    .m_Parts = std::vector<CrashSuspect>(12, CrashSuspect::ofPromptPart("p"))};
const Route Matched{.m_Name = "chat", .m_Target = 2s, .m_GapTarget = 80ms};

std::string readAll(std::FILE *File) {
  std::rewind(File);
  std::string Result;
  for (int Letter = std::fgetc(File); Letter != EOF; Letter = std::fgetc(File))
    Result += static_cast<char>(Letter);
  return Result;
}

/// \returns the one line that \p Write writes, without its times.
Json lineOf(const std::function<void(RequestLog &)> &Write) {
  EventLoop Loop;
  const std::unique_ptr<std::FILE, int (*)(std::FILE *)> File(std::tmpfile(),
                                                              &std::fclose);
  REQUIRE(File != nullptr);
  {
    DecisionLog To(Loop, {.m_Descriptor = fileno(File.get())});
    RequestLog Log(To, Request, Suspects, Matched);
    Write(Log);
  }
  Json Result = parseJson(readAll(File.get()));
  Result.erase("time");
  Result.erase("up_ms");
  return Result;
}

RequestSend upstreamSend() {
  return {.m_Instance = "i-1",
          .m_Software = SoftwareVersion("v1"),
          .m_At = TimePoint() + 1s,
          .m_PendingMs = 10.4,
          .m_WorkMs = 20.6,
          .m_ExpectedMs = 31};
}

} // namespace

TEST_CASE("The line of a send states what it is based on",
          "[gateway][request-log]") {
  const Json Line = lineOf([](RequestLog &Log) {
    Log.sent(upstreamSend(),
             {.m_Number = 2,
              .m_Config = 7,
              .m_Freshness = {.m_Age = 40ms, .m_By = BoxName("b-1")},
              .m_List = {.m_Era = 3, .m_Number = 90},
              .m_LastEvent = 5});
  });
  const Json Parts(8, Suspects.m_Parts.front().str());
  REQUIRE(Line == Json{{"event", "sent"},
                       {"request", "id-1"},
                       {"digest", Suspects.m_Digest.str()},
                       {"parts", Parts},
                       {"route", "chat"},
                       {"config", 7},
                       {"config_age_ms", 40},
                       {"config_by", "b-1"},
                       {"list", 90},
                       {"era", 3},
                       {"upstream", "i-1"},
                       {"software", "v1"},
                       {"resumes", "id-0"},
                       {"last_event", 5},
                       {"send", 2},
                       {"model", "m"},
                       {"pending_ms", 10},
                       {"work_ms", 21},
                       {"expected_ms", 31}});
}

TEST_CASE("The line of a failed send states its answer and the next step",
          "[gateway][request-log]") {
  RequestSend Made = upstreamSend();
  Made.m_Answer = SendAnswer({.m_RequestId = "id-1"});
  Made.m_Answer.readHead(503, {}, {.m_RequestId = "id-2"});
  const Json Line = lineOf([&](RequestLog &Log) {
    Log.sendFailed(Made,
                   {.m_Number = 1,
                    .m_Outcome = SendOutcome::Broken,
                    .m_RestBytes = 4,
                    .m_Step = ForwardingStep::SendAgain},
                   Made.m_At + 25ms);
  });
  const Json Parts(8, Suspects.m_Parts.front().str());
  REQUIRE(Line == Json{{"event", "send_failed"},
                       {"request", "id-1"},
                       {"digest", Suspects.m_Digest.str()},
                       {"parts", Parts},
                       {"upstream", "i-1"},
                       {"software", "v1"},
                       {"box", ""},
                       {"send", 1},
                       {"outcome", outcomeName(SendOutcome::Broken)},
                       {"status", 503},
                       {"foreign", true},
                       {"after_ms", 25},
                       {"passed", false},
                       {"framing", "connection"},
                       {"rest_bytes", 4},
                       {"step", stepName(ForwardingStep::SendAgain)}});
}

TEST_CASE("The lines of a request passed on, and of a stream taken up, tell "
          "where it goes",
          "[gateway][request-log]") {
  const Json Passed = lineOf([](RequestLog &Log) {
    Log.passedOn({.m_Number = 1,
                  .m_Config = 7,
                  .m_Box = BoxName("b-2"),
                  .m_Partitioned = true,
                  .m_Waited = 12ms});
  });
  REQUIRE(Passed == Json{{"event", "passed_on"},
                         {"request", "id-1"},
                         {"digest", Suspects.m_Digest.str()},
                         {"route", "chat"},
                         {"config", 7},
                         {"box", "b-2"},
                         {"send", 1},
                         {"partitioned", true},
                         {"waited_ms", 12}});
  const Json Resumed = lineOf([](RequestLog &Log) {
    Log.resumed({.m_Software = SoftwareVersion("v2")},
                {.m_Known = true, .m_Waited = 3ms});
  });
  REQUIRE(Resumed == Json{{"event", "resumed"},
                          {"request", "id-1"},
                          {"resumes", "id-0"},
                          {"last_event", nullptr},
                          {"by", originSourceName(OriginSource::Unknown)},
                          {"software", "v2"},
                          {"known", true},
                          {"usable", false},
                          {"after_ms", 3}});
}

TEST_CASE("The line of an answer that was not held states what memory is held",
          "[gateway][request-log]") {
  const MemoryBudget Memory({.m_Limit = 1000});
  MemoryCharge Held = Memory.chargeAnswer();
  REQUIRE(Held.resize(600));
  const Json Line =
      lineOf([&](RequestLog &Log) { Log.answerNotHeld(500, Memory); });
  REQUIRE(Line == Json{{"event", "answer_not_held"},
                       {"request", "id-1"},
                       {"bytes", 500},
                       {"held", 600},
                       {"limit", 1000}});
}

TEST_CASE("The last line of a request tells whether it was answered",
          "[gateway][request-log]") {
  const RequestSend Last = upstreamSend();
  Json Expected{{"event", "answered"},
                {"request", "id-1"},
                {"digest", Suspects.m_Digest.str()},
                {"route", "chat"},
                {"outcome", "ok"},
                {"organisation", "o"},
                {"passed_here", false},
                {"units", 3},
                {"model", "m"},
                {"adapter", "a"},
                {"tried_before_ms", 9},
                {"sends", 1},
                {"replicas", 4},
                {"expected_ms", 31},
                {"pending_ms", 10},
                {"judged", "free"},
                {"regions", "r"},
                {"serves_in_ms", 70},
                {"told_ms", 0},
                {"target_ms", 2000},
                {"gap_target_ms", 80},
                {"first_ms", 50},
                {"gap_ms", 6},
                {"software", "v1"},
                {"framing", "length"},
                {"rest_bytes", 0},
                {"whole_ms", 400}};
  RequestLog::Result Of{.m_Outcome = "ok",
                        .m_Organisation = "o",
                        .m_Units = 3,
                        .m_SinceFirstTry = 9ms,
                        .m_Sends = 1,
                        .m_Choice = {.m_Replicas = 4,
                                     .m_ExpectedMs = 31.2,
                                     .m_PendingMs = 10.4,
                                     .m_Reason = "free",
                                     .m_ServesIn = 70ms},
                        .m_Regions = "r",
                        .m_First = 50ms,
                        .m_Gap = 6ms,
                        .m_Last = &Last,
                        .m_Whole = 400ms};
  REQUIRE(lineOf([&](RequestLog &Log) { Log.ended(Of); }) == Expected);
  Of.m_Outcome = "overloaded";
  Of.m_Last = nullptr;
  Of.m_Choice.m_ServesIn.reset();
  Of.m_RetryAfter = 150ms;
  Expected["event"] = "not_answered";
  Expected["outcome"] = "overloaded";
  Expected["software"] = "";
  Expected["framing"] = "";
  Expected["serves_in_ms"] = nullptr;
  Expected["told_ms"] = 150;
  REQUIRE(lineOf([&](RequestLog &Log) { Log.ended(Of); }) == Expected);
}
