#include "havenstaird/process/BoxViews.h"

namespace havenstair {

Json upstreamsView(const UpstreamDirectory &Directory,
                   const Assignment &Current) {
  Json List = Json::array();
  for (const UpstreamSpec &Spec : Directory.upstreams()) {
    const auto Owner = Current.ownerOf(Spec.m_Name);
    Json Item{
        {"name", Spec.m_Name.str()},
        {"kind", Spec.m_Kind == UpstreamKind::Engine ? "engine" : "service"},
        {"service", Spec.m_Service},
        {"state", Spec.m_Leaving ? "leaving" : "live"},
        {"owner", Owner ? Owner->str() : ""},
        {"checks_tokens", Spec.m_ChecksTokens},
        {"memory_mib", Spec.m_Capacity}};
    if (const UpstreamDigest *Digest = Directory.digestOf(Spec.m_Name)) {
      Json Serving = Json::array();
      for (const ArtifactName &Name : Digest->m_Serving)
        Serving.push_back(Name.str());
      Item["ready"] = Digest->m_Ready;
      Item["serving"] = std::move(Serving);
      Item["available_mib"] = Digest->m_Available;
      Item["running"] = Digest->m_Load.m_Running;
      Item["waiting"] = Digest->m_Load.m_Waiting;
      Item["slots"] = Digest->m_Load.m_Slots;
    }
    List.push_back(std::move(Item));
  }
  return {{"upstreams", std::move(List)}};
}

Json boxesView(const BoxName &Self, const Membership &Members,
               TableVersion Table,
               const std::function<bool(const BoxName &)> &Reachable) {
  Json List = Json::array();
  for (const auto &[Name, Record] : Members.boxes())
    List.push_back({{"name", Name.str()},
                    {"data_centre", Record.m_DataCentre.str()},
                    {"callers", Record.m_Callers.str()},
                    {"operators", Record.m_Operators.str()},
                    {"state", Record.m_Stopping ? "stopping" : "live"},
                    {"reachable", Name == Self || Reachable(Name)}});
  return {{"self", Self.str()},
          {"lease_held", Members.leaseHeld()},
          {"assignment", Members.assignment().m_Version},
          {"table", Table},
          {"boxes", std::move(List)}};
}

Json movesView(const MoveLog &Moves, const std::string &Id) {
  const auto ToJson = [](const MoveRecord &Record) {
    const Move &Made = Record.m_Move;
    return Json{{"id", Record.m_Id},
                {"at_ms", Record.m_At},
                {"upstream", Made.m_Upstream.str()},
                {"verb", Made.m_Verb == MoveVerb::Load ? "load" : "unload"},
                {"artifact", Made.m_Artifact.str()},
                {"size_mib", Made.m_Size},
                {"reason", moveReasonName(Made.m_Reason)},
                {"explanation", Made.m_Explanation},
                {"ordered_by", Record.m_OrderedBy.str()}};
  };
  if (!Id.empty()) {
    const MoveRecord *Found = Moves.find(Id);
    return Found == nullptr ? Json() : ToJson(*Found);
  }
  Json List = Json::array();
  for (const MoveRecord &Record : Moves.records())
    List.push_back(ToJson(Record));
  return {{"moves", std::move(List)}};
}

Json requestView(const RequestLog &Requests, const std::string &Id) {
  const RequestRecord *Found = Requests.find(RequestId(Id));
  if (Found == nullptr)
    return {};
  Json Attempts = Json::array();
  for (const AttemptRecord &Each : Found->m_Attempts)
    Attempts.push_back({{"upstream", Each.m_Upstream.str()},
                        {"admitted_by", Each.m_Admitter.str()}});
  return {{"id", Found->m_Id.str()},
          {"group", Found->m_Group.str()},
          {"target", Found->m_Target},
          {"attempts", std::move(Attempts)},
          {"outcome", Found->m_Code.empty() ? "running" : Found->m_Code},
          {"queued_us", Found->m_Queued.count()},
          {"whole_us", Found->m_Whole.count()}};
}

} // namespace havenstair
