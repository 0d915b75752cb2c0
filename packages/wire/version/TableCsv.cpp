#include "wire/version/TableCsv.h"

#include "wire/common/Json.h"
#include "wire/version/TableJson.h"
#include <array>
#include <charconv>
#include <cmath>
#include <csv.h>
#include <sstream>

namespace havenstair {

namespace {

enum class CellKind { Text, Number, List };

struct Column {
  const char *m_Name;
  CellKind m_Kind;
};

/// The names are the field names of the JSON form.
constexpr std::array<Column, 11> Columns{{
    {"group", CellKind::Text},
    {"weight", CellKind::Number},
    {"requests_per_second", CellKind::Number},
    {"concurrency", CellKind::Number},
    {"tokens_per_second", CellKind::Number},
    {"first_token_ms", CellKind::Number},
    {"between_tokens_ms", CellKind::Number},
    {"models", CellKind::List},
    {"services", CellKind::List},
    {"key_hashes", CellKind::List},
    {"version", CellKind::Number},
}};

std::string writeCell(const std::string &Text) {
  // csv_write() needs at most twice the text and two quotes.
  std::string Out(Text.size() * 2 + 2, '\0');
  const std::size_t Length =
      csv_write(Out.data(), Out.size(), Text.data(), Text.size());
  Out.resize(Length);
  return Out;
}

std::string cellText(const Json &Value, CellKind Kind) {
  if (Kind == CellKind::Text)
    return Value.get<std::string>();
  if (Kind == CellKind::Number)
    return Value.dump();
  std::string Text;
  for (const Json &Each : Value)
    Text += (Text.empty() ? "" : " ") + Each.get<std::string>();
  return Text;
}

Json cellValue(const std::string &Text, CellKind Kind) {
  if (Kind == CellKind::Text)
    return Text;
  if (Kind == CellKind::Number) {
    double Value = 0;
    const char *End = Text.data() + Text.size();
    const auto Result = std::from_chars(Text.data(), End, Value);
    if (Result.ec != std::errc() || Result.ptr != End || !std::isfinite(Value))
      throw DecodeError("'" + Text + "' is not a number");
    return Value;
  }
  Json List = Json::array();
  std::istringstream Words(Text);
  for (std::string Word; Words >> Word;)
    List.push_back(Word);
  return List;
}

using Line = std::vector<std::string>;

struct Lines {
  std::vector<Line> m_All;
  Line m_Current;
};

std::vector<Line> splitCsv(std::string_view Text) {
  csv_parser Parser;
  if (csv_init(&Parser, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL) != 0)
    throw DecodeError("cannot create a CSV parser");
  Lines Read;
  const auto OnCell = [](void *Cell, std::size_t Length, void *Arg) {
    static_cast<Lines *>(Arg)->m_Current.emplace_back(
        static_cast<const char *>(Cell), Length);
  };
  const auto OnLine = [](int, void *Arg) {
    auto *To = static_cast<Lines *>(Arg);
    To->m_All.push_back(std::move(To->m_Current));
    To->m_Current.clear();
  };
  const std::size_t Count =
      csv_parse(&Parser, Text.data(), Text.size(), OnCell, OnLine, &Read);
  const bool Whole =
      Count == Text.size() && csv_fini(&Parser, OnCell, OnLine, &Read) == 0;
  csv_free(&Parser);
  if (!Whole)
    throw DecodeError("not valid CSV");
  return std::move(Read.m_All);
}

const Column &columnNamed(const std::string &Name) {
  for (const Column &Each : Columns)
    if (Name == Each.m_Name)
      return Each;
  throw DecodeError("line 1: unknown column '" + Name + "'");
}

GroupRow rowFromLine(const std::vector<const Column *> &Head,
                     const Line &Cells) {
  if (Cells.size() != Head.size())
    throw DecodeError("has " + std::to_string(Cells.size()) + " cells, not " +
                      std::to_string(Head.size()));
  Json Row = Json::object();
  for (std::size_t Index = 0; Index < Cells.size(); ++Index) {
    const Column &Of = *Head[Index];
    try {
      Row[Of.m_Name] = cellValue(Cells[Index], Of.m_Kind);
    } catch (const DecodeError &Error) {
      throw DecodeError(std::string("cell ") + Of.m_Name + ": " + Error.what());
    }
  }
  return groupRowFromJson(Row);
}

} // namespace

std::string tableToCsv(const std::vector<GroupRow> &Rows) {
  std::string Text;
  for (const Column &Each : Columns)
    Text += (Text.empty() ? "" : ",") + writeCell(Each.m_Name);
  Text += "\n";
  for (const GroupRow &Row : Rows) {
    const Json Value = toJson(Row);
    std::string LineText;
    for (const Column &Each : Columns)
      LineText += (LineText.empty() ? "" : ",") +
                  writeCell(cellText(Value.at(Each.m_Name), Each.m_Kind));
    Text += LineText + "\n";
  }
  return Text;
}

std::vector<GroupRow> tableFromCsv(std::string_view Text) {
  const std::vector<Line> All = splitCsv(Text);
  if (All.empty())
    throw DecodeError("line 1: the header line is missing");
  std::vector<const Column *> Head;
  for (const std::string &Name : All.front())
    Head.push_back(&columnNamed(Name));
  std::vector<GroupRow> Rows;
  for (std::size_t Index = 1; Index < All.size(); ++Index) {
    try {
      Rows.push_back(rowFromLine(Head, All[Index]));
    } catch (const DecodeError &Error) {
      throw DecodeError("line " + std::to_string(Index + 1) + ": " +
                        Error.what());
    }
  }
  return Rows;
}

} // namespace havenstair
