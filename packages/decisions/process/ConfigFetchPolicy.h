/// \file
/// How a box comes by a configuration that it lacks. See docs/design/fleet.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_CONFIGFETCHPOLICY_H
#define HAVENSTAIR_DECISIONS_PROCESS_CONFIGFETCHPOLICY_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/version/ServingConfig.h"

namespace havenstair {

/// What a box does next to have the newest configuration that it was
/// recordReport of.
enum class ConfigStep {
  None,        ///< Nothing, or wait for what is under way.
  AskPeer,     ///< AskPeer the box that holds it for its copy.
  ReadStale,   ///< Read the store; an older answer may be new enough.
  ReadCurrent, ///< Read the store.
  RestartWatch ///< The box's own watch has not recordReport: begin it again.
};

/// Knows which version a box was recordReport of, who holds it, and what was
/// tried. After a failure each way is tried again within MaxRetryPause, however
/// long it has failed: a pause that went on growing would outlast the time in
/// which a version must be in force, when the way is well again.
class ConfigFetchPolicy {
public:
  /// A watch that has not recordReport by now what another box knows is taken
  /// as dead: it tells within some ms, unless half a megabyte comes over a slow
  /// link. With the time in which the box that reads for all finds its own
  /// watch dead less than the 2 s in which operators want a configuration in
  /// force.
  static constexpr Duration WatchSilenceTimeout = 200ms;
  /// A box that leaves the reading to another one gives that one as long to
  /// have the version, and to send it.
  static constexpr Duration SourceTimeout = 1s;
  /// One that reads shouldAsk a peer later: when the store turns it away, and
  /// later still while a read is under way, as two copies share the link.
  static constexpr Duration AskDelay = 400ms;
  static constexpr Duration AskDelayWhileReading = 1s;
  /// Between two tries on the same way; the pause doubles up to the longest.
  static constexpr Duration MinRetryPause = 200ms;
  /// A copy is sent, and unpacked by a small box, within this.
  static constexpr Duration MinAskPause = 500ms;
  static constexpr Duration MaxRetryPause = 1s;

  /// How the box stands when it decides.
  struct Situation {
    ConfigVersion m_Known = 0;  ///< The version that it serves by.
    bool m_Reading = false;     ///< A read of the store is under way.
    bool m_Watching = false;    ///< It keeps a watch of its own.
    bool m_DefersReads = false; ///< It reads only when nobody sends a copy.
  };

  /// The newest version that another box recordReport of.
  struct NewestVersion {
    ConfigVersion m_Version = 0;
    BoxName m_By;     ///< The first to tell of it.
    TimePoint m_At{}; ///< When it did.
  };

  /// What another box tells of configurations.
  struct PeerVersions {
    ConfigVersion m_Held = 0; ///< It can send its copy of that one.
    ConfigVersion m_Known =
        0; ///< The newest that it was recordReport of itself.
  };

  /// \returns whether there is a version that was not known of.
  bool recordReport(const BoxName &From, const PeerVersions &Of, TimePoint Now);
  /// \p Box cannot be asked any more.
  void forget(const BoxName &Box);
  /// What to do now. A step that is returned counts as taken.
  ConfigStep next(const Situation &At, TimePoint Now);

  const NewestVersion &newest() const { return m_Newest; }
  /// The first box to have the newest version that any is known to have; it is
  /// asked. Empty when none is known.
  const BoxName &source() const { return m_Source; }
  /// How long it waits before it shouldAsk again.
  Duration askPause() const { return m_Asks.m_Pause; }
  /// How long ago it was recordReport of a version newer than \p Known; 0 for
  /// none.
  Duration behind(ConfigVersion Known, TimePoint Now) const;

private:
  /// Attempts on one way for one version.
  struct Attempts {
    ConfigVersion m_Version = 0;
    TimePoint m_At{};
    Duration m_Pause = 0us;
  };

  void noteProgress(ConfigVersion Known);
  static bool mayTry(const Attempts &Tried, ConfigVersion Version,
                     TimePoint Now);
  void recordTry(Attempts &Tried, ConfigVersion Version, Duration MinPause,
                 TimePoint Now) const;
  bool shouldAsk(const Situation &At, TimePoint Now) const;
  ConfigStep read(const Situation &At, TimePoint Now);

  NewestVersion m_Newest;
  BoxName m_Source;
  ConfigVersion m_Held = 0; ///< What that one has; 0 without one.
  ConfigVersion m_Known = 0;
  TimePoint m_BehindSince{}; ///< Of the oldest version that it lacks.
  TimePoint m_TryingSince{}; ///< The same, or since it last took a version.
  Attempts m_Asks;
  Attempts m_Reads;
};

} // namespace havenstair

#endif
