#include "wire/connection/CrashFrames.h"

#include <string>

namespace havenstair {

namespace {

Json digestsToJson(const std::vector<RequestDigest> &Requests) {
  Json Result = Json::array();
  for (const RequestDigest &Each : Requests)
    Result.push_back(Each.str());
  return Result;
}

std::vector<RequestDigest> digestsField(const Json &From, const char *Name) {
  std::vector<RequestDigest> Result;
  for (std::string &Each : field<std::vector<std::string>>(From, Name))
    Result.emplace_back(std::move(Each));
  return Result;
}

Json toJson(const ReportedQuarantine &Quarantine) {
  return {{"request", Quarantine.m_Request.str()},
          {"servers", Quarantine.m_Upstreams},
          {"by", Quarantine.m_By.str()},
          {"age_us", Quarantine.m_Age.count()},
          {"left_us", Quarantine.m_Left.count()}};
}

ReportedQuarantine quarantineFromJson(const Json &From) {
  return {.m_Request = RequestDigest(field<std::string>(From, "request")),
          .m_Upstreams = field<std::vector<InstanceId>>(From, "servers"),
          .m_By = BoxName(field<std::string>(From, "by")),
          .m_Age = durationField(From, "age_us"),
          .m_Left = durationField(From, "left_us")};
}

} // namespace

Json toJson(const CrashFrame &Frame) {
  return {{"server", Frame.m_Server.m_Id},
          {"born", Frame.m_Server.m_StartTime},
          {"running", digestsToJson(Frame.m_Running)}};
}

void fromJson(const Json &From, CrashFrame &Frame) {
  Frame.m_Server = {.m_Id = field<std::string>(From, "server"),
                    .m_StartTime = field<StartTime>(From, "born")};
  Frame.m_Running = digestsField(From, "running");
}

Json toJson(const CrashSuspectsFrame &Frame) {
  return {{"requests", digestsToJson(Frame.m_Requests)}};
}

void fromJson(const Json &From, CrashSuspectsFrame &Frame) {
  Frame.m_Requests = digestsField(From, "requests");
}

Json toJson(const RequestClearedFrame &Frame) {
  return {{"request", Frame.m_Request.str()}};
}

void fromJson(const Json &From, RequestClearedFrame &Frame) {
  Frame.m_Request = RequestDigest(field<std::string>(From, "request"));
}

Json toJson(const QuarantinesFrame &Frame) {
  Json Quarantines = Json::array();
  for (const ReportedQuarantine &Each : Frame.m_Quarantines)
    Quarantines.push_back(toJson(Each));
  return {{"bars", std::move(Quarantines)}};
}

void fromJson(const Json &From, QuarantinesFrame &Frame) {
  for (const Json &Each : field<std::vector<Json>>(From, "bars"))
    Frame.m_Quarantines.push_back(quarantineFromJson(Each));
}

} // namespace havenstair
