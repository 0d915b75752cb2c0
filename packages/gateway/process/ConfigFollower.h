/// \file
/// How a box follows the newest configuration that others tell of. See
/// docs/design/fleet.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_CONFIGFOLLOWER_H
#define HAVENSTAIR_GATEWAY_PROCESS_CONFIGFOLLOWER_H

#include "decisions/process/ConfigPursuit.h"
#include "gateway/process/ServingState.h"
#include "wire/connection/FleetFrames.h"
#include <functional>

namespace havenstair {

class DecisionLog;
class Fleet;
class WatchCache;

/// Takes the steps of ConfigPursuit: asks other boxes for their copy, reads the
/// store, and begins a dead watch again.
class ConfigFollower {
public:
  struct Dependencies {
    Fleet &m_Fleet;
    const ServingState &m_State;
    WatchCache &m_Cache; ///< Of the configuration.
    DecisionLog &m_Log;
  };
  struct Hooks {
    /// The next box on the way to the one that gives orders; may be empty.
    std::function<BoxName()> m_NextHopToLeader;
    /// Asks a box for all that it knows better.
    std::function<void(const BoxName &)> m_Ask;
    /// Connections to the store may be dead without saying so.
    std::function<void()> m_DropConnections;
    /// How long ago this box's copy was the store's.
    std::function<Duration(TimePoint Now)> m_Age;
  };

  ConfigFollower(Dependencies Deps, Hooks Callbacks);

  /// \p From, a relay, tells which version it has, and which it knows of.
  void recordDigest(const BoxName &From, const FleetDigestFrame &Frame,
                    TimePoint Now);
  /// Goes on, also when no box says anything more.
  void proceed(TimePoint Now);
  void forget(const BoxName &Box) { m_FetchPolicy.forget(Box); }
  /// Whether the uplink of this box, a leaf, sends its configuration,
  /// compressed: hundreds of leaves that read each version from the store make
  /// more calls than all else that a fleet does.
  bool asksUplink() const;
  const ConfigPursuit::Told &newest() const { return m_FetchPolicy.newest(); }
  /// How long ago another box first told of a version that this one lacks; 0
  /// when it lacks none.
  Duration behind(TimePoint Now) const;

private:
  bool delegatesReads() const;
  void ask(const BoxName &Holder);

  Dependencies m_Deps;
  Hooks m_Hooks;
  ConfigPursuit m_FetchPolicy;
};

} // namespace havenstair

#endif
