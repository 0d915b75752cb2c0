/// \file
/// A local copy of all keys under one prefix of the store, kept current by
/// watching.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_WATCHCACHE_H
#define HAVENSTAIR_GATEWAY_PROCESS_WATCHCACHE_H

#include "decisions/process/Backoff.h"
#include "gateway/process/CoordinationStore.h"
#include "wire/common/EventLoop.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace havenstair {

/// Where the newest change of a copy came from.
enum class CopySource {
  None, ///< There is no copy yet.
  Read,
  Watch,
  Peer ///< Another box sent its copy.
};

const char *toString(CopySource Source);

/// Reads the prefix, then watches it from that revision on. Reads it anew when
/// the store has compacted the changes in between.
class WatchCache {
public:
  /// How long a watch waits where one whose connection was silently lost would
  /// soon do harm.
  static constexpr Duration ShortWait = 900ms;

  struct Options {
    std::string m_Prefix;
    Duration m_Wait = ShortWait; ///< How long a watch waits for changes.
    /// Delay after changes before the next watch, so that changes that come
    /// close together cost one call.
    Duration m_CoalesceDelay = 0us;
    /// How the first read is made; Current for a prefix that must not be
    /// outdated from the start.
    ReadKind m_FirstRead = ReadKind::Current;
    /// Backoff of failed reads.
    Backoff::Options m_Retry{.m_First = 100ms, .m_Cap = 1s, .m_Random = {}};
  };
  /// Outcome of a read of the whole prefix.
  struct ReadOutcome {
    ReadKind m_Kind = ReadKind::Current;
    StoreStatus m_Status = StoreStatus::Lost;
    Duration m_Took = 0us;
    std::size_t m_Bytes = 0; ///< Total size of the values.
    StoreRevision m_At;      ///< The store's revision, of a successful read.
    StoreRevision m_CopyAt;  ///< The copy's revision before the read.
    bool m_Dropped = false;  ///< A successful read was older than the copy.
    /// Delay before the next read; 0 when none is scheduled.
    Duration m_NextTry = 0us;
  };
  struct Hooks {
    /// The copy has changed, or was read for the first time.
    std::function<void()> m_Changed;
    std::function<void(const ReadOutcome &)> m_ReadEnded; ///< May be empty.
    /// The store does not have the changes after a revision; may be empty.
    std::function<void(StoreRevision After)> m_WatchRefused;
  };

  WatchCache(EventLoop &Loop, CoordinationStore &Store, Options Opts,
             Hooks Callbacks);
  ~WatchCache();
  WatchCache(const WatchCache &) = delete;
  WatchCache &operator=(const WatchCache &) = delete;

  /// Reads the prefix and begins to watch it.
  ///
  /// A read in flight is never abandoned, here and below: a large value takes
  /// most of a second over a slow link and its bytes arrive in any case, so
  /// that a second read would only delay both.
  void start();
  /// Abandons the watch and reads anew, for when the store has come back. A
  /// read in flight is repeated only if it fails.
  void resync();
  /// Reads the prefix once without watching it afterwards. Does nothing while
  /// this copy is watched, or being read.
  void readOnce(ReadKind Kind);
  /// Whether a read is in flight.
  bool reading() const { return m_Reading; }
  /// Stops watching; start() resumes.
  void stop();
  /// Whether the prefix is watched, or read to be watched.
  bool running() const { return m_Running; }
  /// Backoff while the store does not answer.
  void setRetry(const RetryPauses &Pauses) { m_Backoff.setPauses(Pauses); }
  /// Takes effect after the next changes.
  void setCoalesceDelay(Duration CoalesceDelay) {
    m_Opts.m_CoalesceDelay = CoalesceDelay;
  }
  /// Sets whether a watch whose connection was silently lost has to be detected
  /// within ShortWait.
  void watchClosely(bool Closely);
  /// The copy held the store's state at this time or later: when the last
  /// answered call was sent, or when a watch without changes had waited as long
  /// as it asked for. The arrival of an answer proves less, as the answer may
  /// have waited in a socket.
  TimePoint confirmedAt() const { return m_ConfirmedAt; }

  /// The changes since a revision of the same era; since none, the whole copy.
  struct Delta {
    StoreRevision m_Since;
    StoreRevision m_Revision; ///< The changes are complete up to here.
    bool m_Part = false;      ///< Holds only the keys that a leaf needs.
    std::vector<StoreItem> m_Items;
    std::vector<std::string> m_Gone; ///< Keys that were removed.
  };

  /// Merges what another process has read; ignores a part while this process
  /// reads the whole itself. \returns false when changes between this copy and
  /// \p Update are missing, or when one of them is partial and the other is
  /// not.
  bool adopt(const Delta &Update);
  /// Whether this copy holds only what a leaf needs.
  bool partial() const { return m_Part; }
  /// Returns the whole copy.
  Delta snapshot() const;
  /// Returns the changes since the last call; the whole copy at the first call
  /// and in a new era, as other boxes may know more of the last one.
  Delta takeChanges();

  /// Prefix of the copied keys.
  const std::string &prefix() const { return m_Opts.m_Prefix; }
  /// The copied items by key.
  const std::map<std::string, StoreItem> &items() const { return m_Items; }
  /// Puts back \p Known, which the store has replaced by an older value when it
  /// came back from a copy of itself.
  void keep(const StoreItem &Known);
  /// Revision of the newest change in the copy, or of the last read of the
  /// prefix; none before the first.
  StoreRevision revision() const { return m_Revision; }
  /// Fingerprint of the copied keys.
  std::uint64_t fingerprint() const;
  /// Counts the changes of the copy, also those that leave its revision.
  std::uint64_t changes() const { return m_Changes; }
  /// Where the newest change came from.
  CopySource source() const { return m_Source; }

private:
  bool readsWhole() const;
  bool holdsJust(const std::vector<StoreItem> &Items) const;
  void read();
  void read(ReadKind Kind);
  void onReadFailed(ReadOutcome End);
  void reportRead(const ReadOutcome &End) const;
  void watch();
  Duration nextWait(TimePoint Now) const;
  void onRead(StoreItems Result);
  bool takeOver(StoreItems Result);
  void onChanges(const StoreChanges &Update);
  void recordNoChange(StoreRevision To, TimePoint Now);
  void schedule(Duration Delay, void (WatchCache::*Step)());

  EventLoop &m_Loop;
  CoordinationStore &m_Store;
  Options m_Opts;
  Hooks m_Hooks;
  Backoff m_Backoff;
  std::map<std::string, StoreItem> m_Items;
  /// Revision of each key when takeChanges() was last called.
  std::map<std::string, StoreRevision> m_TakenRevisions;
  StoreRevision m_TakenRevision;
  StoreRevision m_Revision;
  /// No key has changed from m_Revision up to this revision.
  StoreRevision m_WatchedTo;
  /// Revision that a short watch without changes reported, and when; trusted
  /// only after HistoryLossWindow.
  StoreRevision m_UnchangedTo;
  TimePoint m_UnchangedAt{};
  std::uint64_t m_Changes = 0;
  CopySource m_Source = CopySource::None;
  bool m_Part = false;
  bool m_Closely = false;
  TimePoint m_SentAt{};      ///< When the current call was sent.
  Duration m_WaitSent = 0us; ///< Longest wait of the current watch.
  TimePoint m_ConfirmedAt{};
  bool m_Running = false;
  bool m_Reading = false;
  ReadKind m_ReadKind = ReadKind::Current; ///< Kind of the read in flight.
  /// The last read or watch since start() was answered.
  bool m_LastCallSucceeded = false;
  bool m_ReadDropped = false; ///< The last read was older than the copy.
  bool m_ReadAgain = false; ///< Read again at once if the read in flight fails.
  /// Answers to calls of an earlier generation are dropped.
  std::uint64_t m_Generation = 0;
  std::shared_ptr<void> m_Watching;
  Timer m_Timer;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
