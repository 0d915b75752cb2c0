#include "wire/connection/PermitFrames.h"

namespace havenstair {

namespace {

/// Reads a rate per second; empty where it is missing.
std::optional<double> rateField(const Json &From, const char *Name) {
  if (!From.contains(Name))
    return std::nullopt;
  const auto PerSecond = field<double>(From, Name);
  if (!(PerSecond >= 0))
    throw DecodeError(std::string("field ") + Name + " is below zero");
  return PerSecond;
}

} // namespace

Json toJson(const PermitAskFrame &Frame) {
  return {{"id", Frame.m_Id},
          {"server", Frame.m_Server},
          {"patience_us", Frame.m_Patience.count()}};
}

void fromJson(const Json &From, PermitAskFrame &Frame) {
  Frame.m_Id = field<std::uint64_t>(From, "id");
  Frame.m_Server = field<std::string>(From, "server");
  Frame.m_Patience = durationField(From, "patience_us");
}

Json toJson(const PermitAnswerFrame &Frame) {
  return {{"id", Frame.m_Id},
          {"granted", Frame.m_Verdict.m_Granted},
          {"after_us", Frame.m_Verdict.m_After.count()}};
}

void fromJson(const Json &From, PermitAnswerFrame &Frame) {
  Frame.m_Id = field<std::uint64_t>(From, "id");
  Frame.m_Verdict = {.m_Granted = field<bool>(From, "granted"),
                     .m_After = durationField(From, "after_us")};
}

Json toJson(const ColdUpdateFrame &Frame) {
  return {{"server", Frame.m_Incarnation.m_Id},
          {"born", Frame.m_Incarnation.m_StartTime},
          {"cold_us", Frame.m_ColdFor.count()}};
}

void fromJson(const Json &From, ColdUpdateFrame &Frame) {
  Frame.m_Incarnation = {.m_Id = field<std::string>(From, "server"),
                         .m_StartTime = field<StartTime>(From, "born")};
  Frame.m_ColdFor = durationField(From, "cold_us");
}

Json toJson(const UpstreamSignalFrame &Frame) {
  Json Result{{"server", Frame.m_Incarnation.m_Id},
              {"born", Frame.m_Incarnation.m_StartTime}};
  if (Frame.m_LimitPerSecond) {
    Result["per_s"] = *Frame.m_LimitPerSecond;
    Result["age_us"] = Frame.m_LimitAge.count();
  }
  if (Frame.m_LimitEnded)
    Result["limit_ended"] = true;
  if (Frame.m_Leaving)
    Result["leaving"] = true;
  if (Frame.m_RefusalLimit) {
    Result["refusals_per_s"] = *Frame.m_RefusalLimit;
    Result["refusals_age_us"] = Frame.m_RefusalLimitAge.count();
  }
  if (Frame.m_RefusalLimitEnded)
    Result["refusals_ended"] = true;
  return Result;
}

void fromJson(const Json &From, UpstreamSignalFrame &Frame) {
  Frame.m_Incarnation = {.m_Id = field<std::string>(From, "server"),
                         .m_StartTime = field<StartTime>(From, "born")};
  Frame.m_LimitEnded = fieldOr(From, "limit_ended", false);
  Frame.m_Leaving = fieldOr(From, "leaving", false);
  Frame.m_RefusalLimitEnded = fieldOr(From, "refusals_ended", false);
  Frame.m_LimitPerSecond = rateField(From, "per_s");
  if (Frame.m_LimitPerSecond)
    Frame.m_LimitAge = durationField(From, "age_us");
  Frame.m_RefusalLimit = rateField(From, "refusals_per_s");
  if (Frame.m_RefusalLimit)
    Frame.m_RefusalLimitAge = durationField(From, "refusals_age_us");
}

Json toJson(const SendEndedFrame &Frame) {
  return {{"server", Frame.m_Server}, {"refused", Frame.m_Refused}};
}

void fromJson(const Json &From, SendEndedFrame &Frame) {
  Frame.m_Server = field<std::string>(From, "server");
  Frame.m_Refused = field<bool>(From, "refused");
}

} // namespace havenstair
