/// \file
/// Tables for people.
#ifndef HAVENSTAIR_HAVENSTAIR_COMMON_TEXTTABLE_H
#define HAVENSTAIR_HAVENSTAIR_COMMON_TEXTTABLE_H

#include "wire/common/Json.h"
#include <string>
#include <vector>

namespace havenstair {

/// Columns as wide as their widest cell, two blanks apart.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Head);
  void add(std::vector<std::string> Cells);
  std::string str() const;

private:
  std::vector<std::vector<std::string>> m_Lines;
};

/// A cell for \p Value: lists by commas, numbers as short as they go.
std::string cellOf(const Json &Value);

} // namespace havenstair

#endif
