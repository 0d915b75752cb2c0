#include "wire/connection/PeerFrames.h"

#include "wire/common/Deflate.h"
#include "wire/common/Json.h"
#include "wire/version/TableJson.h"
#include <array>

namespace havenstair {

namespace {

struct FrameKind {
  std::string_view m_Name;
  PeerProtocol m_Since = FirstProtocol;
};

/// By number, which is what a frame carries: other builds read it, so that a
/// kind is added at the end, with the next protocol, and none is ever moved.
constexpr std::array<FrameKind, std::variant_size_v<PeerFrame>> Kinds{{
    {"hello"},
    {"proof"},
    {"forward"},
    {"cancel"},
    {"started"},
    {"head"},
    {"bytes"},
    {"ended"},
    {"failed"},
    {"digest"},
    {"demand"},
    {"table"},
    {"assignment"},
    {"plan"},
    {"move"},
    {"limit_ask"},
    {"limit_answer"},
    {"limit_tell"},
    {"fleet_digest"},
    {"fleet_want"},
    {"fleet_keys"},
    {"fleet_contents"},
    {"fleet_missing"},
    {"fleet_loads"},
    {"quota_ask"},
    {"quota_answer"},
    {"quota_use"},
    {"warm_up_ask"},
    {"warm_up_answer"},
    {"warm_up_news"},
    {"crash", 2},
    {"crash_suspects", 2},
    {"ran_well", 2},
    {"request_bars", 2},
    {"packed", 3},
    {"fleet_totals", 3},
    {"server_word", 4},
    {"send_ended", 6},
    {"streams_begun", 7},
    {"stream_query", 7},
    {"stream_answer", 7},
}};

/// Which alternative of the variant a message is; no message uses the name.
constexpr const char *KindField = "frame";

Json binary(const std::string &Bytes) {
  return Json::binary({Bytes.begin(), Bytes.end()});
}

std::string binaryField(const Json &From, const char *Name) {
  const auto Found = From.find(Name);
  if (Found == From.end() || !Found->is_binary())
    throw DecodeError(std::string("field ") + Name + " is missing or wrong");
  const Json::binary_t &Bytes = Found->get_binary();
  return {Bytes.begin(), Bytes.end()};
}

/// An enumerator by number; \throws DecodeError when there is none.
template <typename Enum>
Enum enumField(const Json &From, const char *Name, int Count) {
  const int Value = field<int>(From, Name);
  if (Value < 0 || Value >= Count)
    throw DecodeError(std::string("field ") + Name + " is out of range");
  return static_cast<Enum>(Value);
}

template <typename Key, typename Value>
Json mapToJson(const std::map<Key, Value> &Map) {
  Json Result = Json::object();
  for (const auto &[Name, Each] : Map)
    Result[Name.str()] = Each;
  return Result;
}

template <typename Key, typename Value>
std::map<Key, Value> mapFromJson(const Json &From, const char *Name) {
  using Plain = std::map<std::string, Value>;
  std::map<Key, Value> Result;
  for (auto &[Text, Each] : field<Plain>(From, Name))
    Result.emplace(Key(Text), Each);
  return Result;
}

/// A frame may unpack to this: the whole list of ten times the fleet that the
/// design is for.
constexpr std::size_t MostUnpackedBytes = std::size_t{64} << 20;

constexpr int RoleCount = 3;
constexpr int MoveVerbCount = 2;

Json toJson(const HelloFrame &Frame) {
  return {{"box", Frame.m_Box.str()},
          {"dc", Frame.m_DataCentre.str()},
          {"nonce", Frame.m_Nonce},
          {"protocol", Frame.m_Protocol}};
}

void fromJson(const Json &From, HelloFrame &Frame) {
  Frame.m_Box = BoxName(field<std::string>(From, "box"));
  Frame.m_DataCentre = DataCentreName(field<std::string>(From, "dc"));
  Frame.m_Nonce = field<std::string>(From, "nonce");
  Frame.m_Protocol = fieldOr<int>(From, "protocol", FirstProtocol);
}

Json toJson(const ProofFrame &Frame) { return {{"hmac", Frame.m_Hmac}}; }

void fromJson(const Json &From, ProofFrame &Frame) {
  Frame.m_Hmac = field<std::string>(From, "hmac");
}

Json toJson(const ForwardFrame &Frame) {
  const ForwardedRequest &Request = Frame.m_Request;
  return {{"id", Request.m_Id.str()},
          {"attempt", Request.m_Attempt},
          {"role", static_cast<int>(Request.m_Role)},
          {"group", Request.m_Group.str()},
          {"upstream", Request.m_Upstream.str()},
          {"artifact", Request.m_Artifact.str()},
          {"service", Request.m_Service},
          {"method", Request.m_Method},
          {"target", Request.m_Target},
          {"type", Request.m_ContentType},
          {"body", binary(Request.m_Body)},
          {"unsafe", Request.m_Unsafe},
          {"stream", Request.m_Stream},
          {"key", Request.m_Key.str()},
          {"priority", Request.m_Priority},
          {"budget", Request.m_Budget.count()},
          {"cost", Request.m_Cost},
          {"prefix", Request.m_Prefix},
          {"hops", Request.m_Hops}};
}

void fromJson(const Json &From, ForwardFrame &Frame) {
  ForwardedRequest &Request = Frame.m_Request;
  Request.m_Id = RequestId(field<std::string>(From, "id"));
  Request.m_Attempt = field<AttemptId>(From, "attempt");
  Request.m_Role = enumField<ForwardRole>(From, "role", RoleCount);
  Request.m_Group = GroupName(field<std::string>(From, "group"));
  Request.m_Upstream = UpstreamName(field<std::string>(From, "upstream"));
  Request.m_Artifact = ArtifactName(field<std::string>(From, "artifact"));
  Request.m_Service = field<std::string>(From, "service");
  Request.m_Method = field<std::string>(From, "method");
  Request.m_Target = field<std::string>(From, "target");
  Request.m_ContentType = field<std::string>(From, "type");
  Request.m_Body = binaryField(From, "body");
  Request.m_Unsafe = field<bool>(From, "unsafe");
  Request.m_Stream = field<bool>(From, "stream");
  Request.m_Key = IdempotencyKey(field<std::string>(From, "key"));
  Request.m_Priority = field<int>(From, "priority");
  Request.m_Budget = micros(From, "budget");
  Request.m_Cost = field<double>(From, "cost");
  Request.m_Prefix = field<std::uint64_t>(From, "prefix");
  Request.m_Hops = field<int>(From, "hops");
}

Json toJson(const CancelFrame &Frame) { return {{"attempt", Frame.m_Attempt}}; }

void fromJson(const Json &From, CancelFrame &Frame) {
  Frame.m_Attempt = field<AttemptId>(From, "attempt");
}

Json toJson(const StartedFrame &Frame) {
  return {{"attempt", Frame.m_Attempt}, {"waited", Frame.m_Waited.count()}};
}

void fromJson(const Json &From, StartedFrame &Frame) {
  Frame.m_Attempt = field<AttemptId>(From, "attempt");
  Frame.m_Waited = micros(From, "waited");
}

Json toJson(const HeadFrame &Frame) {
  return {{"attempt", Frame.m_Attempt},
          {"status", Frame.m_Head.m_Status},
          {"type", Frame.m_Head.m_ContentType}};
}

void fromJson(const Json &From, HeadFrame &Frame) {
  Frame.m_Attempt = field<AttemptId>(From, "attempt");
  Frame.m_Head.m_Status = field<int>(From, "status");
  Frame.m_Head.m_ContentType = field<std::string>(From, "type");
}

Json toJson(const BytesFrame &Frame) {
  return {{"attempt", Frame.m_Attempt}, {"bytes", binary(Frame.m_Bytes)}};
}

void fromJson(const Json &From, BytesFrame &Frame) {
  Frame.m_Attempt = field<AttemptId>(From, "attempt");
  Frame.m_Bytes = binaryField(From, "bytes");
}

Json toJson(const EndedFrame &Frame) {
  return {{"attempt", Frame.m_Attempt}, {"tokens", Frame.m_Tokens}};
}

void fromJson(const Json &From, EndedFrame &Frame) {
  Frame.m_Attempt = field<AttemptId>(From, "attempt");
  Frame.m_Tokens = field<double>(From, "tokens");
}

Json toJson(const FailedFrame &Frame) {
  return {{"attempt", Frame.m_Attempt},
          {"error", static_cast<int>(Frame.m_Failure.m_Kind)},
          {"retry", Frame.m_Failure.m_RetryAfter.count()},
          {"detail", Frame.m_Failure.m_Detail}};
}

void fromJson(const Json &From, FailedFrame &Frame) {
  Frame.m_Attempt = field<AttemptId>(From, "attempt");
  Frame.m_Failure.m_Kind = enumField<ErrorKind>(From, "error", ErrorKindCount);
  Frame.m_Failure.m_RetryAfter = micros(From, "retry");
  Frame.m_Failure.m_Detail = field<std::string>(From, "detail");
}

Json toJson(const UpstreamDigest &Digest) {
  Json Serving = Json::array();
  for (const ArtifactName &Name : Digest.m_Serving)
    Serving.push_back(Name.str());
  return {{"name", Digest.m_Upstream.str()},
          {"assignment", Digest.m_Assignment},
          {"sequence", Digest.m_Sequence},
          {"ready", Digest.m_Ready},
          {"service", Digest.m_Service},
          {"serving", std::move(Serving)},
          {"held", mapToJson(Digest.m_Held)},
          {"available", Digest.m_Available},
          {"running", Digest.m_Load.m_Running},
          {"waiting", Digest.m_Load.m_Waiting},
          {"refused", Digest.m_Load.m_Refused},
          {"slots", Digest.m_Load.m_Slots}};
}

UpstreamDigest upstreamDigestFromJson(const Json &From) {
  UpstreamDigest Digest;
  Digest.m_Upstream = UpstreamName(field<std::string>(From, "name"));
  Digest.m_Assignment = field<FencingToken>(From, "assignment");
  Digest.m_Sequence = field<std::uint64_t>(From, "sequence");
  Digest.m_Ready = field<bool>(From, "ready");
  Digest.m_Service = field<std::string>(From, "service");
  for (std::string &Name : field<std::vector<std::string>>(From, "serving"))
    Digest.m_Serving.emplace(std::move(Name));
  Digest.m_Held = mapFromJson<ArtifactName, MemoryMiB>(From, "held");
  Digest.m_Available = field<MemoryMiB>(From, "available");
  Digest.m_Load.m_Running = field<int>(From, "running");
  Digest.m_Load.m_Waiting = field<int>(From, "waiting");
  Digest.m_Load.m_Refused = field<int>(From, "refused");
  Digest.m_Load.m_Slots = field<int>(From, "slots");
  if (Digest.m_Load.m_Slots < 1)
    throw DecodeError("field slots is out of range");
  return Digest;
}

constexpr std::size_t NumbersPerNote = 4;

/// One flat list of numbers: a note takes about five bytes in CBOR.
Json toJson(const std::vector<LoadNote> &Notes) {
  Json Numbers = Json::array();
  for (const LoadNote &Note : Notes)
    for (int Number : {Note.m_Place, Note.m_Load.m_Running,
                       Note.m_Load.m_Waiting, Note.m_Load.m_Refused})
      Numbers.push_back(Number);
  return Numbers;
}

std::vector<LoadNote> loadNotesFromJson(const Json &From) {
  if (!From.is_array() || From.size() % NumbersPerNote != 0)
    throw DecodeError("field loads is missing or wrong");
  std::vector<LoadNote> Notes;
  for (std::size_t At = 0; At < From.size(); At += NumbersPerNote)
    Notes.push_back({.m_Place = wholeNumber<int>(From[At]),
                     .m_Load = {.m_Running = wholeNumber<int>(From[At + 1]),
                                .m_Waiting = wholeNumber<int>(From[At + 2]),
                                .m_Refused = wholeNumber<int>(From[At + 3])}});
  return Notes;
}

/// Adds the field unless it is empty; most digests have little to tell.
void addUnlessEmpty(Json &To, const char *Name, Json Value) {
  if (!Value.empty())
    To[Name] = std::move(Value);
}

Json toJson(const DigestFrame &Frame) {
  Json Upstreams = Json::array();
  for (const UpstreamDigest &Digest : Frame.m_Upstreams)
    Upstreams.push_back(toJson(Digest));
  Json Shunned = Json::array();
  for (const BoxName &Box : Frame.m_Shunned)
    Shunned.push_back(Box.str());
  Json Result{{"as", Frame.m_AssignmentSeen},
              {"table", Frame.m_TableCompleteTo}};
  if (Frame.m_Stopping)
    Result["stopping"] = true;
  addUnlessEmpty(Result, "shunned", std::move(Shunned));
  addUnlessEmpty(Result, "upstreams", std::move(Upstreams));
  addUnlessEmpty(Result, "loads", toJson(Frame.m_Loads));
  addUnlessEmpty(Result, "leaving", mapToJson(Frame.m_Leaving));
  addUnlessEmpty(Result, "served", mapToJson(Frame.m_Served));
  return Result;
}

void fromJson(const Json &From, DigestFrame &Frame) {
  Frame.m_AssignmentSeen = field<FencingToken>(From, "as");
  Frame.m_TableCompleteTo = field<TableVersion>(From, "table");
  Frame.m_Stopping = fieldOr<bool>(From, "stopping", false);
  for (std::string &Box :
       fieldOr<std::vector<std::string>>(From, "shunned", {}))
    Frame.m_Shunned.emplace(std::move(Box));
  for (const Json &Each : fieldOr<std::vector<Json>>(From, "upstreams", {}))
    Frame.m_Upstreams.push_back(upstreamDigestFromJson(Each));
  Frame.m_Loads =
      loadNotesFromJson(fieldOr<Json>(From, "loads", Json::array()));
  if (From.contains("leaving"))
    Frame.m_Leaving = mapFromJson<UpstreamName, std::uint64_t>(From, "leaving");
  if (From.contains("served"))
    Frame.m_Served = mapFromJson<GroupName, double>(From, "served");
}

Json toJson(const DemandFrame &Frame) {
  return {{"demand", mapToJson(Frame.m_Demand)}};
}

void fromJson(const Json &From, DemandFrame &Frame) {
  Frame.m_Demand = mapFromJson<ArtifactName, double>(From, "demand");
}

Json toJson(const TableFrame &Frame) {
  Json Rows = Json::array();
  for (const GroupRow &Row : Frame.m_Rows)
    Rows.push_back(toJson(Row));
  Json Result{{"rows", std::move(Rows)}, {"complete_to", Frame.m_CompleteTo}};
  if (Frame.m_Catalogue)
    Result["catalogue"] = toJson(*Frame.m_Catalogue);
  return Result;
}

void fromJson(const Json &From, TableFrame &Frame) {
  Frame.m_CompleteTo = field<TableVersion>(From, "complete_to");
  for (const Json &Each : field<std::vector<Json>>(From, "rows"))
    Frame.m_Rows.push_back(groupRowFromJson(Each));
  if (From.contains("catalogue"))
    Frame.m_Catalogue = catalogueFromJson(From.at("catalogue"));
}

Json toJson(const AssignmentFrame &Frame) {
  return {{"assignment", toJson(Frame.m_Assignment)}};
}

void fromJson(const Json &From, AssignmentFrame &Frame) {
  Frame.m_Assignment = assignmentFromJson(field<Json>(From, "assignment"));
}

Json toJson(const Move &Of) {
  return {{"upstream", Of.m_Upstream.str()},
          {"verb", static_cast<int>(Of.m_Verb)},
          {"artifact", Of.m_Artifact.str()},
          {"size", Of.m_Size},
          {"reason", static_cast<int>(Of.m_Reason)},
          {"why", Of.m_Explanation}};
}

Move moveFromJson(const Json &From) {
  Move Result;
  Result.m_Upstream = UpstreamName(field<std::string>(From, "upstream"));
  Result.m_Verb = enumField<MoveVerb>(From, "verb", MoveVerbCount);
  Result.m_Artifact = ArtifactName(field<std::string>(From, "artifact"));
  Result.m_Size = field<MemoryMiB>(From, "size");
  Result.m_Reason = enumField<MoveReason>(From, "reason", MoveReasonCount);
  Result.m_Explanation = field<std::string>(From, "why");
  return Result;
}

Json toJson(const PlanFrame &Frame) { return {{"move", toJson(Frame.m_Move)}}; }

void fromJson(const Json &From, PlanFrame &Frame) {
  Frame.m_Move = moveFromJson(field<Json>(From, "move"));
}

Json toJson(const MoveFrame &Frame) {
  return {{"id", Frame.m_Record.m_Id},
          {"move", toJson(Frame.m_Record.m_Move)},
          {"by", Frame.m_Record.m_OrderedBy.str()},
          {"at", Frame.m_Record.m_At}};
}

void fromJson(const Json &From, MoveFrame &Frame) {
  Frame.m_Record.m_Id = field<std::string>(From, "id");
  Frame.m_Record.m_Move = moveFromJson(field<Json>(From, "move"));
  Frame.m_Record.m_OrderedBy = BoxName(field<std::string>(From, "by"));
  Frame.m_Record.m_At = field<WallMillis>(From, "at");
}

Json toJson(const LimitAskFrame &Frame) {
  return {{"id", Frame.m_Id},
          {"group", Frame.m_Group.str()},
          {"running", Frame.m_Running},
          {"limit", Frame.m_Limit}};
}

void fromJson(const Json &From, LimitAskFrame &Frame) {
  Frame.m_Id = field<std::uint64_t>(From, "id");
  Frame.m_Group = GroupName(field<std::string>(From, "group"));
  Frame.m_Running = field<int>(From, "running");
  Frame.m_Limit = field<int>(From, "limit");
}

Json toJson(const LimitAnswerFrame &Frame) {
  return {{"id", Frame.m_Id}, {"allowed", Frame.m_Allowed}};
}

void fromJson(const Json &From, LimitAnswerFrame &Frame) {
  Frame.m_Id = field<std::uint64_t>(From, "id");
  Frame.m_Allowed = field<bool>(From, "allowed");
}

Json toJson(const LimitUpdateFrame &Frame) {
  return {{"group", Frame.m_Group.str()}, {"running", Frame.m_Running}};
}

void fromJson(const Json &From, LimitUpdateFrame &Frame) {
  Frame.m_Group = GroupName(field<std::string>(From, "group"));
  Frame.m_Running = field<int>(From, "running");
}

Json toJson(const PackedFrame &Frame) {
  return {{"size", Frame.m_Size}, {"bytes", binary(Frame.m_Bytes)}};
}

void fromJson(const Json &From, PackedFrame &Frame) {
  Frame.m_Size = field<std::size_t>(From, "size");
  Frame.m_Bytes = binaryField(From, "bytes");
}

/// Decodes into the alternative number \p Index of the variant.
template <std::size_t Index = 0>
PeerFrame decodeAs(std::size_t Wanted, const Json &From) {
  if constexpr (Index < std::variant_size_v<PeerFrame>) {
    if (Wanted != Index)
      return decodeAs<Index + 1>(Wanted, From);
    std::variant_alternative_t<Index, PeerFrame> Frame;
    fromJson(From, Frame);
    return Frame;
  } else {
    throw UnknownFrame("unknown kind of frame");
  }
}

} // namespace

std::string_view frameName(const PeerFrame &Frame) {
  return Kinds.at(Frame.index()).m_Name;
}

PeerProtocol protocolOf(const PeerFrame &Frame) {
  return Kinds.at(Frame.index()).m_Since;
}

std::string encodeFrame(const PeerFrame &Frame) {
  Json Body = std::visit([](const auto &Each) { return toJson(Each); }, Frame);
  Body[KindField] = Frame.index();
  std::string Bytes;
  Json::to_cbor(Body, Bytes);
  return Bytes;
}

namespace {

PeerFrame decodeOne(std::string_view Bytes) {
  const Json Body = parseCbor(Bytes);
  return decodeAs(field<std::size_t>(Body, KindField), Body);
}

} // namespace

PeerFrame decodeGreeting(std::string_view Bytes) {
  PeerFrame Frame = decodeOne(Bytes);
  if (!std::holds_alternative<HelloFrame>(Frame) &&
      !std::holds_alternative<ProofFrame>(Frame))
    throw DecodeError("neither a hello nor a proof");
  return Frame;
}

PeerFrame decodeFrame(std::string_view Bytes) {
  PeerFrame Frame = decodeOne(Bytes);
  const auto *Packed = std::get_if<PackedFrame>(&Frame);
  if (Packed == nullptr)
    return Frame;
  if (Packed->m_Size > MostUnpackedBytes)
    throw DecodeError("a compressed frame is too large");
  Frame = decodeOne(inflateBytes(Packed->m_Bytes, Packed->m_Size));
  if (std::holds_alternative<PackedFrame>(Frame))
    throw DecodeError("a frame is compressed twice");
  return Frame;
}

} // namespace havenstair
