#include "wire/connection/FleetFrames.h"

#include <cmath>

namespace havenstair {

namespace {

/// Work is told in whole milliseconds; it is an estimate anyway.
std::int64_t rounded(double Value) {
  constexpr double Most = 1e12;
  return std::llround(std::min(std::max(Value, 0.0), Most));
}

Json toJson(const ModelKey &Key) {
  return Json::array({Key.m_Service, Key.m_Model, Key.m_Adapter});
}

const Json &part(const Json &From, std::size_t Index, std::size_t Count) {
  if (!From.is_array() || From.size() != Count)
    throw DecodeError("a list has the wrong length");
  return From[Index];
}

std::string text(const Json &From) {
  if (!From.is_string())
    throw DecodeError("a text was expected");
  return From.get<std::string>();
}

ModelKey modelKeyFrom(const Json &From, std::size_t Count) {
  return {.m_Service = text(part(From, 0, Count)),
          .m_Model = text(part(From, 1, Count)),
          .m_Adapter = text(part(From, 2, Count))};
}

const Json &list(const Json &From, const char *Name) {
  static const Json None = Json::array();
  const auto Found = From.find(Name);
  if (Found == From.end())
    return None;
  if (!Found->is_array())
    throw DecodeError(std::string("field ") + Name + " is no list");
  return *Found;
}

Json toJson(const ResidentModel &Model) {
  return Json::array({Model.m_Name, Model.m_Adapters});
}

ResidentModel residentFrom(const Json &From) {
  ResidentModel Result{.m_Name = text(part(From, 0, 2)), .m_Adapters = {}};
  if (!From[1].is_array())
    throw DecodeError("adapters are no list");
  for (const Json &Adapter : From[1])
    Result.m_Adapters.insert(text(Adapter));
  return Result;
}

constexpr std::size_t LoadParts = 4;
constexpr std::size_t DemandParts = 5;

Json toJson(const InstanceLoads &Loads) {
  Json Result = Json::array();
  for (const auto &[Id, Load] : Loads)
    Result.push_back(Json::array({Id, Load.m_Running, rounded(Load.m_PendingMs),
                                  rounded(Load.m_Tokens)}));
  return Result;
}

InstanceLoads loadsFrom(const Json &From) {
  InstanceLoads Result;
  for (const Json &Each : list(From, "loads"))
    Result[text(part(Each, 0, LoadParts))] = {
        .m_Running = wholeNumber<int>(Each[1]),
        .m_PendingMs = wholeNumber<std::int32_t>(Each[2]) * 1.0,
        .m_Tokens = wholeNumber<std::int32_t>(Each[3]) * 1.0};
  return Result;
}

/// Boxes that know no eras compare the numbers alone, and pass over the field.
void putEra(Json &Into, const char *Name, const StoreRevision &Of) {
  if (!Of.none() && Of.m_Era != FirstEra)
    Into[Name] = Of.m_Era;
}

StoreRevision revisionFrom(const Json &From, const char *EraName,
                           std::uint64_t Number) {
  if (Number == 0)
    return {};
  return {.m_Era = fieldOr<StoreEra>(From, EraName, FirstEra),
          .m_Number = Number};
}

StoreRevision revisionField(const Json &From, const char *Name,
                            const char *EraName) {
  return revisionFrom(From, EraName, field<std::uint64_t>(From, Name));
}

} // namespace

Json toJson(const FleetDigestFrame &Frame) {
  Json Result{{"number", Frame.m_Number},
              {"echo", Frame.m_Echo},
              {"config", Frame.m_Config},
              {"list", Frame.m_List.m_Number},
              {"boxes", Frame.m_Boxes.m_Number}};
  if (Frame.m_Era != FirstEra)
    Result["era"] = Frame.m_Era;
  putEra(Result, "list_era", Frame.m_List);
  putEra(Result, "boxes_era", Frame.m_Boxes);
  putEra(Result, "evacuations_era", Frame.m_Evacuations);
  if (Frame.m_ListFingerprint != 0)
    Result["list_print"] = Frame.m_ListFingerprint;
  if (Frame.m_ConfigKnown > Frame.m_Config)
    Result["config_known"] = Frame.m_ConfigKnown;
  if (!Frame.m_Evacuations.none())
    Result["evacuations"] = Frame.m_Evacuations.m_Number;
  if (Frame.m_Stopping)
    Result["stopping"] = true;
  if (Frame.m_Leaf)
    Result["leaf"] = true;
  if (Frame.m_ListAge < NoListAge)
    Result["age"] = Frame.m_ListAge / 1ms;
  if (Frame.m_Reads)
    Result["reads"] = true;
  if (Frame.m_Leading)
    Result["giving"] = true;
  Result["token"] = Frame.m_Leader.m_Token;
  Result["holder"] = Frame.m_Leader.m_Box.str();
  Result["loads"] = toJson(Frame.m_Loads);
  if (Frame.m_LoadsApart)
    Result["loads_apart"] = true;
  if (Frame.m_Totals > 0)
    Result["totals"] = Frame.m_Totals;
  Json &Demand = Result["demand"] = Json::array();
  for (const auto &[Key, Each] : Frame.m_Demand)
    Demand.push_back(
        Json::array({Key.m_Service, Key.m_Model, Key.m_Adapter,
                     rounded(Each.m_Requests), rounded(Each.m_WorkMs)}));
  return Result;
}

void fromJson(const Json &From, FleetDigestFrame &Frame) {
  Frame.m_Number = field<std::uint64_t>(From, "number");
  Frame.m_Echo = field<std::uint64_t>(From, "echo");
  Frame.m_Config = field<std::uint64_t>(From, "config");
  // Older builds tell only what they serve by.
  Frame.m_ConfigKnown =
      fieldOr<std::uint64_t>(From, "config_known", Frame.m_Config);
  Frame.m_Era = fieldOr<StoreEra>(From, "era", FirstEra);
  Frame.m_List = revisionField(From, "list", "list_era");
  Frame.m_ListFingerprint = fieldOr<std::uint64_t>(From, "list_print", 0);
  Frame.m_Boxes = revisionField(From, "boxes", "boxes_era");
  Frame.m_Evacuations = revisionFrom(
      From, "evacuations_era", fieldOr<std::uint64_t>(From, "evacuations", 0));
  Frame.m_Stopping = fieldOr<bool>(From, "stopping", false);
  Frame.m_Leaf = fieldOr<bool>(From, "leaf", false);
  const auto Age = fieldOr<std::uint32_t>(From, "age", NoListAge / 1ms);
  Frame.m_ListAge =
      std::min<Duration>(NoListAge, std::chrono::milliseconds(Age));
  Frame.m_Reads = fieldOr<bool>(From, "reads", false);
  Frame.m_Leading = fieldOr<bool>(From, "giving", false);
  Frame.m_Leader = {.m_Token = field<FencingToken>(From, "token"),
                    .m_Box = idField<BoxName>(From, "holder")};
  Frame.m_Loads = loadsFrom(From);
  Frame.m_LoadsApart = fieldOr<bool>(From, "loads_apart", false);
  Frame.m_Totals = fieldOr<std::uint64_t>(From, "totals", 0);
  for (const Json &Each : list(From, "demand"))
    Frame.m_Demand[modelKeyFrom(Each, DemandParts)] = {
        .m_Requests = wholeNumber<std::int32_t>(Each[3]) * 1.0,
        .m_WorkMs = wholeNumber<std::int32_t>(Each[4]) * 1.0};
}

Json toJson(const FleetLoadsFrame &Frame) {
  return {{"loads", toJson(Frame.m_Loads)}};
}

void fromJson(const Json &From, FleetLoadsFrame &Frame) {
  Frame.m_Loads = loadsFrom(From);
}

Json toJson(const FleetTotalsFrame &Frame) {
  return {{"number", Frame.m_Number},
          {"since", Frame.m_Since},
          {"loads", toJson(Frame.m_Loads)}};
}

void fromJson(const Json &From, FleetTotalsFrame &Frame) {
  Frame.m_Number = field<std::uint64_t>(From, "number");
  Frame.m_Since = field<std::uint64_t>(From, "since");
  Frame.m_Loads = loadsFrom(From);
}

Json toJson(const FleetWantFrame &Frame) {
  Json Result{{"config", Frame.m_Config},
              {"list", Frame.m_List.m_Number},
              {"boxes", Frame.m_Boxes.m_Number},
              {"evacuations", Frame.m_Evacuations.m_Number}};
  putEra(Result, "list_era", Frame.m_List);
  putEra(Result, "boxes_era", Frame.m_Boxes);
  putEra(Result, "evacuations_era", Frame.m_Evacuations);
  return Result;
}

void fromJson(const Json &From, FleetWantFrame &Frame) {
  Frame.m_Config = field<std::uint64_t>(From, "config");
  Frame.m_List = revisionField(From, "list", "list_era");
  Frame.m_Boxes = revisionField(From, "boxes", "boxes_era");
  Frame.m_Evacuations = revisionFrom(
      From, "evacuations_era", fieldOr<std::uint64_t>(From, "evacuations", 0));
}

Json toJson(const FleetKeysFrame &Frame) {
  Json Items = Json::array();
  for (const StoredValue &Item : Frame.m_Items)
    Items.push_back(Json::array(
        {Item.m_Key, Json::binary({Item.m_Value.begin(), Item.m_Value.end()}),
         Item.m_Revision.m_Number}));
  Json Result{{"prefix", Frame.m_Prefix},
              {"since", Frame.m_Since.m_Number},
              {"revision", Frame.m_Revision.m_Number},
              {"items", std::move(Items)},
              {"gone", Frame.m_Gone}};
  putEra(Result, "era", Frame.m_Revision);
  if (Frame.m_Part)
    Result["part"] = true;
  return Result;
}

void fromJson(const Json &From, FleetKeysFrame &Frame) {
  constexpr std::size_t Parts = 3;
  Frame.m_Prefix = field<std::string>(From, "prefix");
  Frame.m_Since = revisionField(From, "since", "era");
  Frame.m_Revision = revisionField(From, "revision", "era");
  Frame.m_Part = fieldOr<bool>(From, "part", false);
  for (const Json &Each : list(From, "gone"))
    Frame.m_Gone.push_back(text(Each));
  for (const Json &Each : list(From, "items")) {
    if (!part(Each, 1, Parts).is_binary())
      throw DecodeError("a value is not binary");
    const Json::binary_t &Value = Each[1].get_binary();
    Frame.m_Items.push_back(
        {.m_Key = text(Each[0]),
         .m_Value = {Value.begin(), Value.end()},
         .m_Revision = {.m_Era = Frame.m_Revision.m_Era,
                        .m_Number = wholeNumber<std::uint64_t>(Each[2])}});
  }
}

Json toJson(const FleetContentsFrame &Frame) {
  Json Engines = Json::array();
  for (const EngineContents &Each : Frame.m_Engines) {
    Json Models = Json::array();
    for (const ResidentModel &Model : Each.m_Models)
      Models.push_back(toJson(Model));
    Engines.push_back(
        Json::array({Each.m_Engine, std::move(Models), Each.m_Retiring,
                     Each.m_Loading, Each.m_ServesIn / 1ms}));
  }
  Json Result{{"token", Frame.m_FencingToken}, {"engines", std::move(Engines)}};
  // Beside the engines: boxes of an earlier release read those as they are.
  for (const EngineContents &Each : Frame.m_Engines)
    if (Each.m_StartTime != 0)
      Result["born"][Each.m_Engine] = Each.m_StartTime;
  return Result;
}

void fromJson(const Json &From, FleetContentsFrame &Frame) {
  constexpr std::size_t Parts = 5;
  Frame.m_FencingToken = field<std::uint64_t>(From, "token");
  const auto Births = fieldOr<Json>(From, "born", Json::object());
  for (const Json &Each : list(From, "engines")) {
    EngineContents Contents;
    Contents.m_Engine = text(part(Each, 0, Parts));
    Contents.m_StartTime =
        fieldOr<StartTime>(Births, Contents.m_Engine.c_str(), 0);
    if (!Each[1].is_array() || !Each[2].is_array())
      throw DecodeError("contents of an engine are wrong");
    for (const Json &Model : Each[1])
      Contents.m_Models.push_back(residentFrom(Model));
    for (const Json &Model : Each[2])
      Contents.m_Retiring.insert(text(Model));
    Contents.m_Loading = text(Each[3]);
    Contents.m_ServesIn =
        std::chrono::milliseconds(wholeNumber<std::uint32_t>(Each[4]));
    Frame.m_Engines.push_back(std::move(Contents));
  }
}

Json toJson(const FleetMissingFrame &Frame) {
  Json Keys = Json::array();
  for (const ModelKey &Key : Frame.m_Keys)
    Keys.push_back(toJson(Key));
  return {{"keys", std::move(Keys)}};
}

void fromJson(const Json &From, FleetMissingFrame &Frame) {
  constexpr std::size_t Parts = 3;
  for (const Json &Each : list(From, "keys"))
    Frame.m_Keys.push_back(modelKeyFrom(Each, Parts));
}

} // namespace havenstair
