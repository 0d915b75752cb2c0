#include "gateway/process/PrefixMirror.h"

#include <utility>

namespace havenstair {

PrefixMirror::PrefixMirror(EventLoop &Loop, CoordinationStore &Store,
                           Options Opts, Hooks Callbacks)
    : m_Loop(Loop), m_Store(Store), m_Opts(std::move(Opts)),
      m_Hooks(std::move(Callbacks)), m_Backoff(m_Opts.m_Retry) {}

PrefixMirror::~PrefixMirror() = default;

void PrefixMirror::start() {
  if (std::exchange(m_Running, true))
    return;
  resync();
}

void PrefixMirror::stop() {
  m_Running = false;
  ++m_Round;
  m_Watching.reset();
  m_Timer = Timer();
}

void PrefixMirror::resync() {
  if (!m_Running)
    return;
  ++m_Round;
  m_Watching.reset();
  m_Timer = Timer();
  read();
}

void PrefixMirror::later(Duration Delay, void (PrefixMirror::*Step)()) {
  m_Timer = m_Loop.after(Delay, [this, Step] { (this->*Step)(); });
}

void PrefixMirror::read() {
  const std::uint64_t Round = ++m_Round;
  m_Store.range(
      m_Opts.m_Prefix,
      [this, Round, Alive = std::weak_ptr<bool>(m_Alive)](StoreItems Read) {
        if (!Alive.expired() && Round == m_Round)
          onRead(std::move(Read));
      });
}

void PrefixMirror::onRead(StoreItems Read) {
  if (Read.m_Status != StoreStatus::Ok)
    return later(m_Backoff.next(), &PrefixMirror::read);
  m_Backoff.reset();
  // An answer that was under way for long must not undo newer changes.
  if (Read.m_At >= m_At) {
    m_Items.clear();
    for (StoreItem &Each : Read.m_Items)
      m_Items.emplace(Each.m_Key, Each);
    m_At = Read.m_At;
  }
  m_Hooks.m_Reached();
  m_Hooks.m_Changed();
  watch();
}

void PrefixMirror::watch() {
  const std::uint64_t Round = ++m_Round;
  m_Watching =
      m_Store.watch(m_Opts.m_Prefix, m_At, m_Opts.m_Wait,
                    [this, Round, Alive = std::weak_ptr<bool>(m_Alive)](
                        const StoreChanges &News) {
                      if (!Alive.expired() && Round == m_Round)
                        onChanges(News);
                    });
}

void PrefixMirror::adopt(std::map<std::string, StoreItem> Items,
                         StoreRevision Revision) {
  if (Revision <= m_At)
    return;
  m_Items = std::move(Items);
  m_At = Revision;
  m_Hooks.m_Changed();
}

void PrefixMirror::onChanges(const StoreChanges &News) {
  if (News.m_Status == StoreStatus::HistoryGone)
    return read();
  if (News.m_Status != StoreStatus::Ok)
    return later(m_Backoff.next(), &PrefixMirror::read);
  m_Backoff.reset();
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
  m_At = std::max(m_At, News.m_At);
  m_Hooks.m_Reached();
  if (News.m_Changes.empty())
    return watch();
  m_Hooks.m_Changed();
  if (m_Opts.m_Gather > 0us)
    return later(m_Opts.m_Gather, &PrefixMirror::watch);
  watch();
}

} // namespace havenstair
