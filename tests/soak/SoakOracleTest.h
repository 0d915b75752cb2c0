/// \file
/// What the tests of the soak's oracle share.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKORACLETEST_H
#define HAVENSTAIR_TESTS_SOAK_SOAKORACLETEST_H

#include "soak/SoakOracle.h"

#include <catch2/catch.hpp>
#include <vector>

namespace havenstair {

inline TimePoint at(Duration After) { return TimePoint() + 100s + After; }

/// The promises that were found broken, in order.
inline std::vector<Promise> broken(const SoakOracle &Oracle) {
  std::vector<Promise> Result;
  for (const SoakVerdict &Each : Oracle.verdicts())
    Result.push_back(Each.m_Promise);
  return Result;
}

using Promises = std::vector<Promise>;

} // namespace havenstair

#endif
