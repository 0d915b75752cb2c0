/// \file
/// When and how a box reads the store's lists itself rather than rely on the
/// copies of another box. See docs/design/fleet.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LISTREADPOLICY_H
#define HAVENSTAIR_DECISIONS_PROCESS_LISTREADPOLICY_H

#include "decisions/common/Time.h"
#include "decisions/process/Backoff.h"
#include <cstddef>

namespace havenstair {

/// Place of a box in the fleet; see FleetTopology.
enum class FleetRole { Relay, Leaf };

/// Age of its copies from which on a relay reads the store itself. \p Rank is
/// its place among the relays other than the leader, from 0: relays begin one
/// after the other, and leaves last, so that a digest of the first that
/// succeeds spares the others their calls.
Duration relayMaxListAge(std::size_t Rank);

/// Age of its copies from which on a leaf reads the store itself. \p
/// DrainTimeout is how long the platform lets a draining upstream get new work.
Duration leafMaxListAge(Duration DrainTimeout);

/// Backoff of failed reads of a list.
RetryPauses listReadRetry(FleetRole Role);

/// Delay after a change of a list of \p Entries entries before the next watch:
/// changes that come close together cost one call, and one pass over all
/// entries.
Duration listCoalesceDelay(FleetRole Role, std::size_t Entries);

/// Whether a leaf that has an uplink leaves reading a list of \p Entries
/// entries to it.
bool leavesListToUplink(std::size_t Entries);

/// Whether a copy that was confirmed \p Age ago shows that the store does not
/// answer.
bool storeSeemsAway(Duration Age);

/// What a box that has just started knows of the fleet.
struct StartupState {
  FleetRole m_Role = FleetRole::Relay;
  Duration m_SinceStart{};
  /// Other boxes may still enter the list of boxes.
  bool m_OthersEnter = false;
  /// This box is linked to one that is nearer to the leader.
  bool m_HasUplink = false;
};

/// Whether a box that has just started waits for another box to send it the
/// list of upstreams.
bool awaitsFirstList(const StartupState &State);

} // namespace havenstair

#endif
