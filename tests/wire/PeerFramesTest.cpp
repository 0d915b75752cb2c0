#include "wire/connection/PeerFrames.h"
#include "support/Draw.h"
#include "support/Names.h"
#include "wire/common/Deflate.h"
#include "wire/common/Json.h"
#include "wire/connection/EncodedFrame.h"

using namespace havenstair;

namespace {

std::string drawnText() { return *rc::gen::arbitrary<std::string>(); }

ForwardedRequest drawnRequest() {
  ForwardedRequest Request;
  Request.m_Id = requestId(*drawn(0, 1000));
  Request.m_Attempt = *rc::gen::arbitrary<std::uint64_t>();
  Request.m_Role = static_cast<ForwardRole>(*drawn(0, 3));
  Request.m_Group = groupName(*drawn(0, 5));
  Request.m_Upstream = upstreamName(*drawn(0, 5));
  Request.m_Artifact = modelName(*drawn(0, 5));
  Request.m_Service = "booking";
  Request.m_Method = "POST";
  Request.m_Target = "/v1/completions";
  Request.m_ContentType = "application/json";
  Request.m_Body = drawnText();
  Request.m_Unsafe = *rc::gen::arbitrary<bool>();
  Request.m_Stream = *rc::gen::arbitrary<bool>();
  Request.m_Key = IdempotencyKey("key");
  Request.m_Priority = *drawn(0, 10);
  Request.m_Budget = Duration(*drawn(0, 1000000));
  Request.m_Cost = *drawn(1, 1000) / 8.0;
  Request.m_Prefix = *rc::gen::arbitrary<std::uint64_t>();
  Request.m_Hops = *drawn(0, 2);
  return Request;
}

UpstreamDigest drawnDigest() {
  UpstreamDigest Digest;
  Digest.m_Upstream = upstreamName(*drawn(0, 5));
  Digest.m_Assignment = static_cast<FencingToken>(*drawn(0, 100));
  Digest.m_Sequence = static_cast<std::uint64_t>(*drawn(0, 100));
  Digest.m_Ready = *rc::gen::arbitrary<bool>();
  Digest.m_Service = "";
  for (int Count = *drawn(0, 4); Count > 0; --Count) {
    Digest.m_Serving.insert(modelName(Count));
    Digest.m_Held[modelName(Count)] = *drawn(1, 9000);
  }
  Digest.m_Available = *drawn(-100, 9000);
  Digest.m_Load = {*drawn(0, 9), *drawn(0, 9), *drawn(1, 9), *drawn(0, 9)};
  return Digest;
}

DigestFrame drawnDigestFrame() {
  DigestFrame Frame;
  Frame.m_AssignmentSeen = static_cast<FencingToken>(*drawn(0, 100));
  Frame.m_TableCompleteTo = static_cast<TableVersion>(*drawn(0, 100));
  Frame.m_Stopping = *rc::gen::arbitrary<bool>();
  Frame.m_Shunned = {boxName(*drawn(0, 4))};
  Frame.m_Upstreams = {drawnDigest()};
  Frame.m_Leaving[upstreamName(1)] = static_cast<std::uint64_t>(*drawn(0, 9));
  Frame.m_Served[groupName(1)] = *drawn(0, 100) / 4.0;
  Frame.m_Loads = {{.m_Place = *drawn(0, 500),
                    .m_Load = {.m_Running = *drawn(0, 9),
                               .m_Waiting = *drawn(0, 9),
                               .m_Refused = *drawn(0, 9)}}};
  return Frame;
}

Move drawnMove() {
  return {.m_Upstream = upstreamName(*drawn(0, 5)),
          .m_Verb = static_cast<MoveVerb>(*drawn(0, 2)),
          .m_Artifact = modelName(*drawn(0, 5)),
          .m_Size = *drawn(1, 9000),
          .m_Reason = static_cast<MoveReason>(*drawn(0, MoveReasonCount)),
          .m_Explanation = "Because."};
}

TableFrame drawnTable() {
  TableFrame Frame;
  Frame.m_CompleteTo = static_cast<TableVersion>(*drawn(0, 100));
  GroupRow Row{.m_Group = groupName(*drawn(0, 5))};
  Row.m_Weight = *drawn(1, 100) / 4.0;
  Row.m_Limits = {*drawn(0, 9) / 2.0, *drawn(0, 9), *drawn(0, 9) / 2.0};
  Row.m_Targets.m_FirstToken = std::chrono::milliseconds(*drawn(1, 999));
  Row.m_Artifacts = {modelName(*drawn(0, 5))};
  Row.m_Services = {"booking"};
  Row.m_KeyHashes = {std::string(64, 'b')};
  Row.m_Version = static_cast<TableVersion>(*drawn(1, 100));
  Row.m_EditId = "edit";
  Row.m_Removed = *rc::gen::arbitrary<bool>();
  Frame.m_Rows = {Row};
  if (*rc::gen::arbitrary<bool>()) {
    Frame.m_Catalogue = Catalogue{.m_Version = 3, .m_EditId = "e"};
    Frame.m_Catalogue->m_Entries[modelName(1)] = {
        .m_Name = modelName(1), .m_Size = 5, .m_Base = modelName(2)};
  }
  return Frame;
}

Assignment drawnAssignment() {
  return *nextAssignment({}, {boxName(*drawn(0, 5)), boxName(7)},
                         {upstreamName(1), upstreamName(2)});
}

InstanceLoads drawnLoads() {
  InstanceLoads Loads;
  for (int Count = *drawn(0, 3); Count > 0; --Count)
    Loads["i-" + std::to_string(Count)] = {.m_Running = *drawn(0, 64),
                                           .m_PendingMs = 1.0 * *drawn(0, 900),
                                           .m_Tokens = 1.0 * *drawn(0, 9000)};
  return Loads;
}

/// A revision of any era; frames name no era of a revision without a number.
StoreRevision drawnRevision(StoreEra Era = *drawn<StoreEra>(1, 5)) {
  return revision(*rc::gen::inRange<std::uint64_t>(1, UINT64_MAX), Era);
}

FleetDigestFrame drawnFleetDigest() {
  FleetDigestFrame Frame;
  Frame.m_Number = *rc::gen::arbitrary<std::uint64_t>();
  Frame.m_Echo = *rc::gen::arbitrary<std::uint64_t>();
  Frame.m_Config = *rc::gen::arbitrary<std::uint64_t>();
  Frame.m_ConfigKnown =
      std::max(Frame.m_Config, *rc::gen::arbitrary<std::uint64_t>());
  Frame.m_List = drawnRevision();
  Frame.m_Boxes = drawnRevision();
  Frame.m_Evacuations = drawnRevision();
  Frame.m_Era = *drawn<StoreEra>(1, 5);
  Frame.m_Stopping = *rc::gen::arbitrary<bool>();
  Frame.m_Leaf = *rc::gen::arbitrary<bool>();
  Frame.m_Reads = *rc::gen::arbitrary<bool>();
  Frame.m_ListAge = std::min<Duration>(
      NoListAge, std::chrono::milliseconds(*rc::gen::inRange(0, 4'000'000)));
  Frame.m_Leading = *rc::gen::arbitrary<bool>();
  Frame.m_Leader = {.m_Token = *rc::gen::arbitrary<std::uint64_t>(),
                    .m_Box = boxName(*drawn(0, 9))};
  Frame.m_Loads = drawnLoads();
  Frame.m_Demand[{"s", "m", "a"}] = {.m_Requests = 1.0 * *drawn(0, 90),
                                     .m_WorkMs = 1.0 * *drawn(0, 9000)};
  return Frame;
}

FleetKeysFrame drawnKeys() {
  const StoreRevision Newest = drawnRevision();
  return {.m_Prefix = "prefix",
          .m_Since = drawnRevision(Newest.m_Era),
          .m_Revision = Newest,
          .m_Items = {{.m_Key = "k",
                       .m_Value = drawnText(),
                       .m_Revision = revision(4, Newest.m_Era)}},
          .m_Gone = {"gone"}};
}

FleetContentsFrame drawnContents() {
  EngineContents Contents;
  Contents.m_Loading = *rc::gen::element<std::string>("", "m7");
  Contents.m_ServesIn = std::chrono::milliseconds(*rc::gen::inRange(0, 9000));
  Contents.m_Engine = "i-1";
  Contents.m_StartTime = *rc::gen::element<StartTime>(0, 1790000000123);
  Contents.m_Models = {{.m_Name = "m", .m_Adapters = {"a1", "a2"}}};
  Contents.m_Retiring = {"m"};
  return {.m_FencingToken = *rc::gen::arbitrary<std::uint64_t>(),
          .m_Engines = {Contents}};
}

QuotaUseFrame drawnUse() {
  return {.m_Boxes = *drawn(0U, 300U),
          .m_Settled = *rc::gen::arbitrary<bool>(),
          .m_Reports = {{"o",
                         {.m_Used = *drawn(0, 9000) / 2.0,
                          .m_Recent = *drawn(-90, 90) / 2.0,
                          .m_Level = *drawn(-9000, 9000) / 4.0}}}};
}

PackedFrame packed(const PeerFrame &Frame) {
  const std::string Bytes = encodeFrame(Frame);
  return {.m_Size = Bytes.size(), .m_Bytes = deflateBytes(Bytes)};
}

/// What the receiver of \p Frame gets: of a compressed one, what is in it.
PeerFrame received(const PeerFrame &Frame) {
  const auto *Packed = std::get_if<PackedFrame>(&Frame);
  return Packed == nullptr
             ? Frame
             : decodeFrame(inflateBytes(Packed->m_Bytes, Packed->m_Size));
}

/// One frame of each kind, with drawn contents.
StreamOrigin drawnOrigin() {
  return {.m_Service = drawnText(),
          .m_Software = SoftwareVersion(drawnText()),
          .m_Request = RequestDigest(drawnText())};
}

StreamAnswerFrame drawnStreamAnswer(std::uint64_t Id) {
  StreamAnswerFrame Frame{.m_Id = Id, .m_Several = *rc::gen::arbitrary<bool>()};
  Frame.m_Stream.m_Contradicted = *rc::gen::arbitrary<bool>();
  if (*rc::gen::arbitrary<bool>())
    Frame.m_Stream.m_Origin = drawnOrigin();
  if (*rc::gen::arbitrary<bool>())
    Frame.m_Only = SoftwareVersion(drawnText());
  return Frame;
}

std::vector<PeerFrame> drawnFrames() {
  const AttemptId Attempt = *rc::gen::arbitrary<std::uint64_t>();
  const Failure Reason{.m_Kind =
                           static_cast<ErrorKind>(*drawn(0, ErrorKindCount)),
                       .m_RetryAfter = Duration(*drawn(0, 100000)),
                       .m_Detail = "detail"};
  return {
      HelloFrame{boxName(1), DataCentreName("kl"), "nonce"},
      ProofFrame{"abc"},
      ForwardFrame{drawnRequest()},
      CancelFrame{Attempt},
      StartedFrame{Attempt, Duration(*drawn(0, 100000))},
      HeadFrame{Attempt, {*drawn(100, 600), "text/plain"}},
      BytesFrame{Attempt, drawnText()},
      EndedFrame{Attempt, *drawn(0, 100) / 2.0},
      FailedFrame{Attempt, Reason},
      drawnDigestFrame(),
      DemandFrame{{{modelName(1), *drawn(0, 100) / 4.0}}},
      drawnTable(),
      AssignmentFrame{drawnAssignment()},
      PlanFrame{drawnMove()},
      MoveFrame{{"id", drawnMove(), boxName(1), 1700000000000}},
      LimitAskFrame{Attempt, groupName(1), *drawn(0, 9), *drawn(0, 9)},
      LimitAnswerFrame{Attempt, *rc::gen::arbitrary<bool>()},
      LimitUpdateFrame{groupName(2), *drawn(0, 9)},
      drawnFleetDigest(),
      FleetWantFrame{.m_Config = Attempt,
                     .m_List = drawnRevision(),
                     .m_Boxes = drawnRevision(),
                     .m_Evacuations = drawnRevision()},
      drawnKeys(),
      drawnContents(),
      FleetMissingFrame{{{"s", "m", "a"}, {"s", "m", ""}}},
      FleetLoadsFrame{drawnLoads()},
      QuotaAskFrame{Attempt,
                    "o",
                    {.m_Units = *drawn(-9000, 9000) / 4.0,
                     .m_Patience = Duration(*drawn(0, 9000000)),
                     .m_Waited = *rc::gen::arbitrary<bool>()},
                    *rc::gen::arbitrary<bool>()},
      QuotaAnswerFrame{Attempt,
                       {.m_Step = static_cast<QuotaStep>(*drawn(0, 3)),
                        .m_After = Duration(*drawn(0, 9000000)),
                        .m_Ample = *rc::gen::arbitrary<bool>()}},
      drawnUse(),
      PermitAskFrame{Attempt, "i-1", Duration(*drawn(0, 9000000))},
      PermitAnswerFrame{Attempt,
                        {.m_Granted = *rc::gen::arbitrary<bool>(),
                         .m_After = Duration(*drawn(0, 9000000))}},
      ColdUpdateFrame{{.m_Id = "i-1", .m_StartTime = *drawn(0, 90000)},
                      Duration(*drawn(0, 9000000))},
      CrashFrame{{.m_Id = "i-1", .m_StartTime = *drawn(0, 90000)},
                 {{.m_Digest = RequestDigest(drawnText()),
                   .m_Parts = {CrashSuspect::ofPromptPart("p"),
                               CrashSuspect::ofPromptPart("q")}},
                  {.m_Digest = RequestDigest("d"), .m_Parts = {}}}},
      CrashSuspectsFrame{{RequestDigest(drawnText()),
                          CrashSuspect::ofPromptPart(drawnText())}},
      RequestClearedFrame{CrashSuspect::ofPromptPart(drawnText()),
                          Duration(*drawn(0, 9000000))},
      QuarantinesFrame{{{.m_Suspect = CrashSuspect::ofPromptPart("p"),
                         .m_Upstreams = {"i-1", drawnText()},
                         .m_Beside = {CrashSuspect::ofPromptPart("q")},
                         .m_By = BoxName("box"),
                         .m_Age = Duration(*drawn(0, 9000000)),
                         .m_Left = Duration(*drawn(0, 9000000))}}},
      packed(CancelFrame{Attempt}),
      FleetTotalsFrame{Attempt, Attempt / 2, drawnLoads()},
      UpstreamSignalFrame{{.m_Id = "i-1", .m_StartTime = *drawn(0, 90000)},
                          *drawn(0, 900) / 4.0,
                          false,
                          Duration(*drawn(0, 9000000)),
                          *rc::gen::arbitrary<bool>(),
                          *drawn(0, 900) / 4.0,
                          *rc::gen::arbitrary<bool>(),
                          Duration(*drawn(0, 9000000))},
      SendEndedFrame{drawnText(), *rc::gen::arbitrary<bool>()},
      StreamsBegunFrame{{{.m_Attempt = drawnText(),
                          .m_Origin = drawnOrigin(),
                          .m_Left = *drawn(0, 90000) * 1ms}},
                        *rc::gen::arbitrary<bool>()},
      StreamQueryFrame{Attempt, drawnText(), "s", *rc::gen::arbitrary<bool>()},
      drawnStreamAnswer(Attempt)};
}

} // namespace

TEST_CASE("Every frame is read as it was written", "[frames][property]") {
  rc::prop("all kinds, drawn contents", [] {
    const std::vector<PeerFrame> Frames = drawnFrames();
    RC_ASSERT(Frames.size() == std::variant_size_v<PeerFrame>);
    for (std::size_t Index = 0; Index < Frames.size(); ++Index) {
      RC_ASSERT(Frames[Index].index() == Index);
      RC_ASSERT(
          (decodeFrame(encodeFrame(Frames[Index])) == received(Frames[Index])));
    }
  });
}

TEST_CASE("Bytes that are no frame are refused, never crash",
          "[frames][property]") {
  rc::prop("damaged frames", [] {
    std::vector<PeerFrame> Frames = drawnFrames();
    const auto Which =
        static_cast<std::size_t>(*drawn(0, static_cast<int>(Frames.size())));
    std::string Bytes = encodeFrame(Frames[Which]);
    for (int Count = *drawn(1, 6); Count > 0; --Count) {
      const auto At =
          static_cast<std::size_t>(*drawn(0, static_cast<int>(Bytes.size())));
      Bytes[At] = static_cast<char>(*drawn(0, 256));
    }
    Bytes.resize(static_cast<std::size_t>(
        *drawn(0, static_cast<int>(Bytes.size()) + 1)));
    try {
      decodeFrame(Bytes);
    } catch (const DecodeError &) {
      RC_SUCCEED("refused");
    }
  });
}

TEST_CASE("A word that names no limit comes back as it was", "[frames]") {
  UpstreamSignalFrame Word{.m_Incarnation = {.m_Id = "i-1", .m_StartTime = 7}};
  Word.m_LimitEnded = GENERATE(true, false);
  Word.m_Leaving = GENERATE(true, false);
  REQUIRE(std::get<UpstreamSignalFrame>(decodeFrame(encodeFrame(Word))) ==
          Word);
}

// Numbers of kinds are what other builds read. A kind that is moved, or put
// between others, makes every link to another build misread or close.
TEST_CASE("Kinds of frames keep their numbers and protocols", "[frames]") {
  const std::vector<std::pair<std::string, PeerProtocol>> Known{
      {"hello", 1},          {"proof", 1},          {"forward", 1},
      {"cancel", 1},         {"started", 1},        {"head", 1},
      {"bytes", 1},          {"ended", 1},          {"failed", 1},
      {"digest", 1},         {"demand", 1},         {"table", 1},
      {"assignment", 1},     {"plan", 1},           {"move", 1},
      {"limit_ask", 1},      {"limit_answer", 1},   {"limit_tell", 1},
      {"fleet_digest", 1},   {"fleet_want", 1},     {"fleet_keys", 1},
      {"fleet_contents", 1}, {"fleet_missing", 1},  {"fleet_loads", 1},
      {"quota_ask", 1},      {"quota_answer", 1},   {"quota_use", 1},
      {"warm_up_ask", 1},    {"warm_up_answer", 1}, {"warm_up_news", 1},
      {"crash", 2},          {"crash_suspects", 2}, {"ran_well", 2},
      {"request_bars", 2},   {"packed", 3},         {"fleet_totals", 3},
      {"server_word", 4},    {"send_ended", 6},     {"streams_begun", 7},
      {"stream_query", 7},   {"stream_answer", 7}};
  rc::prop("each kind", [&] {
    const std::vector<PeerFrame> Frames = drawnFrames();
    RC_ASSERT(Frames.size() == Known.size());
    for (std::size_t Number = 0; Number < Known.size(); ++Number) {
      RC_ASSERT(frameName(Frames[Number]) == Known[Number].first);
      RC_ASSERT(protocolOf(Frames[Number]) == Known[Number].second);
      RC_ASSERT(protocolOf(Frames[Number]) <= OwnProtocol);
    }
  });
}

TEST_CASE("A kind that only later builds know is told from a damaged frame",
          "[frames]") {
  const auto Encoded = [](const Json &Body) {
    std::string Bytes;
    Json::to_cbor(Body, Bytes);
    return Bytes;
  };
  REQUIRE_THROWS_AS(decodeFrame(Encoded({{"frame", 1000}, {"new", 1}})),
                    UnknownFrame);
  for (const Json &Damaged :
       {Json{{"frame", "hello"}}, Json{{"new", 1}}, Json{{"frame", -1}},
        Json{{"frame", 1}, {"hmac", 7}}}) {
    REQUIRE_THROWS_AS(decodeFrame(Encoded(Damaged)), DecodeError);
    try {
      decodeFrame(Encoded(Damaged));
    } catch (const UnknownFrame &) {
      FAIL("a damaged frame passes for a later build's");
    } catch (const DecodeError &) {
      SUCCEED();
    }
  }
}

TEST_CASE("Fields that only later builds know change nothing",
          "[frames][property]") {
  rc::prop("all kinds, drawn contents", [] {
    for (const PeerFrame &Frame : drawnFrames()) {
      Json Body = Json::from_cbor(encodeFrame(Frame));
      Body["of_a_later_build"] = {{"deep", {1, 2, 3}}};
      std::string Bytes;
      Json::to_cbor(Body, Bytes);
      RC_ASSERT((decodeFrame(Bytes) == received(Frame)));
    }
  });
}

TEST_CASE("A large frame is compressed for boxes that read that", "[frames]") {
  FleetKeysFrame Keys{.m_Prefix = "servers/", .m_Revision = revision(7)};
  for (int Number = 0; Number < 2000; ++Number)
    Keys.m_Items.push_back({.m_Key = "servers/i-" + std::to_string(Number),
                            .m_Value = R"({"service":"llm","state":"ready"})",
                            .m_Revision = revision(7)});
  const EncodedFrame Large{PeerFrame(Keys)};
  const std::string &Plain = Large.bytesFor(PackingProtocol - 1);
  const std::string &Packed = Large.bytesFor(PackingProtocol);
  REQUIRE(Packed.size() * 4 < Plain.size());
  REQUIRE((decodeFrame(Plain) == PeerFrame(Keys)));
  REQUIRE((decodeFrame(Packed) == PeerFrame(Keys)));
  SECTION("a damaged one is told from any other") {
    const std::string Cut = Packed.substr(0, Packed.size() / 2);
    REQUIRE_THROWS_AS(decodeFrame(Cut), DecodeError);
    for (PackedFrame Bad :
         {PackedFrame{10, "no zlib"}, PackedFrame{std::size_t{1} << 40, "huge"},
          PackedFrame{Packed.size(), deflateBytes(Packed)}})
      REQUIRE_THROWS_AS(decodeFrame(encodeFrame(Bad)), DecodeError);
  }
  SECTION("a small one is not") {
    const EncodedFrame Small{
        PeerFrame(FleetWantFrame{.m_Config = 1, .m_List = revision(2)})};
    REQUIRE(Small.bytesFor(PackingProtocol) == Small.bytesFor(FirstProtocol));
  }
}

TEST_CASE("Frames of the first era are what boxes that know no eras read",
          "[frames][store-restore]") {
  FleetDigestFrame Digest;
  Digest.m_List = revision(7);
  REQUIRE_FALSE(toJson(Digest).contains("list_era"));
  REQUIRE_FALSE(toJson(Digest).contains("era"));
  Digest.m_List = revision(7, 2);
  REQUIRE(toJson(Digest).at("list") == 7);
  REQUIRE(toJson(Digest).at("list_era") == 2);
  // An older box names no era: its lists are of the first one.
  Json Older = toJson(Digest);
  Older.erase("list_era");
  FleetDigestFrame Read;
  fromJson(Older, Read);
  REQUIRE(Read.m_List == revision(7));
  REQUIRE(Read.m_Era == FirstEra);
}
