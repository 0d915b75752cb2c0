/// \file
/// Whether a request is sent now, or refused so that it can come back in time.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_REPLICAADMISSION_H
#define HAVENSTAIR_DECISIONS_REQUEST_REPLICAADMISSION_H

#include "decisions/common/Time.h"
#include <optional>

namespace havenstair {

/// What admission judges by.
struct AdmissionFacts {
  Duration m_Target = 1s;     ///< Of the route.
  Duration m_Waited = 0us;    ///< Since the request arrived.
  Duration m_TimeLeft = 1s;   ///< Until the caller or the route gives up.
  bool m_TriedBefore = false; ///< The caller was refused once already.
  double m_ExpectedMs = 0;    ///< To the first token, at the best upstream.
  double m_WorkMs = 0;        ///< The request's own part of it.
};

struct AdmissionOptions {
  /// Part of the target that a request's own work may take before it counts as
  /// waiting for others. It keeps admission from refusing large requests only
  /// because they are large.
  double m_OwnPart = 0.5;
  /// A request is refused when its expected wait passes this part of the
  /// target that its own work leaves.
  double m_WaitPart = 1.1;
  /// Refusals only count as early within this part of the target.
  double m_EarlyPart = 0.22;
  /// A second try is refused when its first token is expected after this part
  /// of the time that it has left.
  double m_HopelessPart = 0.35;
  /// A caller that is refused comes back after this part of the time that it
  /// has left: replicas come, and demand moves on, in seconds.
  double m_AwayPart = 0.32;
  /// Callers give up a silent stream after this many times its target, or
  /// after LeastPatience.
  double m_PatienceTargets = 4;
  Duration m_LeastPatience = 2s;
};

/// When a caller that is refused with \p TimeLeft should come back: not before
/// \p Least.
Duration comeBackAfter(Duration TimeLeft, Duration Least,
                       const AdmissionOptions &Opts);

/// How long the caller should stay away; empty to send the request now.
std::optional<Duration> refuseFor(const AdmissionFacts &Facts,
                                  const AdmissionOptions &Opts);

} // namespace havenstair

#endif
