#include "havenstair/version/TableCommands.h"

#include "havenstair/common/ExitCode.h"
#include "havenstair/common/TextTable.h"
#include "wire/version/TableCsv.h"
#include "wire/version/TableJson.h"
#include <fstream>
#include <iostream>
#include <sstream>

namespace havenstair {

namespace {

const std::string TablePath = "/admin/v1/table";
const std::string ModelsPath = "/admin/v1/models";
const std::string GroupPath = "/admin/v1/groups/";

/// Cells that an operator may edit; the others are the row's bookkeeping.
const std::vector<std::string> EditableCells{
    "weight",         "requests_per_second", "concurrency", "tokens_per_second",
    "first_token_ms", "between_tokens_ms",   "models",      "services",
    "key_hashes"};

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw CommandError(ExitCode::BadUsage, "cannot read " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

HttpHeader matchVersion(const Json &Row) {
  return {"If-Match",
          "\"" + std::to_string(field<TableVersion>(Row, "version")) + "\""};
}

/// Parses the cell with the CSV reader, so that a cell on the command line has
/// the same syntax as in a file.
Json cellValue(const CellEdit &Edit) {
  std::string Quoted = Edit.m_Text;
  for (std::size_t At = 0; (At = Quoted.find('"', At)) != std::string::npos;
       At += 2)
    Quoted.insert(At, 1, '"');
  try {
    const auto Rows =
        tableFromCsv("group," + Edit.m_Cell + "\nx,\"" + Quoted + "\"\n");
    return toJson(Rows.front()).at(Edit.m_Cell);
  } catch (const DecodeError &Error) {
    throw CommandError(ExitCode::Refused, Error.what());
  }
}

} // namespace

CellEdit parseCellEdit(const std::string &Text) {
  const std::size_t Equals = Text.find('=');
  if (Equals == std::string::npos)
    throw CommandError(ExitCode::BadUsage, "'" + Text + "' is not CELL=TEXT");
  return {Text.substr(0, Equals), Text.substr(Equals + 1)};
}

void TableCommands::show() {
  const Json Answer = m_Api.get(TablePath);
  if (m_Json) {
    std::cout << Answer.dump(2) << "\n";
    return;
  }
  TextTable Out({"GROUP", "WEIGHT", "REQ/S", "CONC", "TOK/S", "FIRST MS",
                 "BETWEEN MS", "MODELS", "SERVICES", "KEYS", "VERSION"});
  for (const Json &Row : Answer.at("rows"))
    Out.add({formatCell(Row.at("group")), formatCell(Row.at("weight")),
             formatCell(Row.at("requests_per_second")),
             formatCell(Row.at("concurrency")),
             formatCell(Row.at("tokens_per_second")),
             formatCell(Row.at("first_token_ms")),
             formatCell(Row.at("between_tokens_ms")),
             formatCell(Row.at("models")), formatCell(Row.at("services")),
             std::to_string(Row.at("key_hashes").size()),
             formatCell(Row.at("version"))});
  std::cout << Out.str();
}

std::vector<Json> TableCommands::tableRows() {
  return field<std::vector<Json>>(m_Api.get(TablePath), "rows");
}

void TableCommands::exportCsv() {
  std::vector<GroupRow> Rows;
  for (const Json &Row : tableRows())
    Rows.push_back(groupRowFromJson(Row));
  std::cout << tableToCsv(Rows);
}

Json TableCommands::findRow(const std::string &Group) {
  for (const Json &Row : tableRows())
    if (Row.at("group") == Group)
      return Row;
  return {};
}

void TableCommands::report(const std::string &What,
                           const HttpAnswer &Answer) const {
  if (m_Json)
    std::cout << Answer.m_Body << "\n";
  else
    std::cout << What << ", version "
              << field<TableVersion>(parseJson(Answer.m_Body), "version")
              << ".\n";
}

void TableCommands::put(const Json &Row, bool New) {
  const std::string Group = field<std::string>(Row, "group");
  const HttpHeader Match =
      New ? HttpHeader{"If-None-Match", "*"} : matchVersion(Row);
  const HttpAnswer Answer =
      m_Api.send(HttpMethod::Put, GroupPath + Group, Row, {Match});
  checkAnswer(Answer);
  report((New ? "Added " : "Changed ") + Group, Answer);
}

void TableCommands::addGroup(const std::string &Group,
                             const std::vector<CellEdit> &Cells) {
  Json Row{{"group", Group}};
  for (const CellEdit &Edit : Cells)
    Row[Edit.m_Cell] = cellValue(Edit);
  put(Row, true);
}

void TableCommands::setCells(const std::string &Group,
                             const std::vector<CellEdit> &Cells) {
  Json Row = findRow(Group);
  if (Row.is_null())
    throw CommandError(ExitCode::Refused, "there is no group " + Group);
  for (const CellEdit &Edit : Cells)
    Row[Edit.m_Cell] = cellValue(Edit);
  put(Row, false);
}

void TableCommands::removeGroup(const std::string &Group) {
  const Json Row = findRow(Group);
  if (Row.is_null())
    throw CommandError(ExitCode::Refused, "there is no group " + Group);
  const HttpAnswer Answer = m_Api.send(HttpMethod::Delete, GroupPath + Group,
                                       Json(), {matchVersion(Row)});
  checkAnswer(Answer);
  report("Removed " + Group, Answer);
}

/// \returns whether the row differs from the current table.
bool TableCommands::importRow(const Json &Wanted, const Json &Current,
                              bool DryRun) {
  const std::string Group = field<std::string>(Wanted, "group");
  std::string Differences;
  for (const std::string &Cell : EditableCells)
    if (Current.is_null() || Wanted.at(Cell) != Current.at(Cell))
      Differences += "  " + Cell + ": " +
                     (Current.is_null() ? "" : formatCell(Current.at(Cell))) +
                     " -> " + formatCell(Wanted.at(Cell)) + "\n";
  if (Differences.empty())
    return false;
  if (!m_Json)
    std::cout << (Current.is_null() ? "New row " : "Row ") << Group << "\n"
              << Differences;
  if (!DryRun) {
    put(Wanted, Current.is_null());
    return true;
  }
  const HttpHeader Match = Current.is_null() ? HttpHeader{"If-None-Match", "*"}
                                             : matchVersion(Current);
  checkAnswer(m_Api.send(HttpMethod::Put, GroupPath + Group + "?dry_run=true",
                         Wanted, {Match}));
  return true;
}

void TableCommands::importCsv(const std::string &Path, bool DryRun) {
  std::vector<GroupRow> Rows;
  try {
    Rows = tableFromCsv(readFile(Path));
  } catch (const DecodeError &Error) {
    throw CommandError(ExitCode::Refused, Path + ": " + Error.what());
  }
  int Changed = 0;
  for (const GroupRow &Row : Rows) {
    const Json Current = findRow(Row.m_Group.str());
    // The version in the file is the one that the operator exported. If the
    // table has another by now, writing would undo someone else's change.
    if (!Current.is_null() && Row.m_Version != 0 &&
        Row.m_Version != field<TableVersion>(Current, "version"))
      throw CommandError(ExitCode::Conflict,
                         "row " + Row.m_Group.str() +
                             " was changed since the file was exported");
    Json Wanted = toJson(Row);
    if (!Current.is_null())
      Wanted["version"] = Current.at("version");
    Changed += importRow(Wanted, Current, DryRun) ? 1 : 0;
  }
  if (!m_Json)
    std::cout << Changed
              << (DryRun ? " rows would change.\n" : " rows changed.\n");
}

void TableCommands::showModels() {
  const Json Answer = m_Api.get(ModelsPath);
  if (m_Json) {
    std::cout << Answer.dump(2) << "\n";
    return;
  }
  TextTable Out({"MODEL", "SIZE MIB", "BASE"});
  for (const Json &Model : Answer.at("models"))
    Out.add({formatCell(Model.at("name")), formatCell(Model.at("size_mib")),
             formatCell(Model.at("base"))});
  std::cout << Out.str();
}

void TableCommands::importModels(const std::string &Path) {
  Json Wanted;
  try {
    Wanted = parseJson(readFile(Path));
  } catch (const DecodeError &Error) {
    throw CommandError(ExitCode::Refused, Path + ": " + Error.what());
  }
  const Json Current = m_Api.get(ModelsPath);
  const HttpAnswer Answer =
      m_Api.send(HttpMethod::Put, ModelsPath, Wanted, {matchVersion(Current)});
  checkAnswer(Answer);
  report("Changed the models", Answer);
}

} // namespace havenstair
