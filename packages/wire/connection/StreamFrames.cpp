#include "wire/connection/StreamFrames.h"

#include <utility>

namespace havenstair {

namespace {

/// Fields of a stream in its flat list.
constexpr std::size_t FieldsPerStream = 5;

Json originToJson(const StreamOrigin &Origin) {
  return {Origin.m_Service, Origin.m_Software.str(), Origin.m_Request.str()};
}

std::string textAt(const Json &From, std::size_t Index) {
  if (!From.is_array() || Index >= From.size() || !From[Index].is_string())
    throw DecodeError("a stream's origin is missing or wrong");
  return From[Index].get<std::string>();
}

StreamOrigin originAt(const Json &From, std::size_t Index) {
  return {.m_Service = textAt(From, Index),
          .m_Software = SoftwareVersion(textAt(From, Index + 1)),
          .m_Request = RequestDigest(textAt(From, Index + 2))};
}

} // namespace

Json toJson(const StreamsBegunFrame &Frame) {
  Json List = Json::array();
  for (const BegunStream &Each : Frame.m_Streams) {
    List.push_back(Each.m_Attempt);
    List.push_back(Each.m_Left / 1ms);
    for (Json &Text : originToJson(Each.m_Origin))
      List.push_back(std::move(Text));
  }
  Json Result{{"streams", std::move(List)}};
  if (Frame.m_Store)
    Result["store"] = true;
  return Result;
}

void fromJson(const Json &From, StreamsBegunFrame &Frame) {
  Frame.m_Store = fieldOr<bool>(From, "store", false);
  const auto List = field<Json>(From, "streams");
  if (!List.is_array() || List.size() % FieldsPerStream != 0)
    throw DecodeError("field streams is missing or wrong");
  for (std::size_t At = 0; At < List.size(); At += FieldsPerStream)
    Frame.m_Streams.push_back({.m_Attempt = textAt(List, At),
                               .m_Origin = originAt(List, At + 2),
                               .m_Left = std::chrono::milliseconds(
                                   wholeNumber<std::uint32_t>(List[At + 1]))});
}

Json toJson(const StreamQueryFrame &Frame) {
  return {{"id", Frame.m_Id},
          {"attempt", Frame.m_Attempt},
          {"service", Frame.m_Service},
          {"others", Frame.m_AskOthers}};
}

void fromJson(const Json &From, StreamQueryFrame &Frame) {
  Frame.m_Id = field<std::uint64_t>(From, "id");
  Frame.m_Attempt = field<std::string>(From, "attempt");
  Frame.m_Service = field<std::string>(From, "service");
  Frame.m_AskOthers = field<bool>(From, "others");
}

Json toJson(const StreamAnswerFrame &Frame) {
  Json Result{{"id", Frame.m_Id}, {"several", Frame.m_Several}};
  if (Frame.m_Stream.m_Origin)
    Result["origin"] = originToJson(*Frame.m_Stream.m_Origin);
  if (Frame.m_Stream.m_Contradicted)
    Result["contradicted"] = true;
  if (Frame.m_Only)
    Result["only"] = Frame.m_Only->str();
  return Result;
}

void fromJson(const Json &From, StreamAnswerFrame &Frame) {
  Frame.m_Id = field<std::uint64_t>(From, "id");
  Frame.m_Several = field<bool>(From, "several");
  Frame.m_Stream.m_Contradicted = fieldOr<bool>(From, "contradicted", false);
  if (From.contains("origin"))
    Frame.m_Stream.m_Origin = originAt(From.at("origin"), 0);
  if (From.contains("only"))
    Frame.m_Only = SoftwareVersion(field<std::string>(From, "only"));
}

} // namespace havenstair
