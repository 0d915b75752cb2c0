#include "havenstair/common/TextTable.h"

#include <algorithm>
#include <cmath>

namespace havenstair {

TextTable::TextTable(std::vector<std::string> Head) {
  m_Lines.push_back(std::move(Head));
}

void TextTable::add(std::vector<std::string> Cells) {
  m_Lines.push_back(std::move(Cells));
}

std::string TextTable::str() const {
  std::vector<std::size_t> Widths(m_Lines.front().size(), 0);
  for (const auto &Line : m_Lines)
    for (std::size_t Index = 0; Index < Line.size(); ++Index)
      Widths[Index] = std::max(Widths[Index], Line[Index].size());
  std::string Text;
  for (const auto &Line : m_Lines) {
    std::string Row;
    for (std::size_t Index = 0; Index < Line.size(); ++Index) {
      Row += Line[Index];
      Row.append(Widths[Index] - Line[Index].size() + 2, ' ');
    }
    Row.erase(Row.find_last_not_of(' ') + 1);
    Text += Row + "\n";
  }
  return Text;
}

std::string formatCell(const Json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (Value.is_array()) {
    std::string Text;
    for (const Json &Item : Value)
      Text += (Text.empty() ? "" : ",") + formatCell(Item);
    return Text.empty() ? "-" : Text;
  }
  if (Value.is_number_float()) {
    const auto Number = Value.get<double>();
    if (std::trunc(Number) == Number && std::abs(Number) < 1e15)
      return std::to_string(static_cast<long long>(Number));
  }
  return Value.dump();
}

} // namespace havenstair
