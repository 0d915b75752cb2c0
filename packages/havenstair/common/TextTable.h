/// \file
/// Plain-text tables for the terminal.
#ifndef HAVENSTAIR_HAVENSTAIR_COMMON_TEXTTABLE_H
#define HAVENSTAIR_HAVENSTAIR_COMMON_TEXTTABLE_H

#include "wire/common/Json.h"
#include <string>
#include <vector>

namespace havenstair {

/// Formats rows as a table: each column is as wide as its widest cell, and
/// columns are two blanks apart.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Head);
  /// Adds a row, which has at most as many cells as the head.
  void add(std::vector<std::string> Cells);
  /// Returns the table, one line for the head and each row.
  std::string str() const;

private:
  std::vector<std::vector<std::string>> m_Lines;
};

/// Formats \p Value as a cell: list items are separated by commas, an empty
/// list is "-", and whole numbers have no decimal point.
std::string formatCell(const Json &Value);

} // namespace havenstair

#endif
