#include "wire/connection/CrashFrames.h"

#include <string>
#include <utility>

namespace havenstair {

namespace {

Json suspectsToJson(const auto &Suspects) {
  Json Result = Json::array();
  for (const CrashSuspect &Each : Suspects)
    Result.push_back(Each.str());
  return Result;
}

std::vector<CrashSuspect> suspectsFrom(const std::vector<std::string> &Texts) {
  std::vector<CrashSuspect> Result;
  for (const std::string &Each : Texts)
    Result.push_back(CrashSuspect::parse(Each));
  return Result;
}

CrashSuspect suspectField(const Json &From, const char *Name) {
  return CrashSuspect::parse(field<std::string>(From, Name));
}

Json toJson(const ReportedQuarantine &Quarantine) {
  return {{"request", Quarantine.m_Suspect.str()},
          {"servers", Quarantine.m_Upstreams},
          {"beside", suspectsToJson(Quarantine.m_Beside)},
          {"by", Quarantine.m_By.str()},
          {"certain", Quarantine.m_Certain},
          {"age_us", Quarantine.m_Age.count()},
          {"left_us", Quarantine.m_Left.count()}};
}

ReportedQuarantine quarantineFromJson(const Json &From) {
  const std::vector<CrashSuspect> Beside =
      suspectsFrom(fieldOr<std::vector<std::string>>(From, "beside", {}));
  return {.m_Suspect = suspectField(From, "request"),
          .m_Upstreams = field<std::vector<InstanceId>>(From, "servers"),
          .m_Beside = {Beside.begin(), Beside.end()},
          .m_By = BoxName(field<std::string>(From, "by")),
          .m_Certain = fieldOr<bool>(From, "certain", true),
          .m_Age = durationField(From, "age_us"),
          .m_Left = durationField(From, "left_us")};
}

} // namespace

/// Boxes that know nothing of parts read the digests alone.
Json toJson(const CrashFrame &Frame) {
  Json Digests = Json::array();
  Json Parts = Json::array();
  for (const RequestSuspects &Each : Frame.m_Running) {
    Digests.push_back(Each.m_Digest.str());
    Parts.push_back(suspectsToJson(Each.m_Parts));
  }
  return {{"server", Frame.m_Server.m_Id},
          {"born", Frame.m_Server.m_StartTime},
          {"running", std::move(Digests)},
          {"parts", std::move(Parts)}};
}

void fromJson(const Json &From, CrashFrame &Frame) {
  Frame.m_Server = {.m_Id = field<std::string>(From, "server"),
                    .m_StartTime = field<StartTime>(From, "born")};
  const auto Digests = field<std::vector<std::string>>(From, "running");
  const auto Parts =
      fieldOr<std::vector<std::vector<std::string>>>(From, "parts", {});
  Frame.m_Running.clear();
  for (std::size_t Index = 0; Index < Digests.size(); ++Index)
    Frame.m_Running.push_back({.m_Digest = RequestDigest(Digests[Index]),
                               .m_Parts = Index < Parts.size()
                                              ? suspectsFrom(Parts[Index])
                                              : std::vector<CrashSuspect>()});
}

Json toJson(const CrashSuspectsFrame &Frame) {
  return {{"requests", suspectsToJson(Frame.m_Suspects)}};
}

void fromJson(const Json &From, CrashSuspectsFrame &Frame) {
  Frame.m_Suspects =
      suspectsFrom(field<std::vector<std::string>>(From, "requests"));
}

Json toJson(const RequestClearedFrame &Frame) {
  return {{"request", Frame.m_Suspect.str()}, {"age_us", Frame.m_Age.count()}};
}

void fromJson(const Json &From, RequestClearedFrame &Frame) {
  Frame.m_Suspect = suspectField(From, "request");
  // Boxes that know nothing of parts tell no age.
  Frame.m_Age = From.contains("age_us") ? durationField(From, "age_us") : 0us;
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
