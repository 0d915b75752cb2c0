#include "gateway/process/WatchCache.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// While a store drops its history, watches may hear nothing of changes for a
/// second, and one that ends in that second says that there were none. The next
/// watches go on from before it for this long, so that they bring what was
/// missed, or the store says that it is forgotten and it is read.
constexpr Duration HistoryLossWindow = 2s;

/// The pause after news that the ages which boxes bear allow for.
constexpr Duration UsualCoalesceDelay = 200ms;

} // namespace

const char *toString(CopySource Of) {
  switch (Of) {
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
  m_Watching.reset();
  m_Timer = Timer();
  if (!m_Reading)
    ++m_Generation;
}

void WatchCache::resync() {
  if (!m_Running)
    return;
  // It may wait on a connection that is dead, and then fails soon.
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
  // The watch that is under way may have been lost already; another brings the
  // same news with one call less than reading anew.
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
  read(m_Revision == 0 ? m_Opts.m_FirstRead : ReadKind::Current);
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
                 Alive = std::weak_ptr<bool>(m_Alive)](StoreItems Read) {
                  if (!Alive.expired() && Generation == m_Generation)
                    onRead(std::move(Read));
                });
}

void WatchCache::onReadFailed(ReadOutcome End) {
  if (m_Running) {
    End.m_NextTry = std::exchange(m_ReadAgain, false) ? 0us : m_Backoff.next();
    schedule(End.m_NextTry, &WatchCache::read);
  }
  reportRead(End);
}

void WatchCache::onRead(StoreItems Read) {
  m_Reading = false;
  ReadOutcome End{.m_Kind = m_ReadKind,
                  .m_Status = Read.m_Status,
                  .m_Took = EventLoop::now() - m_SentAt};
  if (Read.m_Status != StoreStatus::Ok)
    return onReadFailed(End);
  End.m_At = Read.m_At;
  for (const StoreItem &Each : Read.m_Items)
    End.m_Bytes += Each.m_Value.size();
  reportRead(End);
  m_Backoff.reset();
  m_ConfirmedAt = m_SentAt;
  // An answer that was under way for long must not undo newer changes.
  if (Read.m_At >= m_Revision && takeOver(std::move(Read)))
    m_Hooks.m_Changed();
  if (m_Running)
    watch();
}

/// \returns whether that is news: not when what was read is what is known.
bool WatchCache::takeOver(StoreItems Read) {
  std::map<std::string, StoreItem> Items;
  for (StoreItem &Each : Read.m_Items)
    Items.emplace(Each.m_Key, std::move(Each));
  m_WatchedTo = std::max(m_WatchedTo, Read.m_At);
  // The revision rises also when nothing has changed: two boxes that read at
  // different times would each take the other for behind, and both go on
  // reading.
  const bool First = std::exchange(m_Revision, Read.m_At) == 0;
  m_Part = false;
  if (!First && Items == m_Items)
    return false;
  m_Items = std::move(Items);
  m_Source = CopySource::Read;
  return true;
}

/// Update say that the copy was the store's state when their watch was sent.
/// What has to be known as of lately is then asked for sooner.
Duration WatchCache::nextWait(TimePoint Now) const {
  constexpr Duration LeastWait = 100ms;
  if (!m_Closely && m_Opts.m_Wait > ShortWait)
    return m_Opts.m_Wait;
  // A longer pause after news is taken off the wait: the copy would be older
  // than others bear before they read themselves.
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

bool WatchCache::adopt(const Delta &Update) {
  const bool OfOtherKind = Update.m_Part != m_Part;
  const bool Replaces =
      Update.m_Since == 0 && OfOtherKind && Update.m_Revision >= m_Revision;
  if (Update.m_Revision <= m_Revision && !Replaces)
    return true;
  if (Update.m_Since > m_Revision || (Update.m_Since > 0 && OfOtherKind))
    return false;
  // Nothing has changed that this copy holds; with a long list this is most of
  // what a leaf hears.
  if (Update.m_Since > 0 && Update.m_Items.empty() && Update.m_Gone.empty()) {
    m_Revision = Update.m_Revision;
    return true;
  }
  if (Update.m_Since == 0)
    m_Items.clear();
  m_Part = Update.m_Part;
  for (const StoreItem &Item : Update.m_Items)
    m_Items[Item.m_Key] = Item;
  for (const std::string &Key : Update.m_Gone)
    m_Items.erase(Key);
  m_Revision = Update.m_Revision;
  m_Source = CopySource::Peer;
  m_Hooks.m_Changed();
  return true;
}

WatchCache::Delta WatchCache::snapshot() const {
  Delta Result{.m_Since = 0,
               .m_Revision = m_Revision,
               .m_Part = m_Part,
               .m_Items = {},
               .m_Gone = {}};
  for (const auto &[Key, Item] : m_Items)
    Result.m_Items.push_back(Item);
  return Result;
}

WatchCache::Delta WatchCache::takeChanges() {
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

/// A watch that waited longer than such a gap lasts would have been cut by it.
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
  if (Update.m_Status == StoreStatus::HistoryGone)
    return read();
  if (Update.m_Status != StoreStatus::Ok)
    return schedule(m_Backoff.next(), &WatchCache::read);
  m_Backoff.reset();
  const TimePoint Waited = m_SentAt + m_WaitSent;
  const bool WaitedOut = Update.m_Changes.empty() && EventLoop::now() >= Waited;
  m_ConfirmedAt = WaitedOut ? Waited : m_SentAt;
  if (Update.m_Changes.empty())
    recordNoChange(Update.m_At, EventLoop::now());
  for (const StoreChange &Change : Update.m_Changes) {
    // Adopted in the meantime.
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
  m_Source = CopySource::Watch;
  m_Hooks.m_Changed();
  if (m_Opts.m_CoalesceDelay > 0us)
    return schedule(m_Opts.m_CoalesceDelay, &WatchCache::watch);
  watch();
}

} // namespace havenstair
