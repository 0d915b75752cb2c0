#include "decisions/process/BoxCensus.h"

#include <algorithm>
#include <utility>

namespace havenstair {

void BoxCensus::setListed(std::set<std::string> Machines, TimePoint Now) {
  for (const std::string &Machine : m_Listed)
    if (!Machines.contains(Machine))
      m_DepartedAt[Machine] = Now;
  m_Listed = std::move(Machines);
  std::erase_if(m_DepartedAt, [&](const auto &Each) {
    return m_Listed.contains(Each.first) || Now - Each.second > Retention;
  });
}

std::size_t BoxCensus::count(TimePoint Now) const {
  const auto Remembered = std::count_if(
      m_DepartedAt.begin(), m_DepartedAt.end(),
      [&](const auto &Each) { return Now - Each.second <= Retention; });
  return std::max<std::size_t>(1, m_Listed.size() +
                                      static_cast<std::size_t>(Remembered));
}

} // namespace havenstair
