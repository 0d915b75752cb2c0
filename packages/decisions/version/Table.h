/// \file
/// The operators' table, with a row for each group, and the catalogue of
/// models.
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

/// Position in the total order of all accepted edits; it only grows.
using TableVersion = std::uint64_t;

/// Rate and concurrency limits of a group; zero means no limit.
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

/// One row of the table: the settings of a group.
struct GroupRow {
  GroupName m_Group;
  double m_Weight = 1; ///< Weight in fair queueing.
  GroupLimits m_Limits;
  LatencyTargets m_Targets;
  std::set<ArtifactName> m_Artifacts; ///< Models and adapters that it may call.
  std::set<std::string> m_Services;   ///< Plain services that it may call.
  std::set<std::string> m_KeyHashes;  ///< SHA-256 of its bearer keys, in hex.
  TableVersion m_Version = 0;         ///< Version of the row's last edit.
  /// Id of that edit. By it an editor that got no answer sees whether its edit
  /// or a concurrent one was accepted.
  std::string m_EditId;
  /// A removed row is kept as a tombstone, so that an older version cannot
  /// restore it.
  bool m_Removed = false;

  /// Whether the group may call \p Artifact.
  bool mayCall(const ArtifactName &Artifact) const {
    return m_Artifacts.count(Artifact) != 0;
  }
  bool operator==(const GroupRow &) const = default;
};

/// A model, or an adapter if it has a base model.
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
  TableVersion m_Version = 0; ///< Version of the last edit.
  std::string m_EditId;       ///< Id of that edit, as in GroupRow.

  /// The entry of \p Name; null without one.
  const CatalogueEntry *find(const ArtifactName &Name) const;
  bool operator==(const Catalogue &) const = default;
};

/// The capacity of the accelerators, for checks of the whole table.
struct Capacity {
  std::vector<MemoryMiB> m_Engines; ///< Memory of each engine for artifacts.

  bool operator==(const Capacity &) const = default;
};

/// An invalid cell, or a row that conflicts with the rest of the table.
struct TableProblem {
  std::string m_Cell;   ///< Name of the cell, such as "weight".
  std::string m_Reason; ///< Text for the operator.

  bool operator==(const TableProblem &) const = default;
};

/// The rows and the catalogue that are in force on one box. The version of each
/// only grows, in whatever order edits arrive.
class Table {
public:
  /// Replaces the row of a group if \p Row is newer. \returns whether it was.
  bool apply(const GroupRow &Row);
  /// Replaces the catalogue if \p Models is newer. \returns whether it was.
  bool apply(const Catalogue &Models);

  /// The row of \p Group; null if there is none or it is removed.
  const GroupRow *find(const GroupName &Group) const;
  /// The row of the group that has the key with \p Hash; null without one.
  const GroupRow *findByKeyHash(const std::string &Hash) const;
  /// The rows that are not removed, ordered by name.
  std::vector<GroupRow> rows() const;
  /// All rows, with the tombstones of removed ones, for replication to other
  /// boxes.
  const std::map<GroupName, GroupRow> &allRows() const { return m_Rows; }
  const Catalogue &catalogue() const { return m_Catalogue; }
  /// Highest version of any row and of the catalogue.
  TableVersion version() const { return m_Version; }
  /// Version up to which this box has all edits.
  TableVersion completeTo() const { return m_CompleteTo; }
  /// Records that all edits up to \p Version have been applied.
  void markComplete(TableVersion Version);
  /// The weight of \p Group; 1 without a row.
  double weightOf(const GroupName &Group) const;
  /// The artifacts that at least one group may call.
  std::set<ArtifactName> callableArtifacts() const;

private:
  std::map<GroupName, GroupRow> m_Rows;
  std::map<std::string, GroupName> m_GroupOfKey;
  Catalogue m_Catalogue;
  TableVersion m_Version = 0;
  TableVersion m_CompleteTo = 0;
};

/// Checks \p Row, and the table as it would be with it, against \p Engines.
/// \returns the first problem, or nothing.
std::optional<TableProblem> checkRow(const Table &Current, const GroupRow &Row,
                                     const Capacity &Engines);

/// Checks a new catalogue against the rows of \p Current and against \p
/// Engines. \returns the first problem, or nothing.
std::optional<TableProblem> checkCatalogue(const Table &Current,
                                           const Catalogue &Models,
                                           const Capacity &Engines);

} // namespace havenstair

#endif
