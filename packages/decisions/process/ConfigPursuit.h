/// \file
/// How a box comes by a configuration that it lacks. See docs/design/fleet.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_CONFIGPURSUIT_H
#define HAVENSTAIR_DECISIONS_PROCESS_CONFIGPURSUIT_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/version/ServingConfig.h"

namespace havenstair {

/// What a box does next to have the newest configuration that it was told of.
enum class ConfigStep {
  None,        ///< Nothing, or wait for what is under way.
  Ask,         ///< Ask the box that holds it for its copy.
  ReadStale,   ///< Read the store; an older answer may be new enough.
  ReadCurrent, ///< Read the store.
  ReadAnew     ///< The box's own watch has not told: begin it again.
};

/// Knows which version a box was told of, who holds it, and what was tried.
/// After a failure each way is tried again within MostPause, however long it
/// has failed: a pause that went on growing would outlast the time in which a
/// version must be in force, when the way is well again.
class ConfigPursuit {
public:
  /// A watch that has not told by now what another box knows is taken as dead:
  /// it tells within some ms, unless half a megabyte comes over a slow link.
  /// With the time in which the box that reads for all finds its own watch dead
  /// less than the 2 s in which operators want a configuration in force.
  static constexpr Duration WatchTells = 200ms;
  /// A box that leaves the reading to another one gives that one as long to
  /// have the version, and to send it.
  static constexpr Duration HolderAnswers = 1s;
  /// One that reads asks a peer later: when the store turns it away, and later
  /// still while a read is under way, as two copies share the link.
  static constexpr Duration AskAfter = 400ms;
  static constexpr Duration AskWhileReading = 1s;
  /// Between two tries on the same way; the pause doubles up to the longest.
  static constexpr Duration LeastPause = 200ms;
  /// A copy is sent, and unpacked by a small box, within this.
  static constexpr Duration LeastAskPause = 500ms;
  static constexpr Duration MostPause = 1s;

  /// How the box stands when it decides.
  struct Situation {
    ConfigVersion m_Known = 0;  ///< The version that it serves by.
    bool m_Reading = false;     ///< A read of the store is under way.
    bool m_Watching = false;    ///< It keeps a watch of its own.
    bool m_LeavesReads = false; ///< It reads only when nobody sends a copy.
  };

  /// The newest version that another box told of.
  struct Told {
    ConfigVersion m_Version = 0;
    BoxName m_By;     ///< The first to tell of it.
    TimePoint m_At{}; ///< When it did.
  };

  /// What another box tells of configurations.
  struct Word {
    ConfigVersion m_Held = 0;  ///< It can send its copy of that one.
    ConfigVersion m_Known = 0; ///< The newest that it was told of itself.
  };

  /// \returns whether there is a version that was not known of.
  bool told(const BoxName &By, const Word &Of, TimePoint Now);
  /// \p Box cannot be asked any more.
  void forget(const BoxName &Box);
  /// What to do now. A step that is returned counts as taken.
  ConfigStep next(const Situation &At, TimePoint Now);

  const Told &newest() const { return m_Newest; }
  /// The first box to have the newest version that any is known to have; it is
  /// asked. Empty when none is known.
  const BoxName &holder() const { return m_Holder; }
  /// How long it waits before it asks again.
  Duration askPause() const { return m_Asks.m_Pause; }
  /// How long ago it was told of a version newer than \p Known; 0 for none.
  Duration behind(ConfigVersion Known, TimePoint Now) const;

private:
  /// Tries on one way for one version.
  struct Tries {
    ConfigVersion m_For = 0;
    TimePoint m_At{};
    Duration m_Pause = 0us;
  };

  void noteProgress(ConfigVersion Known);
  static bool mayTry(const Tries &Way, ConfigVersion For, TimePoint Now);
  void noteTry(Tries &Way, ConfigVersion For, Duration Least,
               TimePoint Now) const;
  bool asks(const Situation &At, TimePoint Now) const;
  ConfigStep read(const Situation &At, TimePoint Now);

  Told m_Newest;
  BoxName m_Holder;
  ConfigVersion m_Held = 0; ///< What that one has; 0 without one.
  ConfigVersion m_Known = 0;
  TimePoint m_BehindSince{}; ///< Of the oldest version that it lacks.
  TimePoint m_TryingSince{}; ///< The same, or since it last took a version.
  Tries m_Asks;
  Tries m_Reads;
};

} // namespace havenstair

#endif
