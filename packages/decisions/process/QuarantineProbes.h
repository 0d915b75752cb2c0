/// \file
/// When a suspect whose quarantine may rest on chance is run again.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_QUARANTINEPROBES_H
#define HAVENSTAIR_DECISIONS_PROCESS_QUARANTINEPROBES_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/CrashSuspect.h"
#include <cstddef>

namespace havenstair {

/// What one box knows of the runs of a quarantined suspect.
struct ProbeHistory {
  BoxName m_By;         ///< The box that probes.
  TimePoint m_Last{};   ///< The quarantine's start, the last probe or crash.
  std::size_t m_Runs{}; ///< Probes, and crashes since the quarantine began.
};

/// \returns when box \p Self of \p Boxes may run \p Suspect once more. The box
/// that declared the quarantine goes first; the others follow much later and
/// one after the other, in case it has gone.
TimePoint nextProbe(const CrashSuspect &Suspect, const ProbeHistory &History,
                    const BoxName &Self, std::size_t Boxes);

/// \returns when it is known how a probe of \p Suspect ended that the box in
/// charge makes as soon as it may.
TimePoint probeResult(const CrashSuspect &Suspect, const ProbeHistory &History);

/// \returns the time between the last run and the next probe of the box in
/// charge; it grows with each run.
Duration probeInterval(std::size_t Runs);

} // namespace havenstair

#endif
