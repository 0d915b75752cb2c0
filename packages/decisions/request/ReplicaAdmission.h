/// \file
/// Whether a request is sent now, waits, or is refused with a retry time.
/// See docs/design/admission.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_REPLICAADMISSION_H
#define HAVENSTAIR_DECISIONS_REQUEST_REPLICAADMISSION_H

#include "decisions/common/Time.h"
#include <optional>
#include <string_view>

namespace havenstair {

/// Expected times of a request at the best upstream that could run it now.
struct ExpectedStart {
  double m_FirstTokenMs = 0; ///< Time until its first token.
  double m_WorkMs = 0;       ///< Part of that for its own work.

  bool operator==(const ExpectedStart &) const = default;
};

/// The state that the admission of a request depends on.
struct AdmissionFacts {
  Duration m_Target = 1s;     ///< The route's target time to the first token.
  Duration m_GapTarget = 0us; ///< Longest pause in the route's streams.
  Duration m_Waited = 0us;    ///< Time since the request arrived.
  Duration m_TimeLeft = 1s;   ///< Until the caller or the route gives up.
  bool m_NamesModel = true;   ///< An upstream may have to load its model.
  std::optional<ExpectedStart> m_Start; ///< Empty if no upstream can run it.
  /// Time until a load in progress is expected to serve the model; empty when
  /// none is known.
  std::optional<Duration> m_ServesIn;
};

/// What to do with a request.
enum class AdmissionStep { Send, Wait, Refuse };

/// The decision on one request.
struct AdmissionDecision {
  AdmissionStep m_Step = AdmissionStep::Send;
  /// For Wait, the time after which the request is decided on again at the
  /// latest; for Refuse, the time after which the caller may retry.
  Duration m_Delay = 0us;
  std::string_view m_Reason; ///< Name of the reason in the log.

  bool operator==(const AdmissionDecision &) const = default;
};

/// The parameters of admission.
struct AdmissionOptions {
  /// Fraction of the target up to which a request's own work is subtracted
  /// from it before the work of others is compared with the remainder. The
  /// bound leaves a remainder even for large requests, which must not be
  /// refused only because they are large.
  double m_MaxOwnWorkFraction = 0.5;
  /// A request is refused when the work of others before it would take more
  /// than this fraction of what its own work leaves of the target: it would be
  /// late, and delay those behind it.
  double m_MaxWaitFraction = 1.1;
  /// Nearly all first tokens come within this factor of the expected time. Mean
  /// scores over 16 days with 18 engines: 0.83 with 3, 0.76 with 1.7.
  double m_EstimateErrorFactor = 2.9;
  /// Longest retry time, as a fraction of the caller's time left; used as it is
  /// when nothing better is known, since replicas appear and demand moves on
  /// within seconds. Callers follow a retry time up to a third of the time that
  /// is left when they read it. The way back takes some of it: 0.32 allows for
  /// 20 ms of 1 s.
  double m_MaxRetryAfterFraction = 0.32;
  /// Time within which this box learns of a load that the leader has started
  /// for a waiting request: one planning period of 200 ms and two hops of 250
  /// ms.
  double m_LoadVisibleWithinMs = 750;
  /// A caller is assumed to wait for its first token for the longest of these
  /// multiples of the target and of the longest pause, and m_MinPatience,
  /// within its deadline. It cannot be learned, as callers send no more than
  /// their deadline; a request that is refused by it would be served late at
  /// best.
  double m_PatienceTargetFactor = 4;
  double m_PatienceGapFactor = 8;
  /// Even callers with targets of a few hundred milliseconds wait this long.
  Duration m_MinPatience = 2s;
};

/// Decides on one request. \p Jitter, from 0 to 1, spreads the retry times of
/// refused callers, so that they do not all return at once.
AdmissionDecision admit(const AdmissionFacts &Facts,
                        const AdmissionOptions &Opts, double Jitter);

} // namespace havenstair

#endif
