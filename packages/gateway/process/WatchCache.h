/// \file
/// A copy of all keys under one prefix of the store, kept by watching.
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

/// On which way a copy came to be what it is.
enum class CopySource {
  None, ///< Nothing is known yet.
  Read,
  Watch,
  Peer ///< Another box sent its own.
};

const char *toString(CopySource Of);

/// Reads the prefix, then watches it from there on. Reads anew when the store
/// forgot the changes in between.
class WatchCache {
public:
  /// How long a watch waits where a lost one would soon do harm.
  static constexpr Duration ShortWait = 900ms;

  struct Options {
    std::string m_Prefix;
    Duration m_Wait = ShortWait;
    /// Pause after news before the next watch, so that changes that come
    /// together cost one call.
    Duration m_CoalesceDelay = 0us;
    /// How the first read is made; what must be as new as the store from the
    /// start is read so.
    ReadKind m_FirstRead = ReadKind::Current;
    Backoff::Options m_Retry{.m_First = 100ms, .m_Cap = 1s, .m_Random = {}};
  };
  /// How a read of the whole prefix ended.
  struct ReadOutcome {
    ReadKind m_Kind = ReadKind::Current;
    StoreStatus m_Status = StoreStatus::Lost;
    Duration m_Took = 0us;
    std::size_t m_Bytes = 0;  ///< Of the values.
    StoreRevision m_At = 0;   ///< The store's, of a good answer.
    Duration m_NextTry = 0us; ///< Pause before the next one; 0 for none.
  };
  struct Hooks {
    /// The copy has changed, or was read for the first time.
    std::function<void()> m_Changed;
    std::function<void(const ReadOutcome &)> m_ReadEnded; ///< May be empty.
  };

  WatchCache(EventLoop &Loop, CoordinationStore &Store, Options Opts,
             Hooks Callbacks);
  ~WatchCache();
  WatchCache(const WatchCache &) = delete;
  WatchCache &operator=(const WatchCache &) = delete;

  /// A read that is under way is waited for, here and below: a large value
  /// takes a slow link most of a second, its bytes come whether or not they are
  /// waited for, and one read more would make both late.
  void start();
  /// Gives up the watch and reads anew; for a store that is back.
  void resync();
  /// Reads the prefix without watching it afterwards, when this copy is not
  /// kept by watching anyway.
  void readOnce(ReadKind Kind);
  /// Whether a read is under way.
  bool reading() const { return m_Reading; }
  /// Stops watching; start() begins again.
  void stop();
  bool running() const { return m_Running; }
  /// Pauses between tries while the store does not answer.
  void setRetry(const RetryPauses &Pauses) { m_Backoff.setPauses(Pauses); }
  /// Takes effect after the next news.
  void setCoalesceDelay(Duration CoalesceDelay) {
    m_Opts.m_CoalesceDelay = CoalesceDelay;
  }
  /// Whether a watch that is lost on the way must be found within ShortWait.
  void watchClosely(bool Closely);
  /// What this copy holds was the store's state at that time or later: when the
  /// last answered call was sent, or when a watch that brought nothing had
  /// waited for as long as it asked. When the answer came says less: it may
  /// have waited in a socket.
  TimePoint confirmedAt() const { return m_ConfirmedAt; }

  /// What has changed since a revision; since 0, everything.
  struct Delta {
    StoreRevision m_Since = 0;
    StoreRevision m_Revision = 0;
    bool m_Part = false; ///< Not all keys, but those that a leaf needs.
    std::vector<StoreItem> m_Items;
    std::vector<std::string> m_Gone;
  };

  /// Takes over what another process read. \returns false when something is
  /// missing between this copy and \p Update, or one is a part and the other is
  /// not.
  bool adopt(const Delta &Update);
  /// Whether this copy holds only what a leaf needs.
  bool partial() const { return m_Part; }
  /// The whole copy.
  Delta snapshot() const;
  /// What has changed since the last call; the whole copy at the first.
  Delta takeChanges();

  const std::string &prefix() const { return m_Opts.m_Prefix; }
  const std::map<std::string, StoreItem> &items() const { return m_Items; }
  /// Revision of the newest change in the copy, or of the last whole read; 0
  /// before it.
  StoreRevision revision() const { return m_Revision; }
  /// How the newest change came.
  CopySource source() const { return m_Source; }

private:
  void read();
  void read(ReadKind Kind);
  void onReadFailed(ReadOutcome End);
  void reportRead(const ReadOutcome &End) const;
  void watch();
  Duration nextWait(TimePoint Now) const;
  void onRead(StoreItems Read);
  bool takeOver(StoreItems Read);
  void onChanges(const StoreChanges &Update);
  void recordNoChange(StoreRevision To, TimePoint Now);
  void schedule(Duration Delay, void (WatchCache::*Step)());

  EventLoop &m_Loop;
  CoordinationStore &m_Store;
  Options m_Opts;
  Hooks m_Hooks;
  Backoff m_Backoff;
  std::map<std::string, StoreItem> m_Items;
  /// As it was when changes were last taken.
  std::map<std::string, StoreRevision> m_TakenRevisions;
  StoreRevision m_TakenRevision = 0;
  StoreRevision m_Revision = 0;
  StoreRevision m_WatchedTo =
      0; ///< Nothing has changed from m_Revision to there.
  /// What a short watch without news said, and when: believed after Settle.
  StoreRevision m_UnchangedTo = 0;
  TimePoint m_UnchangedAt{};
  CopySource m_Source = CopySource::None;
  bool m_Part = false;
  bool m_Closely = false;
  TimePoint m_SentAt{};      ///< Of the call that is under way.
  Duration m_WaitSent = 0us; ///< How long that watch may wait.
  TimePoint m_ConfirmedAt{};
  bool m_Running = false;
  bool m_Reading = false;
  ReadKind m_ReadKind = ReadKind::Current; ///< Of the read under way.
  bool m_ReadAgain = false; ///< At once, should the read under way fail.
  /// Answers of earlier calls are dropped.
  std::uint64_t m_Generation = 0;
  std::shared_ptr<void> m_Watching;
  Timer m_Timer;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
