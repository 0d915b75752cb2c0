/// \file
/// CSV form of the table, for spreadsheets. By libcsv.
#ifndef HAVENSTAIR_WIRE_VERSION_TABLECSV_H
#define HAVENSTAIR_WIRE_VERSION_TABLECSV_H

#include "decisions/version/Table.h"
#include <string>
#include <string_view>
#include <vector>

namespace havenstair {

/// A head line, then a line for each row. Lists in a cell are separated by
/// blanks.
std::string tableToCsv(const std::vector<GroupRow> &Rows);

/// Reads what tableToCsv() writes; columns may stand in any order, and those
/// that are missing get their defaults. Keeps the version column.
/// \throws DecodeError naming the line and the cell.
std::vector<GroupRow> tableFromCsv(std::string_view Text);

} // namespace havenstair

#endif
