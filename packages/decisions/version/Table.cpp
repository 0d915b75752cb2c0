#include "decisions/version/Table.h"

#include <algorithm>
#include <cmath>

namespace havenstair {

namespace {

constexpr double LargestWeight = 1e6;
constexpr double LargestRate = 1e9;
constexpr int LargestConcurrency = 1000000;
constexpr std::size_t HashLength = 64;
constexpr std::size_t LongestName = 64;
constexpr Duration LongestTarget = 600s;

bool isNameCharacter(char Letter) {
  const bool Alphanumeric = (Letter >= 'a' && Letter <= 'z') ||
                            (Letter >= 'A' && Letter <= 'Z') ||
                            (Letter >= '0' && Letter <= '9');
  return Alphanumeric || Letter == '-' || Letter == '_' || Letter == '.';
}

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= LongestName &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

bool isHash(const std::string &Text) {
  return Text.size() == HashLength &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::optional<TableProblem> checkNumbers(const GroupRow &Row) {
  const GroupLimits &Limits = Row.m_Limits;
  // The negated conditions reject NaN too.
  if (!(Row.m_Weight > 0 && Row.m_Weight <= LargestWeight))
    return TableProblem{"weight", "must be above 0 and at most 1000000"};
  if (!(Limits.m_RequestsPerSecond >= 0 &&
        Limits.m_RequestsPerSecond <= LargestRate))
    return TableProblem{"requests_per_second", "must be 0 (no limit) or more"};
  if (Limits.m_Concurrency < 0 || Limits.m_Concurrency > LargestConcurrency)
    return TableProblem{"concurrency", "must be from 0 (no limit) to 1000000"};
  if (!(Limits.m_TokensPerSecond >= 0 &&
        Limits.m_TokensPerSecond <= LargestRate))
    return TableProblem{"tokens_per_second", "must be 0 (no limit) or more"};
  const LatencyTargets &Targets = Row.m_Targets;
  if (Targets.m_FirstToken <= 0us || Targets.m_FirstToken > LongestTarget)
    return TableProblem{"first_token_ms", "must be from 1 to 600000"};
  if (Targets.m_BetweenTokens <= 0us || Targets.m_BetweenTokens > LongestTarget)
    return TableProblem{"between_tokens_ms", "must be from 1 to 600000"};
  return std::nullopt;
}

std::optional<TableProblem> checkKeys(const Table &Current,
                                      const GroupRow &Row) {
  for (const std::string &Hash : Row.m_KeyHashes) {
    if (!isHash(Hash))
      return TableProblem{"key_hashes", "must be SHA-256 in lower-case hex"};
    const GroupRow *Other = Current.findByKeyHash(Hash);
    if (Other != nullptr && Other->m_Group != Row.m_Group)
      return TableProblem{"key_hashes", "a key is used by another group"};
  }
  return std::nullopt;
}

std::optional<TableProblem> checkArtifacts(const GroupRow &Row,
                                           const Catalogue &Models) {
  for (const ArtifactName &Name : Row.m_Artifacts) {
    const CatalogueEntry *Entry = Models.find(Name);
    if (Entry == nullptr)
      return TableProblem{"models", "unknown model " + Name.str()};
    if (Entry->isAdapter() && Models.find(Entry->m_Base) == nullptr)
      return TableProblem{"models", "adapter without base " + Name.str()};
  }
  return std::nullopt;
}

/// Memory that each model needs together with its callable adapters, which must
/// be on the same engine.
std::map<ArtifactName, MemoryMiB>
memoryByModel(const std::set<ArtifactName> &Callable, const Catalogue &Models) {
  std::map<ArtifactName, MemoryMiB> Sizes;
  for (const ArtifactName &Name : Callable) {
    const CatalogueEntry *Entry = Models.find(Name);
    if (Entry == nullptr)
      continue;
    const ArtifactName &Model = Entry->isAdapter() ? Entry->m_Base : Name;
    const CatalogueEntry *Base = Models.find(Model);
    if (Base != nullptr && Sizes.count(Model) == 0)
      Sizes[Model] = Base->m_Size;
    if (Entry->isAdapter())
      Sizes[Model] += Entry->m_Size;
  }
  return Sizes;
}

/// Checks by first-fit decreasing that one copy of each callable model fits
/// into the engines' memory.
std::optional<TableProblem> checkFits(const std::set<ArtifactName> &Callable,
                                      const Catalogue &Models,
                                      const Capacity &Engines) {
  std::vector<std::pair<MemoryMiB, ArtifactName>> Items;
  for (const auto &[Name, Size] : memoryByModel(Callable, Models))
    Items.emplace_back(Size, Name);
  std::sort(Items.rbegin(), Items.rend());
  std::vector<MemoryMiB> Free = Engines.m_Engines;
  for (const auto &[Size, Name] : Items) {
    const auto Engine = std::find_if(
        Free.begin(), Free.end(),
        [Needed = Size](MemoryMiB Memory) { return Memory >= Needed; });
    if (Engine == Free.end())
      return TableProblem{"models", "no accelerator memory is left for " +
                                        Name.str() + " (" +
                                        std::to_string(Size) + " MiB)"};
    *Engine -= Size;
  }
  return std::nullopt;
}

} // namespace

const CatalogueEntry *Catalogue::find(const ArtifactName &Name) const {
  const auto Found = m_Entries.find(Name);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

bool Table::apply(const GroupRow &Row) {
  const auto Found = m_Rows.find(Row.m_Group);
  if (Found != m_Rows.end()) {
    if (Row.m_Version <= Found->second.m_Version)
      return false;
    for (const std::string &Hash : Found->second.m_KeyHashes)
      m_GroupOfKey.erase(Hash);
  }
  if (!Row.m_Removed)
    for (const std::string &Hash : Row.m_KeyHashes)
      m_GroupOfKey[Hash] = Row.m_Group;
  m_Rows[Row.m_Group] = Row;
  m_Version = std::max(m_Version, Row.m_Version);
  return true;
}

bool Table::apply(const Catalogue &Models) {
  if (Models.m_Version <= m_Catalogue.m_Version)
    return false;
  m_Catalogue = Models;
  m_Version = std::max(m_Version, Models.m_Version);
  return true;
}

void Table::markComplete(TableVersion Version) {
  m_CompleteTo = std::max(m_CompleteTo, Version);
}

const GroupRow *Table::find(const GroupName &Group) const {
  const auto Found = m_Rows.find(Group);
  if (Found == m_Rows.end() || Found->second.m_Removed)
    return nullptr;
  return &Found->second;
}

const GroupRow *Table::findByKeyHash(const std::string &Hash) const {
  const auto Found = m_GroupOfKey.find(Hash);
  return Found == m_GroupOfKey.end() ? nullptr : find(Found->second);
}

std::vector<GroupRow> Table::rows() const {
  std::vector<GroupRow> Result;
  for (const auto &[Name, Row] : m_Rows)
    if (!Row.m_Removed)
      Result.push_back(Row);
  return Result;
}

double Table::weightOf(const GroupName &Group) const {
  const GroupRow *Row = find(Group);
  return Row == nullptr ? 1 : Row->m_Weight;
}

std::set<ArtifactName> Table::callableArtifacts() const {
  std::set<ArtifactName> Result;
  for (const auto &[Name, Row] : m_Rows)
    if (!Row.m_Removed)
      Result.insert(Row.m_Artifacts.begin(), Row.m_Artifacts.end());
  return Result;
}

std::optional<TableProblem> checkRow(const Table &Current, const GroupRow &Row,
                                     const Capacity &Engines) {
  if (!isName(Row.m_Group.str()))
    return TableProblem{"group", "must be 1 to 64 of a-z A-Z 0-9 - _ ."};
  if (Row.m_Removed)
    return std::nullopt;
  if (auto Problem = checkNumbers(Row))
    return Problem;
  if (auto Problem = checkKeys(Current, Row))
    return Problem;
  if (auto Problem = checkArtifacts(Row, Current.catalogue()))
    return Problem;
  std::set<ArtifactName> Callable = Row.m_Artifacts;
  for (const GroupRow &Other : Current.rows())
    if (Other.m_Group != Row.m_Group)
      Callable.insert(Other.m_Artifacts.begin(), Other.m_Artifacts.end());
  return checkFits(Callable, Current.catalogue(), Engines);
}

std::optional<TableProblem> checkCatalogue(const Table &Current,
                                           const Catalogue &Models,
                                           const Capacity &Engines) {
  for (const auto &[Name, Entry] : Models.m_Entries) {
    if (!isName(Name.str()) || Entry.m_Name != Name)
      return TableProblem{"name", "must be 1 to 64 of a-z A-Z 0-9 - _ ."};
    if (Entry.m_Size <= 0)
      return TableProblem{"size_mib", "must be above 0 for " + Name.str()};
    const CatalogueEntry *Base = Models.find(Entry.m_Base);
    if (Entry.isAdapter() && (Base == nullptr || Base->isAdapter()))
      return TableProblem{"base", "must name a model for " + Name.str()};
  }
  for (const GroupRow &Row : Current.rows())
    if (auto Problem = checkArtifacts(Row, Models))
      return Problem;
  return checkFits(Current.callableArtifacts(), Models, Engines);
}

} // namespace havenstair
