/// \file
/// Decides how a box fetches a configuration version that it lacks. See
/// docs/design/fleet.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_CONFIGFETCHPOLICY_H
#define HAVENSTAIR_DECISIONS_PROCESS_CONFIGFETCHPOLICY_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/version/ServingConfig.h"

namespace havenstair {

/// What a box does next to get the newest configuration version that it knows
/// of.
enum class ConfigStep {
  /// Nothing, or wait for the call that is under way.
  None,
  /// Ask the peer that has the version for a copy.
  AskPeer,
  /// Read the store; an older answer may be new enough.
  ReadStale,
  /// Read the store, current at the time of the read.
  ReadCurrent,
  /// Start the box's own watch of the store again, as it has not delivered the
  /// version.
  RestartWatch
};

/// Tracks the newest version that peers reported, which peer has it, and which
/// attempts were made to get it. After a failure each way is retried within
/// MaxRetryPause, however long it has failed: a pause that kept growing could
/// outlast the time in which a version must be in force, once the way works
/// again.
class ConfigFetchPolicy {
public:
  /// A watch that has not delivered by now what a peer knows counts as dead: it
  /// delivers within milliseconds, unless half a megabyte comes over a slow
  /// link. With the time in which the box that reads for all finds its own
  /// watch dead, this is less than the 2 s in which operators want a
  /// configuration in force.
  static constexpr Duration WatchSilenceTimeout = 200ms;
  /// A box that leaves reading the store to another one gives that one this
  /// long to get the version and to send it.
  static constexpr Duration SourceTimeout = 1s;
  /// A box that reads the store itself asks a peer this long after it first
  /// tried, as when the store has refused its read, and later still while a
  /// read is under way, as two copies share the link.
  static constexpr Duration AskDelay = 400ms;
  static constexpr Duration AskDelayWhileReading = 1s;
  /// Pause between two attempts on one way; it doubles with each up to
  /// MaxRetryPause.
  static constexpr Duration MinRetryPause = 200ms;
  /// Shortest pause between two requests to a peer: a copy is sent, and
  /// unpacked by a small box, within this time.
  static constexpr Duration MinAskPause = 500ms;
  static constexpr Duration MaxRetryPause = 1s;

  /// The state of the box at the time of a decision.
  struct Situation {
    /// The version that it serves by.
    ConfigVersion m_Known = 0;
    /// Whether a read of the store is under way.
    bool m_Reading = false;
    /// Whether it watches the store itself.
    bool m_Watching = false;
    /// Whether it leaves reading the store to others, unless no peer sends a
    /// copy.
    bool m_DefersReads = false;
  };

  /// The newest version that a peer reported.
  struct NewestVersion {
    ConfigVersion m_Version = 0;
    /// The peer that reported it first.
    BoxName m_By;
    /// When it was first reported.
    TimePoint m_At{};
  };

  /// The versions that a peer reports.
  struct PeerVersions {
    /// The version that the peer can send a copy of; 0 for none.
    ConfigVersion m_Held = 0;
    /// The newest version that the peer knows of.
    ConfigVersion m_Known = 0;
  };

  /// Records which versions \p From reports. \returns whether one is newer than
  /// all known before.
  bool recordReport(const BoxName &From, const PeerVersions &Versions,
                    TimePoint Now);
  /// Records that \p Box can be asked no longer.
  void forget(const BoxName &Box);
  /// Decides what to do at \p Now. A step that is returned counts as taken.
  ConfigStep next(const Situation &At, TimePoint Now);

  /// The newest version that a peer reported; version 0 when none did.
  const NewestVersion &newest() const { return m_Newest; }
  /// The peer to ask: the first to have the newest version that any peer can
  /// send. Empty when no peer can send one.
  const BoxName &source() const { return m_Source; }
  /// How long the box waits before it asks a peer again.
  Duration askPause() const { return m_Asks.m_Pause; }
  /// Time since a version newer than \p Known was first reported; 0 when none
  /// was.
  Duration behind(ConfigVersion Known, TimePoint Now) const;

private:
  /// Attempts on one way for one version.
  struct Attempts {
    ConfigVersion m_Version = 0;
    /// When the last attempt was made.
    TimePoint m_At{};
    /// Pause before the next attempt.
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
  /// The version that m_Source can send; 0 when m_Source is empty.
  ConfigVersion m_Held = 0;
  ConfigVersion m_Known = 0;
  /// When the oldest version that the box lacks was reported.
  TimePoint m_BehindSince{};
  /// The same, or when the box last got a version, whichever is later.
  TimePoint m_TryingSince{};
  Attempts m_Asks;
  Attempts m_Reads;
};

} // namespace havenstair

#endif
