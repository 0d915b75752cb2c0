#include "wire/version/TableJson.h"

#include <cmath>

namespace havenstair {

namespace {

template <typename Container> Json namesToJson(const Container &Names) {
  Json List = Json::array();
  for (const auto &Name : Names)
    List.push_back(Name.str());
  return List;
}

template <typename IdType>
std::vector<IdType> namesFromJson(const Json &From, const char *Field) {
  std::vector<IdType> Result;
  for (std::string &Name : fieldOr<std::vector<std::string>>(From, Field, {}))
    Result.emplace_back(std::move(Name));
  return Result;
}

std::set<std::string> textsFromJson(const Json &From, const char *Field) {
  return fieldOr<std::set<std::string>>(From, Field, {});
}

Duration millisField(const Json &From, const char *Name, Duration Default) {
  const double Millis = fieldOr<double>(From, Name, inMillis(Default));
  constexpr double Largest = 1e9;
  if (!(std::abs(Millis) <= Largest))
    throw DecodeError(std::string("field ") + Name + " is out of range");
  return fromMillis(Millis);
}

} // namespace

Json toJson(const GroupRow &Row) {
  return Json{{"group", Row.m_Group.str()},
              {"weight", Row.m_Weight},
              {"requests_per_second", Row.m_Limits.m_RequestsPerSecond},
              {"concurrency", Row.m_Limits.m_Concurrency},
              {"tokens_per_second", Row.m_Limits.m_TokensPerSecond},
              {"first_token_ms", inMillis(Row.m_Targets.m_FirstToken)},
              {"between_tokens_ms", inMillis(Row.m_Targets.m_BetweenTokens)},
              {"models", namesToJson(Row.m_Artifacts)},
              {"services", Row.m_Services},
              {"key_hashes", Row.m_KeyHashes},
              {"version", Row.m_Version},
              {"edit_id", Row.m_EditId},
              {"removed", Row.m_Removed}};
}

GroupRow groupRowFromJson(const Json &From) {
  GroupRow Row;
  Row.m_Group = GroupName(field<std::string>(From, "group"));
  Row.m_Weight = fieldOr<double>(From, "weight", Row.m_Weight);
  Row.m_Limits.m_RequestsPerSecond =
      fieldOr<double>(From, "requests_per_second", 0);
  Row.m_Limits.m_Concurrency = fieldOr<int>(From, "concurrency", 0);
  Row.m_Limits.m_TokensPerSecond =
      fieldOr<double>(From, "tokens_per_second", 0);
  Row.m_Targets.m_FirstToken =
      millisField(From, "first_token_ms", Row.m_Targets.m_FirstToken);
  Row.m_Targets.m_BetweenTokens =
      millisField(From, "between_tokens_ms", Row.m_Targets.m_BetweenTokens);
  for (ArtifactName &Name : namesFromJson<ArtifactName>(From, "models"))
    Row.m_Artifacts.insert(std::move(Name));
  Row.m_Services = textsFromJson(From, "services");
  Row.m_KeyHashes = textsFromJson(From, "key_hashes");
  Row.m_Version = fieldOr<TableVersion>(From, "version", 0);
  Row.m_EditId = fieldOr<std::string>(From, "edit_id", "");
  Row.m_Removed = fieldOr<bool>(From, "removed", false);
  return Row;
}

Json toJson(const Catalogue &Models) {
  Json Entries = Json::array();
  for (const auto &[Name, Entry] : Models.m_Entries)
    Entries.push_back({{"name", Name.str()},
                       {"size_mib", Entry.m_Size},
                       {"base", Entry.m_Base.str()}});
  return Json{{"models", std::move(Entries)},
              {"version", Models.m_Version},
              {"edit_id", Models.m_EditId}};
}

Catalogue catalogueFromJson(const Json &From) {
  Catalogue Result;
  for (const Json &Each : field<std::vector<Json>>(From, "models")) {
    CatalogueEntry Entry{.m_Name =
                             ArtifactName(field<std::string>(Each, "name")),
                         .m_Size = field<MemoryMiB>(Each, "size_mib"),
                         .m_Base = idField<ArtifactName>(Each, "base")};
    Result.m_Entries[Entry.m_Name] = Entry;
  }
  Result.m_Version = fieldOr<TableVersion>(From, "version", 0);
  Result.m_EditId = fieldOr<std::string>(From, "edit_id", "");
  return Result;
}

Json toJson(const Assignment &Document) {
  Json Owners = Json::object();
  for (const auto &[Upstream, Box] : Document.m_OwnerOf)
    Owners[Upstream.str()] = Box.str();
  return Json{{"version", Document.m_Version},
              {"boxes", namesToJson(Document.m_Boxes)},
              {"owners", std::move(Owners)},
              {"key_owners", namesToJson(Document.m_KeyOwners)},
              {"key_owner_since", Document.m_KeyOwnerSince}};
}

Assignment assignmentFromJson(const Json &From) {
  Assignment Result;
  Result.m_Version = field<FencingToken>(From, "version");
  Result.m_Boxes = namesFromJson<BoxName>(From, "boxes");
  using Owners = std::map<std::string, std::string>;
  for (const auto &[Upstream, Box] : field<Owners>(From, "owners"))
    Result.m_OwnerOf[UpstreamName(Upstream)] = BoxName(Box);
  Result.m_KeyOwners = namesFromJson<BoxName>(From, "key_owners");
  Result.m_KeyOwnerSince =
      field<std::vector<FencingToken>>(From, "key_owner_since");
  if (Result.m_KeyOwners.size() != Result.m_KeyOwnerSince.size())
    throw DecodeError("key_owners and key_owner_since differ in length");
  return Result;
}

} // namespace havenstair
