#include "gateway/request/RequestLog.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/Json.h"
#include <cmath>

namespace havenstair {

namespace {

/// Limit for parts of a prompt in one log line.
constexpr std::size_t MaxLoggedParts = 8;

Json partNames(const RequestSuspects &Request) {
  Json Result = Json::array();
  for (const CrashSuspect &Part : Request.m_Parts)
    if (Result.size() < MaxLoggedParts)
      Result.push_back(Part.str());
  return Result;
}

std::string_view framingName(AnswerFraming Framing) {
  switch (Framing) {
  case AnswerFraming::Length:
    return "length";
  case AnswerFraming::Chunks:
    return "chunks";
  case AnswerFraming::Connection:
    return "connection";
  }
  return "";
}

Json eventId(const std::optional<std::int64_t> &Event) {
  return Event ? Json(*Event) : Json();
}

} // namespace

void RequestLog::sent(const RequestSend &Made, const SendBasis &On) {
  m_Log.write("sent", {{"request", m_Request.m_Id},
                       {"digest", m_Suspects.m_Digest.str()},
                       {"parts", partNames(m_Suspects)},
                       {"route", m_Route.m_Name},
                       {"config", On.m_Config},
                       {"config_age_ms", On.m_Freshness.m_Age / 1ms},
                       {"config_by", On.m_Freshness.m_By.str()},
                       {"list", On.m_List.m_Number},
                       {"era", On.m_List.m_Era},
                       {"upstream", Made.m_Instance},
                       {"software", Made.m_Software.str()},
                       {"resumes", m_Request.m_Resumes},
                       {"last_event", eventId(On.m_LastEvent)},
                       {"send", On.m_Number},
                       {"model", m_Request.m_Model},
                       {"pending_ms", std::lround(Made.m_PendingMs)},
                       {"work_ms", std::lround(Made.m_WorkMs)},
                       {"expected_ms", std::lround(Made.m_ExpectedMs)}});
}

void RequestLog::passedOn(const PassBasis &On) {
  m_Log.write("passed_on", {{"request", m_Request.m_Id},
                            {"digest", m_Suspects.m_Digest.str()},
                            {"route", m_Route.m_Name},
                            {"config", On.m_Config},
                            {"box", On.m_Box.str()},
                            {"send", On.m_Number},
                            {"partitioned", On.m_Partitioned},
                            {"waited_ms", On.m_Waited / 1ms}});
}

void RequestLog::sendFailed(const RequestSend &Made, const SendResult &Result,
                            TimePoint Now) {
  m_Log.write("send_failed",
              {{"request", m_Request.m_Id},
               {"digest", m_Suspects.m_Digest.str()},
               {"parts", partNames(m_Suspects)},
               {"upstream", Made.m_Instance},
               {"software", Made.m_Software.str()},
               {"box", Made.m_Box ? Made.m_Box->m_Box.str() : std::string()},
               {"send", Result.m_Number},
               {"outcome", outcomeName(Result.m_Outcome)},
               {"status", Made.m_Answer.status()},
               {"foreign", Made.m_Answer.foreign()},
               {"after_ms", (Now - Made.m_At) / 1ms},
               {"passed", Result.m_Passed},
               {"framing", framingName(Made.m_Answer.framing())},
               {"rest_bytes", Result.m_RestBytes},
               {"step", stepName(Result.m_Step)}});
}

void RequestLog::resumed(const FoundOrigin &Found, const ResumeBasis &On) {
  m_Log.write("resumed", {{"request", m_Request.m_Id},
                          {"resumes", m_Request.m_Resumes},
                          {"last_event", eventId(On.m_LastEvent)},
                          {"by", originSourceName(Found.m_Source)},
                          {"software", Found.m_Software.str()},
                          {"known", On.m_Known},
                          {"usable", On.m_Usable},
                          {"after_ms", On.m_Waited / 1ms}});
}

void RequestLog::answerNotHeld(std::size_t Bytes, const MemoryBudget &Memory) {
  m_Log.write("answer_not_held", {{"request", m_Request.m_Id},
                                  {"bytes", Bytes},
                                  {"held", Memory.held()},
                                  {"limit", Memory.limit()}});
}

void RequestLog::ended(const Result &Of) {
  const ChoiceDetails &Choice = Of.m_Choice;
  m_Log.write(
      Of.m_Outcome == "ok" ? "answered" : "not_answered",
      {{"request", m_Request.m_Id},
       {"digest", m_Suspects.m_Digest.str()},
       {"route", m_Route.m_Name},
       {"outcome", Of.m_Outcome},
       {"organisation", Of.m_Organisation},
       {"passed_here", Of.m_PassedHere},
       {"units", std::lround(Of.m_Units)},
       {"model", m_Request.m_Model},
       {"adapter", m_Request.m_Adapter},
       {"tried_before_ms", Of.m_SinceFirstTry / 1ms},
       {"sends", Of.m_Sends},
       {"replicas", Choice.m_Replicas},
       {"expected_ms", std::lround(Choice.m_ExpectedMs)},
       {"pending_ms", std::lround(Choice.m_PendingMs)},
       {"judged", Choice.m_Reason},
       {"regions", Of.m_Regions},
       {"serves_in_ms",
        Choice.m_ServesIn ? Json(*Choice.m_ServesIn / 1ms) : Json()},
       {"told_ms", Of.m_RetryAfter / 1ms},
       {"target_ms", m_Route.m_Target / 1ms},
       {"gap_target_ms", m_Route.m_GapTarget / 1ms},
       {"first_ms", Of.m_First / 1ms},
       {"gap_ms", Of.m_Gap / 1ms},
       {"software",
        Of.m_Last != nullptr ? Of.m_Last->m_Software.str() : std::string()},
       {"framing",
        Of.m_Last != nullptr ? framingName(Of.m_Last->m_Answer.framing()) : ""},
       {"rest_bytes", Of.m_RestBytes},
       {"whole_ms", Of.m_Whole / 1ms}});
}

} // namespace havenstair
