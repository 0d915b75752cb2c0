/// \file
/// Whether a request is sent now, waits, or is refused with when to come back.
/// See docs/design/admission.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_REPLICAADMISSION_H
#define HAVENSTAIR_DECISIONS_REQUEST_REPLICAADMISSION_H

#include "decisions/common/Time.h"
#include <optional>
#include <string_view>

namespace havenstair {

/// The best upstream that could take the request now.
struct ExpectedStart {
  double m_FirstTokenMs = 0; ///< Until the first token.
  double m_WorkMs = 0;       ///< The request's own part of it.

  bool operator==(const ExpectedStart &) const = default;
};

/// What admission judges by.
struct AdmissionFacts {
  Duration m_Target = 1s;     ///< Of the route.
  Duration m_GapTarget = 0us; ///< Longest pause of its streams.
  Duration m_Waited = 0us;    ///< Since the request arrived.
  Duration m_TimeLeft = 1s;   ///< Until the caller or the route gives up.
  bool m_NamesModel = true;   ///< An upstream may have to load it.
  std::optional<ExpectedStart> m_Start; ///< None when no upstream can.
  /// Until a load that is under way serves; none when none is known.
  std::optional<Duration> m_ServesIn;
};

enum class AdmissionStep { Send, Wait, Refuse };

struct AdmissionDecision {
  AdmissionStep m_Step = AdmissionStep::Send;
  /// Until the request is judged again at the latest, or the caller may come
  /// back.
  Duration m_Delay = 0us;
  std::string_view m_Reason; ///< For the log.

  bool operator==(const AdmissionDecision &) const = default;
};

struct AdmissionOptions {
  /// Part of the target that a request's own work may take before it counts as
  /// waiting for others. It keeps admission from refusing large requests only
  /// because they are large.
  double m_MaxOwnWorkFraction = 0.5;
  /// A try is refused when the work of others before it would take more
  /// than this part of the target that its own work leaves: it would be late,
  /// and make those behind it late.
  double m_MaxWaitFraction = 1.1;
  /// First tokens come within this factor of what is expected, nearly always.
  /// 0.83 against 0.76 (mean score of 16 days, 18 engines) with 3 against 1.7.
  double m_EstimateErrorFactor = 2.9;
  /// Part of the caller's time left. Callers follow a told time up to a third
  /// of what they have left when they read it, which is less than what they
  /// had left here: of 1 s it leaves 20 ms for the way back. Told when nothing
  /// better is known: replicas come, and demand moves on, in seconds.
  double m_MaxRetryAfterFraction = 0.32;
  /// A load that the order giver begins for a request that waits is known here
  /// within this: a plan each 200 ms, two hops of 250 ms.
  double m_LoadVisibleWithinMs = 750;
  /// Times the target, and times the longest pause, that a caller is believed
  /// to bear silence, the longer of both, within its deadline. Assumed, not
  /// learned: callers tell no more than their deadline, and whom these turn
  /// away would be served late at best.
  double m_PatienceTargetFactor = 4;
  double m_PatienceGapFactor = 8;
  /// Callers with targets of some hundred milliseconds bear at least this.
  Duration m_MinPatience = 2s;
};

/// \p Jitter, from 0 to 1, spreads those who are told to come back, so that
/// they do not all return at once.
AdmissionDecision admit(const AdmissionFacts &Facts,
                        const AdmissionOptions &Opts, double Jitter);

} // namespace havenstair

#endif
