#include "gateway/process/WatchCache.h"

#include "gateway/process/ListFingerprint.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// While a store compacts its history, watches may miss changes for up to a
/// second, and one that ends in that second reports that there were none. For
/// this long the next watches continue from the revision before, so that they
/// deliver what was missed, or the store reports the history as compacted and
/// the prefix is read anew.
constexpr Duration HistoryLossWindow = 2s;

/// The delay after changes that the tolerated ages of a copy already allow for.
constexpr Duration UsualCoalesceDelay = 200ms;

} // namespace

const char *toString(CopySource Source) {
  switch (Source) {
  case CopySource::None:
    return "none";
  case CopySource::Read:
    return "read";
  case CopySource::Watch:
    return "watch";
  case CopySource::Peer:
    return "peer";
  }
  return "none";
}

WatchCache::WatchCache(EventLoop &Loop, CoordinationStore &Store, Options Opts,
                       Hooks Callbacks)
    : m_Loop(Loop), m_Store(Store), m_Opts(std::move(Opts)),
      m_Hooks(std::move(Callbacks)), m_Backoff(m_Opts.m_Retry) {}

WatchCache::~WatchCache() = default;

void WatchCache::start() {
  if (std::exchange(m_Running, true) || m_Reading)
    return;
  resync();
}

void WatchCache::stop() {
  m_Running = false;
  m_LastCallSucceeded = false;
  m_Watching.reset();
  m_Timer = Timer();
  if (!m_Reading)
    ++m_Generation;
}

void WatchCache::resync() {
  if (!m_Running)
    return;
  // The read may wait on a dead connection, and then fails soon.
  if (m_Reading) {
    m_ReadAgain = true;
    return;
  }
  ++m_Generation;
  m_Watching.reset();
  m_Timer = Timer();
  read();
}

void WatchCache::watchClosely(bool Closely) {
  if (std::exchange(m_Closely, Closely) == Closely)
    return;
  // The current watch may already be lost; another one delivers the same
  // changes with one call less than a read.
  if (!Closely || !m_Running || m_Reading || m_WaitSent <= ShortWait)
    return;
  m_Timer = Timer();
  watch();
}

void WatchCache::schedule(Duration Delay, void (WatchCache::*Step)()) {
  m_Timer = m_Loop.after(Delay, [this, Step] { (this->*Step)(); });
}

void WatchCache::readOnce(ReadKind Kind) {
  if (!m_Running && !m_Reading)
    read(Kind);
}

void WatchCache::read() {
  read(m_Revision.none() ? m_Opts.m_FirstRead : ReadKind::Current);
}

void WatchCache::reportRead(const ReadOutcome &End) const {
  if (m_Hooks.m_ReadEnded)
    m_Hooks.m_ReadEnded(End);
}

void WatchCache::read(ReadKind Kind) {
  m_Reading = true;
  m_ReadAgain = false;
  m_ReadKind = Kind;
  const std::uint64_t Generation = ++m_Generation;
  m_SentAt = EventLoop::now();
  m_Store.range(m_Opts.m_Prefix, Kind,
                [this, Generation,
                 Alive = std::weak_ptr<bool>(m_Alive)](StoreItems Result) {
                  if (!Alive.expired() && Generation == m_Generation)
                    onRead(std::move(Result));
                });
}

void WatchCache::onReadFailed(ReadOutcome End) {
  m_LastCallSucceeded = false;
  if (m_Running) {
    End.m_NextTry = std::exchange(m_ReadAgain, false) ? 0us : m_Backoff.next();
    schedule(End.m_NextTry, &WatchCache::read);
  }
  reportRead(End);
}

void WatchCache::onRead(StoreItems Result) {
  m_Reading = false;
  ReadOutcome End{.m_Kind = m_ReadKind,
                  .m_Status = Result.m_Status,
                  .m_Took = EventLoop::now() - m_SentAt,
                  .m_CopyAt = m_Revision};
  if (Result.m_Status != StoreStatus::Ok)
    return onReadFailed(End);
  End.m_At = Result.m_At;
  for (const StoreItem &Each : Result.m_Items)
    End.m_Bytes += Each.m_Value.size();
  End.m_Dropped = Result.m_At < m_Revision;
  reportRead(End);
  m_ReadDropped = End.m_Dropped;
  if (!m_ReadDropped)
    m_Backoff.reset();
  m_LastCallSucceeded = true;
  m_ConfirmedAt = m_SentAt;
  // A late answer must not undo newer changes.
  if (!End.m_Dropped && takeOver(std::move(Result)))
    m_Hooks.m_Changed();
  if (!m_Running)
    return;
  if (m_Part)
    schedule(m_Backoff.next(), &WatchCache::read);
  else
    watch();
}

/// \returns whether the read brought changes.
bool WatchCache::takeOver(StoreItems Result) {
  std::map<std::string, StoreItem> Items;
  for (StoreItem &Each : Result.m_Items)
    Items.emplace(Each.m_Key, std::move(Each));
  m_WatchedTo = std::max(m_WatchedTo, Result.m_At);
  // The revision rises even when no key has changed: otherwise two boxes that
  // read at different times would each consider the other one outdated and keep
  // reading.
  const StoreEra EraBefore = std::exchange(m_Revision, Result.m_At).m_Era;
  // Others are sent what a whole list holds, and nothing of a part.
  const bool WasPart = std::exchange(m_Part, false);
  if (!WasPart && EraBefore == m_Revision.m_Era && Items == m_Items)
    return false;
  m_Items = std::move(Items);
  ++m_Changes;
  m_Source = CopySource::Read;
  return true;
}

/// Changes prove only that the copy was the store's state when their watch was
/// sent. A copy that has to be confirmed often is therefore watched again with
/// a shorter wait.
Duration WatchCache::nextWait(TimePoint Now) const {
  constexpr Duration LeastWait = 100ms;
  if (!m_Closely && m_Opts.m_Wait > ShortWait)
    return m_Opts.m_Wait;
  // A longer delay after changes is subtracted from the wait, or the copy would
  // become older than other boxes tolerate before they read themselves.
  const Duration Longest =
      ShortWait -
      std::max<Duration>(0us, m_Opts.m_CoalesceDelay - UsualCoalesceDelay);
  return std::clamp<Duration>(Longest - (Now - m_ConfirmedAt), LeastWait,
                              std::max(LeastWait, Longest));
}

void WatchCache::watch() {
  const std::uint64_t Generation = ++m_Generation;
  m_SentAt = EventLoop::now();
  m_WaitSent = nextWait(m_SentAt);
  m_Watching = m_Store.watch(
      m_Opts.m_Prefix, std::max(m_Revision, m_WatchedTo), m_WaitSent,
      [this, Generation,
       Alive = std::weak_ptr<bool>(m_Alive)](const StoreChanges &Update) {
        if (!Alive.expired() && Generation == m_Generation)
          onChanges(Update);
      });
}

/// A watch goes on from the copy's revision: continued from a part, it would
/// never bring what the part lacks.
bool WatchCache::readsWhole() const {
  return m_Running && m_LastCallSucceeded && !m_Part;
}

bool WatchCache::holdsJust(const std::vector<StoreItem> &Items) const {
  return Items.size() == m_Items.size() &&
         std::all_of(Items.begin(), Items.end(), [&](const StoreItem &Each) {
           const auto Found = m_Items.find(Each.m_Key);
           return Found != m_Items.end() && Found->second == Each;
         });
}

std::uint64_t WatchCache::fingerprint() const {
  ListFingerprint Result;
  for (const auto &[Key, Item] : m_Items)
    Result.add(Key, Item.m_Revision);
  return Result.value();
}

bool WatchCache::adopt(const Delta &Update) {
  if (Update.m_Part && readsWhole())
    return true;
  const bool KindDiffers = Update.m_Part != m_Part;
  const bool Whole = Update.m_Since.none();
  // A copy of the same revision differs where one of the two was made of
  // messages that do not belong together.
  const bool Replaces =
      Whole && Update.m_Revision >= m_Revision &&
      (KindDiffers || (!readsWhole() && !holdsJust(Update.m_Items)));
  if (Update.m_Revision <= m_Revision && !Replaces)
    return true;
  const bool Follows = !KindDiffers && Update.m_Since <= m_Revision &&
                       Update.m_Revision.m_Era == m_Revision.m_Era;
  if (!Whole && !Follows)
    return false;
  // No key that this copy holds has changed; most updates of a long list that a
  // leaf receives are of this kind.
  if (!Whole && Update.m_Items.empty() && Update.m_Gone.empty()) {
    m_Revision = Update.m_Revision;
    return true;
  }
  if (Whole)
    m_Items.clear();
  m_Part = Update.m_Part;
  for (const StoreItem &Item : Update.m_Items)
    m_Items[Item.m_Key] = Item;
  for (const std::string &Key : Update.m_Gone)
    m_Items.erase(Key);
  m_Revision = Update.m_Revision;
  ++m_Changes;
  m_Source = CopySource::Peer;
  m_Hooks.m_Changed();
  return true;
}

void WatchCache::keep(const StoreItem &Known) {
  m_Items[Known.m_Key] = Known;
  ++m_Changes;
}

WatchCache::Delta WatchCache::snapshot() const {
  Delta Result{.m_Since = {},
               .m_Revision = m_Revision,
               .m_Part = m_Part,
               .m_Items = {},
               .m_Gone = {}};
  for (const auto &[Key, Item] : m_Items)
    Result.m_Items.push_back(Item);
  return Result;
}

WatchCache::Delta WatchCache::takeChanges() {
  if (m_TakenRevision.m_Era != m_Revision.m_Era) {
    m_TakenRevisions.clear();
    m_TakenRevision = {};
  }
  Delta Result{.m_Since = m_TakenRevision,
               .m_Revision = m_Revision,
               .m_Part = m_Part,
               .m_Items = {},
               .m_Gone = {}};
  std::map<std::string, StoreRevision> Taken;
  for (const auto &[Key, Item] : m_Items) {
    const auto Before = m_TakenRevisions.find(Key);
    if (Before == m_TakenRevisions.end() || Before->second != Item.m_Revision)
      Result.m_Items.push_back(Item);
    Taken[Key] = Item.m_Revision;
  }
  for (const auto &[Key, Revision] : m_TakenRevisions)
    if (!Taken.contains(Key))
      Result.m_Gone.push_back(Key);
  m_TakenRevisions = std::move(Taken);
  m_TakenRevision = m_Revision;
  return Result;
}

/// Records that a watch ended without changes. A watch that waited longer than
/// a compaction takes would have been interrupted by it and can be trusted at
/// once.
void WatchCache::recordNoChange(StoreRevision To, TimePoint Now) {
  if (m_WaitSent >= HistoryLossWindow) {
    m_WatchedTo = std::max(m_WatchedTo, To);
    return;
  }
  if (Now - m_UnchangedAt < HistoryLossWindow)
    return;
  m_WatchedTo = std::max(m_WatchedTo, m_UnchangedTo);
  m_UnchangedTo = To;
  m_UnchangedAt = Now;
}

void WatchCache::onChanges(const StoreChanges &Update) {
  m_LastCallSucceeded = Update.m_Status == StoreStatus::Ok;
  if (Update.m_Status == StoreStatus::HistoryGone) {
    if (m_Hooks.m_WatchRefused)
      m_Hooks.m_WatchRefused(std::max(m_Revision, m_WatchedTo));
    // The store keeps answering as of a time before the copy.
    if (m_ReadDropped)
      return schedule(m_Backoff.next(), &WatchCache::read);
    return read();
  }
  if (Update.m_Status != StoreStatus::Ok)
    return schedule(m_Backoff.next(), &WatchCache::read);
  m_Backoff.reset();
  const TimePoint WaitEnd = m_SentAt + m_WaitSent;
  const bool TimedOut = Update.m_Changes.empty() && EventLoop::now() >= WaitEnd;
  m_ConfirmedAt = TimedOut ? WaitEnd : m_SentAt;
  if (Update.m_Changes.empty())
    recordNoChange(Update.m_At, EventLoop::now());
  for (const StoreChange &Change : Update.m_Changes) {
    // Already received from another box.
    if (Change.m_Revision <= m_Revision)
      continue;
    if (Change.m_Value)
      m_Items[Change.m_Key] = {.m_Key = Change.m_Key,
                               .m_Value = *Change.m_Value,
                               .m_Revision = Change.m_Revision};
    else
      m_Items.erase(Change.m_Key);
  }
  if (Update.m_Changes.empty())
    return watch();
  m_Revision = std::max(m_Revision, Update.m_At);
  ++m_Changes;
  m_Source = CopySource::Watch;
  m_Hooks.m_Changed();
  if (m_Opts.m_CoalesceDelay > 0us)
    return schedule(m_Opts.m_CoalesceDelay, &WatchCache::watch);
  watch();
}

} // namespace havenstair
