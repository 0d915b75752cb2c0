/// \file
/// Commands of `havenstair` on the table of groups and on the models.
#ifndef HAVENSTAIR_HAVENSTAIR_VERSION_TABLECOMMANDS_H
#define HAVENSTAIR_HAVENSTAIR_VERSION_TABLECOMMANDS_H

#include "havenstair/common/ApiClient.h"
#include <string>
#include <vector>

namespace havenstair {

/// A cell to set: its column, named as in the head line of the CSV, and its new
/// text.
struct CellEdit {
  std::string m_Cell;
  std::string m_Text;
};

/// Parses "CELL=TEXT". \throws CommandError when there is no "=".
CellEdit parseCellEdit(const std::string &Text);

/// Shows and changes the table and the models. Each command throws CommandError
/// when the box does not answer or refuses, or an argument is invalid.
class TableCommands {
public:
  /// Prints JSON instead of text with \p AsJson.
  TableCommands(ApiClient &Api, bool AsJson) : m_Api(Api), m_Json(AsJson) {}

  void show();      ///< Prints the table.
  void exportCsv(); ///< Prints the table as CSV.
  /// Writes each row of the CSV file at \p Path that differs from the table.
  /// With \p DryRun the changes are shown and checked by the box, but not
  /// written.
  void importCsv(const std::string &Path, bool DryRun);
  /// Adds a row for \p Group.
  void addGroup(const std::string &Group, const std::vector<CellEdit> &Cells);
  /// Sets \p Cells in the row of \p Group, which must exist.
  void setCells(const std::string &Group, const std::vector<CellEdit> &Cells);
  /// Removes the row of \p Group, which must exist.
  void removeGroup(const std::string &Group);
  /// Prints the catalogue of models.
  void showModels();
  /// Replaces the catalogue of models by the JSON file at \p Path.
  void importModels(const std::string &Path);

private:
  std::vector<Json> tableRows();
  Json findRow(const std::string &Group);
  void put(const Json &Row, bool New);
  bool importRow(const Json &Wanted, const Json &Current, bool DryRun);
  void report(const std::string &What, const HttpAnswer &Answer) const;

  ApiClient &m_Api;
  bool m_Json;
};

} // namespace havenstair

#endif
