#include "wire/connection/QuotaFrames.h"

#include <cmath>

namespace havenstair {

namespace {

/// Beyond this, doubles do not hold every whole number.
constexpr double MaxUnits = 9e15;

double units(const Json &From) {
  const double Value = From.is_number() ? From.get<double>() : std::nan("");
  if (!std::isfinite(Value) || std::abs(Value) > MaxUnits)
    throw DecodeError("units of a quota are no number, or out of range");
  return Value;
}

double unitsField(const Json &From, const char *Name) {
  return units(field<Json>(From, Name));
}

} // namespace

Json toJson(const QuotaAskFrame &Frame) {
  return {{"id", Frame.m_Id},
          {"organisation", Frame.m_Organisation},
          {"units", Frame.m_Request.m_Units},
          {"patience_us", Frame.m_Request.m_Patience.count()},
          {"waited", Frame.m_Request.m_Waited},
          {"used", Frame.m_Used}};
}

void fromJson(const Json &From, QuotaAskFrame &Frame) {
  Frame.m_Id = field<std::uint64_t>(From, "id");
  Frame.m_Organisation = field<std::string>(From, "organisation");
  Frame.m_Request = {.m_Units = unitsField(From, "units"),
                     .m_Patience =
                         Duration(field<std::uint32_t>(From, "patience_us")),
                     .m_Waited = field<bool>(From, "waited")};
  Frame.m_Used = field<bool>(From, "used");
}

Json toJson(const QuotaAnswerFrame &Frame) {
  return {{"id", Frame.m_Id},
          {"step", static_cast<int>(Frame.m_Verdict.m_Step)},
          {"after_us", Frame.m_Verdict.m_After.count()},
          {"ample", Frame.m_Verdict.m_Ample}};
}

void fromJson(const Json &From, QuotaAnswerFrame &Frame) {
  constexpr int Steps = static_cast<int>(QuotaStep::Refuse) + 1;
  Frame.m_Id = field<std::uint64_t>(From, "id");
  const int Step = field<int>(From, "step");
  if (Step < 0 || Step >= Steps)
    throw DecodeError("field step is out of range");
  Frame.m_Verdict = {.m_Step = static_cast<QuotaStep>(Step),
                     .m_After =
                         Duration(field<std::uint32_t>(From, "after_us")),
                     .m_Ample = field<bool>(From, "ample")};
}

Json toJson(const QuotaUseFrame &Frame) {
  Json Reports = Json::array();
  for (const auto &[Organisation, Report] : Frame.m_Reports)
    Reports.push_back(Json::array(
        {Organisation, Report.m_Used, Report.m_Recent, Report.m_Level}));
  return {{"boxes", Frame.m_Boxes},
          {"settled", Frame.m_Settled},
          {"words", std::move(Reports)}};
}

void fromJson(const Json &From, QuotaUseFrame &Frame) {
  constexpr std::size_t Parts = 4;
  Frame.m_Boxes = field<std::uint32_t>(From, "boxes");
  Frame.m_Settled = field<bool>(From, "settled");
  for (const Json &Each : field<std::vector<Json>>(From, "words")) {
    if (!Each.is_array() || Each.size() != Parts || !Each[0].is_string())
      throw DecodeError("an entry of field words has the wrong form");
    Frame.m_Reports[Each[0].get<std::string>()] = {.m_Used = units(Each[1]),
                                                   .m_Recent = units(Each[2]),
                                                   .m_Level = units(Each[3])};
  }
}

} // namespace havenstair
