/// \file
/// Commands on the table: show, export, import, edit, and single groups.
#ifndef HAVENSTAIR_HAVENSTAIR_VERSION_TABLECOMMANDS_H
#define HAVENSTAIR_HAVENSTAIR_VERSION_TABLECOMMANDS_H

#include "havenstair/common/ApiClient.h"
#include <string>
#include <vector>

namespace havenstair {

/// One cell to set: its name as in the CSV's head line, and its new text.
struct CellEdit {
  std::string m_Cell;
  std::string m_Text;
};

/// Reads "CELL=TEXT". \throws CommandError when there is no "=".
CellEdit parseCellEdit(const std::string &Text);

class TableCommands {
public:
  TableCommands(ApiClient &Api, bool AsJson) : m_Api(Api), m_Json(AsJson) {}

  void show();
  void exportCsv();
  /// Writes each row of the file that differs. With \p DryRun shows what
  /// would change, and checks it, but writes nothing.
  void importCsv(const std::string &Path, bool DryRun);
  void addGroup(const std::string &Group, const std::vector<CellEdit> &Cells);
  void setCells(const std::string &Group, const std::vector<CellEdit> &Cells);
  void removeGroup(const std::string &Group);
  void showModels();
  /// Replaces the catalogue by the JSON file at \p Path.
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
