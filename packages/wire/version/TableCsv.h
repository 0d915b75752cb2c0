/// \file
/// CSV form of the table, for spreadsheets, by libcsv.
#ifndef HAVENSTAIR_WIRE_VERSION_TABLECSV_H
#define HAVENSTAIR_WIRE_VERSION_TABLECSV_H

#include "decisions/version/Table.h"
#include <string>
#include <string_view>
#include <vector>

namespace havenstair {

/// Writes a header line, then a line for each row. The items of a list in a
/// cell are separated by blanks.
std::string tableToCsv(const std::vector<GroupRow> &Rows);

/// Parses what tableToCsv() returns. Columns may be in any order; missing ones
/// get their defaults, and the version column is read too.
/// \throws DecodeError naming the line and the cell.
std::vector<GroupRow> tableFromCsv(std::string_view Text);

} // namespace havenstair

#endif
