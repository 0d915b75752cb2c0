/// \file
/// Keeps the table of this box up to date, and writes the edits of operators.
/// See docs/design/table.md.
#ifndef HAVENSTAIR_HAVENSTAIRD_VERSION_TABLESYNC_H
#define HAVENSTAIR_HAVENSTAIRD_VERSION_TABLESYNC_H

#include "decisions/request/ErrorKind.h"
#include "decisions/version/Table.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include "wire/process/PlatformWatch.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace havenstair {

/// Outcome of an edit.
struct EditOutcome {
  std::optional<Failure> m_Failure;  ///< Empty when the edit is accepted.
  TableVersion m_Version = 0;        ///< Version of the accepted edit.
  std::optional<GroupRow> m_Current; ///< The current row, after a conflict.
  std::string m_Cell;                ///< The invalid cell, for BadCell.
};
using EditDone = std::function<void(EditOutcome)>;

/// One edit of a row or of the catalogue.
struct TableEdit {
  std::optional<GroupRow> m_Row;
  std::optional<Catalogue> m_Catalogue;
  /// Version on which the edit is based; 0 for a row that must be new, empty
  /// when any version is accepted.
  std::optional<TableVersion> m_Expected;
  /// Unique; shows after a lost answer whether this edit or another one won.
  std::string m_EditId;
};

/// The log of edits, which defines their order and says which keys changed.
struct EditLog {
  struct Change {
    TableVersion m_Version = 0;
    std::string m_Key;
    std::string m_EditId;

    bool operator==(const Change &) const = default;
  };

  TableVersion m_Version = 0;
  std::vector<Change> m_Changes; ///< The latest ones, oldest first.

  bool operator==(const EditLog &) const = default;
};

Json toJson(const EditLog &Log);
EditLog editLogFromJson(const Json &From);

/// Reads the table from the platform and from peers, and applies newer versions
/// only.
class TableSync {
public:
  struct Options {
    RandomUnit m_Random;
    /// Returns the memory of the reachable engines, for checks of the whole
    /// table.
    std::function<Capacity()> m_Capacity;
    /// Rows of the table have changed on this box.
    std::function<void()> m_OnChange;
    Duration m_EditLimit = 5s;
  };

  TableSync(EventLoop &Loop, Platform &Service, Options Opts);
  ~TableSync();

  const Table &table() const { return m_Table; }
  /// Applies the rows that a peer has sent.
  void learn(const TableFrame &News);
  /// Returns what a box lacks that has everything up to \p Version.
  TableFrame newerThan(TableVersion Version) const;
  /// Whether the platform answered the last read of the log.
  bool current() const { return m_Watch.current(); }

  /// Checks and writes \p Edit. \p Done runs once, never from within this call.
  void edit(TableEdit Edit, EditDone Done);
  /// Checks \p Edit against the table of this box, and writes nothing.
  std::optional<TableProblem> check(const TableEdit &Edit) const;

private:
  class EditWork;

  void logRead(const PlatformRead &Read);
  void catchUp(const EditLog &Log, std::function<void(bool)> Done);
  void readKeys(const std::vector<std::string> &Keys, TableVersion Target,
                const std::function<void(bool)> &Done);
  void readAll(TableVersion Target, std::function<void(bool)> Done);
  bool applyEntries(const std::vector<PlatformEntry> &Entries);
  bool applyEntry(const PlatformEntry &Entry);

  EventLoop &m_Loop;
  Platform &m_Platform;
  Options m_Opts;
  Table m_Table;
  PlatformWatch m_Watch;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
