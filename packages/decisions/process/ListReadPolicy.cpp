#include "decisions/process/ListReadPolicy.h"

#include <algorithm>
#include <array>

namespace havenstair {

namespace {

/// By rank. In normal operation the oldest age that a relay sees is 1.2 s: a
/// watch waits 0.9 s, and a digest takes 0.25 s. All ages lie below the 2 s for
/// which platforms let a draining upstream get work.
constexpr std::array<Duration, 3> RelayMaxListAges{1400ms, 1600ms, 1750ms};
constexpr Duration LeafMaxListAgeFloor = 1400ms;
constexpr Duration LeafMaxListAgeCeiling = 2400ms;

/// Part of the drain timeout that is left for the read and for a request on its
/// way.
constexpr Duration ReadAndSendTime = 600ms;

/// Relays send updates to their leaves as soon as the store is back, so leaves
/// need not try as often: with the backoff of a relay each leaf of a data
/// centre that was cut off made 13 calls in 2 s.
constexpr RetryPauses RelayRetry{.m_First = 100ms, .m_Cap = 1s};
constexpr RetryPauses LeafRetry{.m_First = 500ms, .m_Cap = 5s};

/// Engines change their entries all the time, and a leaf reads only while no
/// relay does.
constexpr Duration RelayCoalesceDelay = 200ms;
constexpr Duration RelayCoalesceDelayPerEntry = 100us;
constexpr Duration MaxRelayCoalesceDelay = 500ms;
constexpr Duration LeafCoalesceDelay = 1s;

/// A starting box waits this long for the list of boxes, and a leaf for its
/// uplink, before it reads the list of upstreams itself. When the whole fleet
/// starts, boxes enter the list within some tenths of a second.
constexpr Duration BoxesTimeout = 700ms;
constexpr Duration UplinkTimeout = 2s;
/// How long a starting leaf that has an uplink waits for that uplink's lists.
constexpr Duration ListsTimeout = 10s;

/// Longest list, as a leaf knows it, that a leaf reads itself: the store
/// returns this many entries in one call. A read of a longer list takes dozens
/// of calls, and all leaves of a data centre would begin at once.
constexpr std::size_t MaxLeafReadEntries = 500;

} // namespace

Duration relayMaxListAge(std::size_t Rank) {
  return RelayMaxListAges.at(std::min(Rank, RelayMaxListAges.size() - 1));
}

Duration leafMaxListAge(Duration DrainTimeout) {
  return std::clamp<Duration>(DrainTimeout - ReadAndSendTime,
                              LeafMaxListAgeFloor, LeafMaxListAgeCeiling);
}

RetryPauses listReadRetry(FleetRole Role) {
  return Role == FleetRole::Relay ? RelayRetry : LeafRetry;
}

Duration listCoalesceDelay(FleetRole Role, std::size_t Entries) {
  if (Role == FleetRole::Leaf)
    return LeafCoalesceDelay;
  return std::clamp<Duration>(static_cast<Duration::rep>(Entries) *
                                  RelayCoalesceDelayPerEntry,
                              RelayCoalesceDelay, MaxRelayCoalesceDelay);
}

bool leavesListToUplink(std::size_t Entries) {
  return Entries > MaxLeafReadEntries;
}

bool storeSeemsAway(Duration Age) { return Age > LeafMaxListAgeCeiling; }

bool awaitsFirstList(const StartupState &State) {
  if (State.m_OthersEnter && State.m_SinceStart < BoxesTimeout)
    return true;
  const Duration Patience = State.m_HasUplink ? ListsTimeout : UplinkTimeout;
  return State.m_Role == FleetRole::Leaf && State.m_SinceStart < Patience;
}

} // namespace havenstair
