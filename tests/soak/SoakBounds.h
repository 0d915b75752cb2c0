/// \file
/// The bounds that a soak holds the system to; boxes get the same figures.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKBOUNDS_H
#define HAVENSTAIR_TESTS_SOAK_SOAKBOUNDS_H

#include "decisions/common/Time.h"

namespace havenstair {

struct SoakBounds {
  Duration m_Contact = 3s;      ///< Calm for so long, a box is held to bounds.
  Duration m_Drain = 2s;        ///< New work to a leaving engine ends.
  Duration m_Configure = 2s;    ///< A configuration is in force.
  Duration m_Rollback = 250ms;  ///< A box may still show what it had before.
  Duration m_RollbackHeld = 2s; ///< The same for a box that was held up.
  Duration m_LeaderHandover = 3s; ///< Between orders of two givers.
  Duration m_Thaw = 300ms;        ///< Orders count again after trouble.
  Duration m_LoadWindow = 5s;
  double m_LoadsPerSecond = 2;
  double m_LoadOverage = 1.1;
  double m_LoadAllowance = 3;
  Duration m_RetryWindow = 10s;
  double m_RetryRatio = 0.2;
  double m_RetryAllowance = 54;
  Duration m_Evacuate = 5s;
  double m_ColdPerS = 6;
  double m_ColdOverage = 2;
  double m_ColdAllowance = 10;
  /// Engines that a request may end, and arrivals of it that are forgiven from
  /// m_Contact after that.
  int m_Crashes = 3;
  int m_CrashingArrivals = 3;
  int m_PartCrashes = 5; ///< The same for a part of prompts.
  Duration m_LimitSpan = 4s;
  double m_LimitOverage = 1.5;
  double m_LimitAllowance = 5;
  Duration m_RetryAfterBegins = 500ms; ///< After the answer that asks for it.
  int m_RetryAfterArrivals = 2;        ///< That are forgiven.
  /// Of the share that others serve, what a box serves that reaches no engine;
  /// and how many of its first tries may fail, by themselves and of all tries.
  double m_PartitionServed = 2.0 / 3;
  double m_PartitionFailures = 10;
  double m_PartitionFailureRatio = 1.0 / 50;
  /// Falls of brittle servers in one time, and more by the number of servers.
  double m_BrittleFalls = 2;
  double m_BrittleFallRatio = 0.1;
  /// Of what is sent so long after all boxes that were lost are back, the share
  /// that is served; of what was sent before, up to a margin, at least as much.
  Duration m_Recovery = 15s;
  Duration m_LossMargin = 500ms;
  double m_Back = 0.25;
  /// Of the share of new streams that begin after all boxes are back, the share
  /// of those that are taken up and go on; of so many or more.
  double m_GoesOn = 0.5;
  int m_LeastTakenUp = 12;
  /// Of the share that is served at the first try that a box has read, in the
  /// seconds before most new connections go to one box, the share meanwhile.
  double m_SkewServed = 0.75;
  Duration m_SkewBefore = 6s;
  /// Routes time out later; slower answers are not judged as sound ones.
  Duration m_SoundWithin = 3s;
  /// What the soak's own process may take to note an event.
  Duration m_Slack = 200ms;

  /// Promises that a test of the oracle can leave out.
  bool m_CheckEvacuation = true;
  bool m_CheckWarmUp = true;
  bool m_CheckRegions = true;

  bool operator==(const SoakBounds &) const = default;
};

} // namespace havenstair

#endif
