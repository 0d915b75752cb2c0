/// \file
/// How a box follows the newest configuration that other boxes report. See
/// docs/design/fleet.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_CONFIGFOLLOWER_H
#define HAVENSTAIR_GATEWAY_PROCESS_CONFIGFOLLOWER_H

#include "decisions/process/ConfigFetchPolicy.h"
#include "gateway/process/ServingState.h"
#include "wire/connection/FleetFrames.h"
#include <functional>

namespace havenstair {

class DecisionLog;
class Fleet;
class WatchCache;

/// Carries out the steps of ConfigFetchPolicy: requests copies from other
/// boxes, reads the store, and restarts a watch that seems dead.
class ConfigFollower {
public:
  struct Dependencies {
    Fleet &m_Fleet;
    const ServingState &m_State;
    WatchCache &m_Cache; ///< Cache of the configuration.
    DecisionLog &m_Log;
  };
  struct Hooks {
    /// Returns the next hop towards the leader; may be empty.
    std::function<BoxName()> m_NextHopToLeader;
    /// Requests from a box everything that is newer there.
    std::function<void(const BoxName &)> m_Ask;
    /// Closes the connections to the store, which may be dead without an error.
    std::function<void()> m_DropConnections;
    /// Time since this box's copy was confirmed as the store's state.
    std::function<Duration(TimePoint Now)> m_Age;
  };

  ConfigFollower(Dependencies Deps, Hooks Callbacks);

  /// Processes a digest of \p From, a relay: the version that it has, and the
  /// newest one that it knows of.
  void recordDigest(const BoxName &From, const FleetDigestFrame &Frame,
                    TimePoint Now);
  /// Takes the next step; to be called at an interval, also without digests.
  void proceed(TimePoint Now);
  /// Forgets what \p Box, whose link is gone, has reported.
  void forget(const BoxName &Box) { m_FetchPolicy.forget(Box); }
  /// Whether this box is a leaf whose uplink can send the configuration
  /// compressed. Hundreds of leaves that read each version from the store would
  /// make more calls than all other parts of a fleet.
  bool asksUplink() const;
  /// The newest version that another box reported.
  const ConfigFetchPolicy::NewestVersion &newest() const {
    return m_FetchPolicy.newest();
  }
  /// Time since another box first reported a version that this one lacks; 0
  /// when it lacks none.
  Duration behind(TimePoint Now) const;

private:
  bool delegatesReads() const;
  void requestFrom(const BoxName &Source);

  Dependencies m_Deps;
  Hooks m_Hooks;
  ConfigFetchPolicy m_FetchPolicy;
};

} // namespace havenstair

#endif
