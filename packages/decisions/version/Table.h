/// \file
/// The operators' table: one row for each group, and the catalogue of models.
#ifndef HAVENSTAIR_DECISIONS_VERSION_TABLE_H
#define HAVENSTAIR_DECISIONS_VERSION_TABLE_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

/// Position in the one order of all accepted edits; only ever rises.
using TableVersion = std::uint64_t;

/// Limits of a group. Zero means that there is no limit.
struct GroupLimits {
  double m_RequestsPerSecond = 0;
  int m_Concurrency = 0;
  double m_TokensPerSecond = 0;

  bool operator==(const GroupLimits &) const = default;
};

/// Latency targets of a group.
struct LatencyTargets {
  Duration m_FirstToken = 680ms;
  Duration m_BetweenTokens = 77ms;

  bool operator==(const LatencyTargets &) const = default;
};

/// One row of the table.
struct GroupRow {
  GroupName m_Group;
  double m_Weight = 1;
  GroupLimits m_Limits;
  LatencyTargets m_Targets;
  std::set<ArtifactName> m_Artifacts; ///< Models and adapters it may call.
  std::set<std::string> m_Services;   ///< Plain services it may call.
  std::set<std::string> m_KeyHashes;  ///< SHA-256 of its bearer keys, hex.
  TableVersion m_Version = 0;         ///< Edit that made the row so.
  std::string m_EditId;               ///< Tells a lost answer from a lost race.
  bool m_Removed = false;             ///< Kept as a mark, so it cannot revert.

  bool mayCall(const ArtifactName &Artifact) const {
    return m_Artifacts.count(Artifact) != 0;
  }
  bool operator==(const GroupRow &) const = default;
};

/// One model, or one adapter when it names its base model.
struct CatalogueEntry {
  ArtifactName m_Name;
  MemoryMiB m_Size = 0;
  ArtifactName m_Base; ///< Empty for a model.

  bool isAdapter() const { return !m_Base.empty(); }
  bool operator==(const CatalogueEntry &) const = default;
};

/// All models and adapters that can be loaded.
struct Catalogue {
  std::map<ArtifactName, CatalogueEntry> m_Entries;
  TableVersion m_Version = 0;
  std::string m_EditId;

  const CatalogueEntry *find(const ArtifactName &Name) const;
  bool operator==(const Catalogue &) const = default;
};

/// What the accelerators offer, for checks of the whole table.
struct Capacity {
  std::vector<MemoryMiB> m_Engines; ///< Memory for artifacts of each engine.

  bool operator==(const Capacity &) const = default;
};

/// A cell that is wrong, or a row that does not fit the rest.
struct TableProblem {
  std::string m_Cell; ///< Name of the cell, such as "weight".
  std::string m_Reason;

  bool operator==(const TableProblem &) const = default;
};

/// The rows and the catalogue that are in force on one box. Versions of each
/// row only rise, in whatever order they arrive.
class Table {
public:
  /// Takes \p Row over when it is newer. \returns whether it was.
  bool apply(const GroupRow &Row);
  bool apply(const Catalogue &Models);

  const GroupRow *find(const GroupName &Group) const;
  const GroupRow *findByKeyHash(const std::string &Hash) const;
  /// Rows that are not removed, by name.
  std::vector<GroupRow> rows() const;
  /// All rows, with the marks of removed ones; for relaying to peers.
  const std::map<GroupName, GroupRow> &allRows() const { return m_Rows; }
  const Catalogue &catalogue() const { return m_Catalogue; }
  /// Highest version of any part.
  TableVersion version() const { return m_Version; }
  /// Version up to which no edit is missing here.
  TableVersion completeTo() const { return m_CompleteTo; }
  /// All edits up to \p Version have been applied.
  void markComplete(TableVersion Version);
  double weightOf(const GroupName &Group) const;
  /// Artifacts that at least one group may call.
  std::set<ArtifactName> callableArtifacts() const;

private:
  std::map<GroupName, GroupRow> m_Rows;
  std::map<std::string, GroupName> m_GroupOfKey;
  Catalogue m_Catalogue;
  TableVersion m_Version = 0;
  TableVersion m_CompleteTo = 0;
};

/// Checks \p Row against the rest of \p Current, as the table would be
/// afterwards. \returns the first problem found, or nothing.
std::optional<TableProblem> checkRow(const Table &Current, const GroupRow &Row,
                                     const Capacity &Engines);

/// Checks a new catalogue against the rows of \p Current.
std::optional<TableProblem> checkCatalogue(const Table &Current,
                                           const Catalogue &Models,
                                           const Capacity &Engines);

} // namespace havenstair

#endif
