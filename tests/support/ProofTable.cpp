#include "support/ProofTable.h"

#include <cstdio>

namespace havenstair {

ProofTable &ProofTable::instance() {
  static ProofTable Table;
  return Table;
}

void ProofTable::add(const std::string &Name, std::uint64_t Faults,
                     std::uint64_t Violations) {
  ProofCounts &Of = m_Points[Name];
  ++Of.m_Cases;
  Of.m_Faults += Faults;
  Of.m_Violations += Violations;
}

void ProofTable::print() const {
  if (m_Points.empty())
    return;
  std::printf("%-58s %9s %10s %10s\n", "point", "cases", "faults",
              "violations");
  for (const auto &[Name, Of] : m_Points)
    std::printf("%-58s %9llu %10llu %10llu\n", Name.c_str(),
                static_cast<unsigned long long>(Of.m_Cases),
                static_cast<unsigned long long>(Of.m_Faults),
                static_cast<unsigned long long>(Of.m_Violations));
}

} // namespace havenstair
