/// \file
/// Counts what the proofs did, and prints one table at the end of a run.
#ifndef HAVENSTAIR_TESTS_SUPPORT_PROOFTABLE_H
#define HAVENSTAIR_TESTS_SUPPORT_PROOFTABLE_H

#include <cstdint>
#include <map>
#include <string>

namespace havenstair {

/// One point that must always hold.
struct ProofCounts {
  std::uint64_t m_Cases = 0;
  std::uint64_t m_Faults = 0;
  std::uint64_t m_Violations = 0;
};

/// All points of one run of a test program.
class ProofTable {
public:
  static ProofTable &instance();
  /// Adds one case of the point \p Name.
  void add(const std::string &Name, std::uint64_t Faults,
           std::uint64_t Violations);
  /// Prints the table; nothing when no point was counted.
  void print() const;

private:
  std::map<std::string, ProofCounts> m_Points;
};

} // namespace havenstair

#endif
