/// \file
/// Defines how much load an upstream takes while it warms up after its start.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_WARMUP_H
#define HAVENSTAIR_DECISIONS_PROCESS_WARMUP_H

#include "decisions/common/Time.h"

namespace havenstair {

/// The warm-up of a service's upstreams, as its operators configure it.
struct WarmUpSpec {
  Duration m_ColdTime = 0us; ///< How long an upstream is cold after a start.
  double m_RequestsPerSecond = 0; ///< What a cold one takes; 0 for no bound.

  bool operator==(const WarmUpSpec &) const = default;

  /// Whether cold upstreams have a bound.
  bool limited() const { return m_RequestsPerSecond > 0; }
};

/// By how much all boxes together may exceed the rate of a cold upstream.
struct WarmUpTolerance {
  double m_Factor = 1;    ///< Applied to the rate.
  double m_Allowance = 0; ///< Requests in any second, in addition.

  bool operator==(const WarmUpTolerance &) const = default;

  /// Most requests to a cold upstream in any second.
  double maxRate(const WarmUpSpec &Spec) const {
    return Spec.m_RequestsPerSecond * m_Factor + m_Allowance;
  }
};

} // namespace havenstair

#endif
