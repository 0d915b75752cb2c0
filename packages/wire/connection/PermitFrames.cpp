#include "wire/connection/PermitFrames.h"

namespace havenstair {

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
  return Result;
}

void fromJson(const Json &From, UpstreamSignalFrame &Frame) {
  Frame.m_Incarnation = {.m_Id = field<std::string>(From, "server"),
                         .m_StartTime = field<StartTime>(From, "born")};
  Frame.m_LimitEnded = fieldOr(From, "limit_ended", false);
  Frame.m_Leaving = fieldOr(From, "leaving", false);
  if (!From.contains("per_s"))
    return;
  const auto PerSecond = field<double>(From, "per_s");
  if (!(PerSecond >= 0))
    throw DecodeError("field per_s is negative");
  Frame.m_LimitPerSecond = PerSecond;
  Frame.m_LimitAge = durationField(From, "age_us");
}

} // namespace havenstair
