/// \file
/// How much a server bears for some time after its start.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_WARMUP_H
#define HAVENSTAIR_DECISIONS_PROCESS_WARMUP_H

#include "decisions/common/Time.h"

namespace havenstair {

/// What a service bears of one server that has just started, as its operators
/// state it.
struct WarmUpSpec {
  Duration m_After = 0us;    ///< A start leaves a server cold for so long.
  double m_RequestsPerS = 0; ///< That a cold server bears; 0 for no bound.

  bool operator==(const WarmUpSpec &) const = default;

  bool limited() const { return m_RequestsPerS > 0; }
};

/// By how much all boxes together may exceed the rate of a cold server.
struct WarmUpTolerance {
  double m_Factor = 1;    ///< Of the rate.
  double m_Allowance = 0; ///< Requests in any second, besides.

  bool operator==(const WarmUpTolerance &) const = default;

  /// Most requests in any second.
  double mostPerS(const WarmUpSpec &Of) const {
    return Of.m_RequestsPerS * m_Factor + m_Allowance;
  }
};

} // namespace havenstair

#endif
