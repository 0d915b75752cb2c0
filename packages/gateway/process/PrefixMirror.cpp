#include "gateway/process/PrefixMirror.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// While a store drops its history, watches may hear nothing of changes for a
/// second, and one that ends in that second says that there were none. The next
/// watches go on from before it for this long, so that they bring what was
/// missed, or the store says that it is forgotten and it is read.
constexpr Duration Settle = 2s;

/// The pause after news that the ages which boxes bear allow for.
constexpr Duration UsualGather = 200ms;

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

PrefixMirror::PrefixMirror(EventLoop &Loop, CoordinationStore &Store,
                           Options Opts, Hooks Callbacks)
    : m_Loop(Loop), m_Store(Store), m_Opts(std::move(Opts)),
      m_Hooks(std::move(Callbacks)), m_Backoff(m_Opts.m_Retry) {}

PrefixMirror::~PrefixMirror() = default;

void PrefixMirror::start() {
  if (std::exchange(m_Running, true) || m_Reading)
    return;
  resync();
}

void PrefixMirror::stop() {
  m_Running = false;
  m_Watching.reset();
  m_Timer = Timer();
  if (!m_Reading)
    ++m_Round;
}

void PrefixMirror::resync() {
  if (!m_Running)
    return;
  // It may wait on a connection that is dead, and then fails soon.
  if (m_Reading) {
    m_ReadAgain = true;
    return;
  }
  ++m_Round;
  m_Watching.reset();
  m_Timer = Timer();
  read();
}

void PrefixMirror::watchClosely(bool Closely) {
  if (std::exchange(m_Closely, Closely) == Closely)
    return;
  // The watch that is under way may have been lost already; another brings the
  // same news with one call less than reading anew.
  if (!Closely || !m_Running || m_Reading || m_WaitSent <= CloseWait)
    return;
  m_Timer = Timer();
  watch();
}

void PrefixMirror::later(Duration Delay, void (PrefixMirror::*Step)()) {
  m_Timer = m_Loop.after(Delay, [this, Step] { (this->*Step)(); });
}

void PrefixMirror::readOnce(ReadKind Kind) {
  if (!m_Running && !m_Reading)
    read(Kind);
}

void PrefixMirror::read() {
  read(m_At == 0 ? m_Opts.m_FirstRead : ReadKind::Current);
}

void PrefixMirror::tellReadEnd(const ReadEnd &End) const {
  if (m_Hooks.m_ReadEnded)
    m_Hooks.m_ReadEnded(End);
}

void PrefixMirror::read(ReadKind Kind) {
  m_Reading = true;
  m_ReadAgain = false;
  m_ReadKind = Kind;
  const std::uint64_t Round = ++m_Round;
  m_SentAt = EventLoop::now();
  m_Store.range(
      m_Opts.m_Prefix, Kind,
      [this, Round, Alive = std::weak_ptr<bool>(m_Alive)](StoreItems Read) {
        if (!Alive.expired() && Round == m_Round)
          onRead(std::move(Read));
      });
}

void PrefixMirror::onReadFailed(ReadEnd End) {
  if (m_Running) {
    End.m_NextTry = std::exchange(m_ReadAgain, false) ? 0us : m_Backoff.next();
    later(End.m_NextTry, &PrefixMirror::read);
  }
  tellReadEnd(End);
}

void PrefixMirror::onRead(StoreItems Read) {
  m_Reading = false;
  ReadEnd End{.m_Kind = m_ReadKind,
              .m_Status = Read.m_Status,
              .m_Took = EventLoop::now() - m_SentAt};
  if (Read.m_Status != StoreStatus::Ok)
    return onReadFailed(End);
  End.m_At = Read.m_At;
  for (const StoreItem &Each : Read.m_Items)
    End.m_Bytes += Each.m_Value.size();
  tellReadEnd(End);
  m_Backoff.reset();
  m_ConfirmedAt = m_SentAt;
  // An answer that was under way for long must not undo newer changes.
  if (Read.m_At >= m_At && takeOver(std::move(Read)))
    m_Hooks.m_Changed();
  if (m_Running)
    watch();
}

/// \returns whether that is news: not when what was read is what is known.
bool PrefixMirror::takeOver(StoreItems Read) {
  std::map<std::string, StoreItem> Items;
  for (StoreItem &Each : Read.m_Items)
    Items.emplace(Each.m_Key, std::move(Each));
  m_WatchedTo = std::max(m_WatchedTo, Read.m_At);
  // The revision rises also when nothing has changed: two boxes that read at
  // different times would each take the other for behind, and both go on
  // reading.
  const bool First = std::exchange(m_At, Read.m_At) == 0;
  m_Part = false;
  if (!First && Items == m_Items)
    return false;
  m_Items = std::move(Items);
  m_Source = CopySource::Read;
  return true;
}

/// News say that the copy was the store's state when their watch was sent. What
/// has to be known as of lately is then asked for sooner.
Duration PrefixMirror::nextWait(TimePoint Now) const {
  constexpr Duration LeastWait = 100ms;
  if (!m_Closely && m_Opts.m_Wait > CloseWait)
    return m_Opts.m_Wait;
  // A longer pause after news is taken off the wait: the copy would be older
  // than others bear before they read themselves.
  const Duration Longest =
      CloseWait - std::max<Duration>(0us, m_Opts.m_Gather - UsualGather);
  return std::clamp<Duration>(Longest - (Now - m_ConfirmedAt), LeastWait,
                              std::max(LeastWait, Longest));
}

void PrefixMirror::watch() {
  const std::uint64_t Round = ++m_Round;
  m_SentAt = EventLoop::now();
  m_WaitSent = nextWait(m_SentAt);
  m_Watching =
      m_Store.watch(m_Opts.m_Prefix, std::max(m_At, m_WatchedTo), m_WaitSent,
                    [this, Round, Alive = std::weak_ptr<bool>(m_Alive)](
                        const StoreChanges &News) {
                      if (!Alive.expired() && Round == m_Round)
                        onChanges(News);
                    });
}

bool PrefixMirror::adopt(const Delta &News) {
  const bool OfOtherKind = News.m_Part != m_Part;
  const bool Replaces =
      News.m_Since == 0 && OfOtherKind && News.m_Revision >= m_At;
  if (News.m_Revision <= m_At && !Replaces)
    return true;
  if (News.m_Since > m_At || (News.m_Since > 0 && OfOtherKind))
    return false;
  // Nothing has changed that this copy holds; with a long list this is most of
  // what a leaf hears.
  if (News.m_Since > 0 && News.m_Items.empty() && News.m_Gone.empty()) {
    m_At = News.m_Revision;
    return true;
  }
  if (News.m_Since == 0)
    m_Items.clear();
  m_Part = News.m_Part;
  for (const StoreItem &Item : News.m_Items)
    m_Items[Item.m_Key] = Item;
  for (const std::string &Key : News.m_Gone)
    m_Items.erase(Key);
  m_At = News.m_Revision;
  m_Source = CopySource::Peer;
  m_Hooks.m_Changed();
  return true;
}

PrefixMirror::Delta PrefixMirror::whole() const {
  Delta Result{.m_Since = 0,
               .m_Revision = m_At,
               .m_Part = m_Part,
               .m_Items = {},
               .m_Gone = {}};
  for (const auto &[Key, Item] : m_Items)
    Result.m_Items.push_back(Item);
  return Result;
}

PrefixMirror::Delta PrefixMirror::takeChanges() {
  Delta Result{.m_Since = m_TakenAt,
               .m_Revision = m_At,
               .m_Part = m_Part,
               .m_Items = {},
               .m_Gone = {}};
  std::map<std::string, StoreRevision> Taken;
  for (const auto &[Key, Item] : m_Items) {
    const auto Before = m_Taken.find(Key);
    if (Before == m_Taken.end() || Before->second != Item.m_Revision)
      Result.m_Items.push_back(Item);
    Taken[Key] = Item.m_Revision;
  }
  for (const auto &[Key, Revision] : m_Taken)
    if (!Taken.contains(Key))
      Result.m_Gone.push_back(Key);
  m_Taken = std::move(Taken);
  m_TakenAt = m_At;
  return Result;
}

/// A watch that waited longer than such a gap lasts would have been cut by it.
void PrefixMirror::noteQuiet(StoreRevision To, TimePoint Now) {
  if (m_WaitSent >= Settle) {
    m_WatchedTo = std::max(m_WatchedTo, To);
    return;
  }
  if (Now - m_QuietAt < Settle)
    return;
  m_WatchedTo = std::max(m_WatchedTo, m_QuietTo);
  m_QuietTo = To;
  m_QuietAt = Now;
}

void PrefixMirror::onChanges(const StoreChanges &News) {
  if (News.m_Status == StoreStatus::HistoryGone)
    return read();
  if (News.m_Status != StoreStatus::Ok)
    return later(m_Backoff.next(), &PrefixMirror::read);
  m_Backoff.reset();
  const TimePoint Waited = m_SentAt + m_WaitSent;
  const bool WaitedOut = News.m_Changes.empty() && EventLoop::now() >= Waited;
  m_ConfirmedAt = WaitedOut ? Waited : m_SentAt;
  if (News.m_Changes.empty())
    noteQuiet(News.m_At, EventLoop::now());
  for (const StoreChange &Change : News.m_Changes) {
    // Adopted in the meantime.
    if (Change.m_Revision <= m_At)
      continue;
    if (Change.m_Value)
      m_Items[Change.m_Key] = {.m_Key = Change.m_Key,
                               .m_Value = *Change.m_Value,
                               .m_Revision = Change.m_Revision};
    else
      m_Items.erase(Change.m_Key);
  }
  if (News.m_Changes.empty())
    return watch();
  m_At = std::max(m_At, News.m_At);
  m_Source = CopySource::Watch;
  m_Hooks.m_Changed();
  if (m_Opts.m_Gather > 0us)
    return later(m_Opts.m_Gather, &PrefixMirror::watch);
  watch();
}

} // namespace havenstair
