#include "gateway/process/StreamOriginStore.h"

#include "decisions/process/VersionHistory.h"
#include "gateway/common/DecisionLog.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// Shortest time between two writes of a box. A stream that begins within it
/// before its box is lost is unknown.
constexpr Duration MinInterval = 100ms;

/// Added for each box that writes, so that all of them together keep to a tenth
/// of the writes that the store takes.
constexpr Duration IntervalPerWriter = 25ms;

/// Streams after which a batch is full: it is written anew with each that is
/// added.
constexpr std::size_t FullBatch = 16;

/// Most streams in one key.
constexpr std::size_t MaxBatch = 512;

/// Most batches that one write removes.
constexpr std::size_t MaxRemovals = 8;

/// Most streams of a service that are kept until they are needed; the oldest
/// are dropped first.
constexpr std::size_t MaxWaiting = 20'000;

/// A key outlives the last stream in it by half of this.
constexpr Duration LeaseLife = 2 * VersionHistory::Memory;
constexpr Duration LeaseUse = VersionHistory::Memory / 2;

/// Shortest time between two reads, which bring all batches.
constexpr Duration ReadInterval = 300ms;

/// What was read for one stream serves those that are looked for soon after,
/// and are in it.
constexpr Duration ReadAge = 300ms;

/// \returns the process that writes \p Key, which is behind \p Prefix.
std::string writerOf(const std::string &Key, const std::string &Prefix) {
  const std::string Rest = Key.substr(Prefix.size());
  return Rest.substr(0, Rest.rfind('/'));
}

} // namespace

StreamOriginStore::StreamOriginStore(EventLoop &Loop, CoordinationStore &Store,
                                     DecisionLog &Log, Options Opts,
                                     Hooks Callbacks)
    : m_Loop(Loop), m_Store(Store), m_Log(Log), m_Opts(std::move(Opts)),
      m_Hooks(std::move(Callbacks)) {}

void StreamOriginStore::observeEra(StoreEra Era) {
  if (std::exchange(m_Era, Era) != Era)
    forgetLease();
}

void StreamOriginStore::forgetLease() {
  m_Lease = 0;
  m_AnnouncedUntil = {};
}

Duration StreamOriginStore::interval() const {
  return std::max(MinInterval,
                  static_cast<int>(m_Hooks.m_Writers()) * IntervalPerWriter);
}

void StreamOriginStore::record(const BegunStream &Stream, TimePoint Now) {
  const std::string &Service = Stream.m_Origin.m_Service;
  std::deque<Waiting> &Queue = m_Waiting[Service];
  while (!Queue.empty() &&
         (Queue.front().m_Until < Now || Queue.size() >= MaxWaiting))
    Queue.pop_front();
  Queue.push_back({.m_Stream = Stream, .m_Until = Now + Stream.m_Left});
  if (m_Hooks.m_Needed(Service, Now))
    flushLater(Now);
}

bool StreamOriginStore::anyNeeded(TimePoint Now) const {
  return std::any_of(m_Waiting.begin(), m_Waiting.end(), [&](const auto &Each) {
    return !Each.second.empty() && m_Hooks.m_Needed(Each.first, Now);
  });
}

/// Whether the store does not yet, or will soon no longer, name this process.
bool StreamOriginStore::mustAnnounce(TimePoint Now) const {
  return m_Hooks.m_AnyNeeded(Now) &&
         (!announced(Now) || Now - m_LeaseAt > LeaseUse);
}

void StreamOriginStore::refresh(TimePoint Now) {
  if (anyNeeded(Now) || mustAnnounce(Now))
    flushLater(Now);
}

void StreamOriginStore::flushLater(TimePoint Now) {
  if (m_FlushDue || m_InFlight)
    return;
  m_FlushDue = true;
  const TimePoint At = std::max(Now, m_FlushedAt + interval());
  m_FlushTimer = m_Loop.after(At - Now, [this] { flush(); });
}

void StreamOriginStore::flush() {
  m_FlushDue = false;
  const TimePoint Now = EventLoop::now();
  takeNeeded(Now);
  if (!m_Unwritten && !mustAnnounce(Now))
    return;
  m_InFlight = true;
  m_FlushedAt = Now;
  if (m_Lease == 0 || Now - m_LeaseAt > LeaseUse)
    renewLease(Now);
  else
    put();
}

/// Moves streams whose callers may still take them up into the batch.
void StreamOriginStore::takeNeeded(TimePoint Now) {
  if (m_Batch.m_Streams.size() >= FullBatch && !m_Unwritten) {
    nextBatch();
    m_Batch.m_Streams.clear();
    m_BatchUntil = {};
  }
  for (auto &[Service, Queue] : m_Waiting) {
    if (!m_Hooks.m_Needed(Service, Now))
      continue;
    for (; !Queue.empty() && m_Batch.m_Streams.size() < MaxBatch;
         Queue.pop_front()) {
      if (Queue.front().m_Until < Now)
        continue;
      m_BatchUntil = std::max(m_BatchUntil, Queue.front().m_Until);
      m_Batch.m_Streams.push_back(std::move(Queue.front().m_Stream));
      m_Unwritten = true;
    }
  }
  std::erase_if(m_Waiting,
                [](const auto &Each) { return Each.second.empty(); });
}

/// Writes the streams of the batch under another key from now on.
void StreamOriginStore::nextBatch() {
  m_Finished.push_back({.m_Number = m_BatchNumber, .m_Until = m_BatchUntil});
  ++m_BatchNumber;
}

std::string StreamOriginStore::keyOf(std::uint64_t Batch) const {
  return m_Opts.m_Prefix + m_Opts.m_Process + "/" + std::to_string(Batch);
}

void StreamOriginStore::renewLease(TimePoint Now) {
  m_Store.grantLease(LeaseLife,
                     [this, Now, Weak = std::weak_ptr(m_Alive)](
                         StoreStatus Status, LeaseId Lease, Duration) {
                       if (Weak.expired())
                         return;
                       if (Status != StoreStatus::Ok)
                         return endCall();
                       m_Lease = Lease;
                       m_LeaseAt = Now;
                       put();
                     });
}

/// Writes the batch, and removes some of those whose streams are over.
void StreamOriginStore::put() {
  StoreTransaction Transaction;
  Transaction.m_Puts.push_back({.m_Key = keyOf(m_BatchNumber),
                                .m_Value = dumpJson(toJson(m_Batch)),
                                .m_Lease = m_Lease});
  const TimePoint Now = EventLoop::now();
  for (const Finished &Each : m_Finished) {
    if (Each.m_Until >= Now || Transaction.m_Removals.size() >= MaxRemovals)
      break;
    Transaction.m_Removals.push_back(keyOf(Each.m_Number));
  }
  m_Store.transact(Transaction,
                   [this, Streams = m_Batch.m_Streams.size(),
                    Removed = Transaction.m_Removals.size(),
                    Weak = std::weak_ptr(m_Alive)](StoreStatus Status,
                                                   const StoreRevision &At) {
                     if (!Weak.expired())
                       onPut(Streams, Removed, Status, At.m_Era);
                   });
}

void StreamOriginStore::onPut(std::size_t Streams, std::size_t Removed,
                              StoreStatus Status, StoreEra Era) {
  m_Log.write("streams_stored", {{"batch", m_BatchNumber},
                                 {"streams", Streams},
                                 {"outcome", toString(Status)}});
  if (Status == StoreStatus::Ok) {
    m_Unwritten = false;
    m_Finished.erase(m_Finished.begin(),
                     m_Finished.begin() + static_cast<std::ptrdiff_t>(Removed));
    if (Era >= m_Era)
      m_AnnouncedUntil = m_LeaseAt + LeaseLife - VersionHistory::Memory;
  }
  // The store may still carry it out, after a later write of the same key.
  if (Status == StoreStatus::Lost)
    nextBatch();
  // The lease has ended, as when the store has come back from a copy.
  if (Status == StoreStatus::NotFound)
    forgetLease();
  endCall();
}

void StreamOriginStore::endCall() {
  m_InFlight = false;
  const TimePoint Now = EventLoop::now();
  if (m_Unwritten || anyNeeded(Now) || mustAnnounce(Now))
    flushLater(Now);
}

void StreamOriginStore::find(const std::string &Attempt, Done Callback) {
  const TimePoint Now = EventLoop::now();
  if (m_HasRead && Now - m_ReadAt < ReadAge) {
    const Found Known = foundNow(Attempt, Now);
    if (Known.m_Stream != StreamOrigins::Knowledge())
      return Callback(Known);
  }
  m_Readers.push_back(
      {.m_Attempt = Attempt, .m_Since = Now, .m_Done = std::move(Callback)});
  readLater();
}

void StreamOriginStore::readLater() {
  if (m_Reading || m_ReadDue)
    return;
  const TimePoint Now = EventLoop::now();
  const Duration Wait = m_ReadBegan + ReadInterval - Now;
  if (Wait <= 0us)
    return read();
  m_ReadDue = true;
  m_ReadTimer = m_Loop.after(Wait, [this] {
    m_ReadDue = false;
    read();
  });
}

void StreamOriginStore::read() {
  m_Reading = true;
  m_ReadBegan = EventLoop::now();
  m_Store.range(
      m_Opts.m_Prefix, ReadKind::Current,
      [this, Weak = std::weak_ptr(m_Alive)](const StoreItems &Result) {
        if (!Weak.expired())
          onRead(Result);
      });
}

void StreamOriginStore::onRead(const StoreItems &Result) {
  m_Reading = false;
  const TimePoint Now = EventLoop::now();
  take(Result, Now);
  m_Log.write("streams_read", {{"outcome", toString(Result.m_Status)},
                               {"batches", Result.m_Items.size()},
                               {"streams", m_Read.size()},
                               {"for", m_Readers.size()}});
  std::vector<Reader> Waiting;
  std::vector<Reader> Answered;
  for (Reader &Each : std::exchange(m_Readers, {}))
    (answers(Each) ? Answered : Waiting).push_back(std::move(Each));
  m_Readers = std::move(Waiting);
  if (!m_Readers.empty())
    readLater();
  for (const Reader &Each : Answered)
    Each.m_Done(foundNow(Each.m_Attempt, Now));
}

void StreamOriginStore::take(const StoreItems &Result, TimePoint Now) {
  m_Read = StreamOrigins();
  m_Writers.clear();
  m_HasRead = Result.m_Status == StoreStatus::Ok;
  m_ReadAt = Now;
  for (const StoreItem &Item : Result.m_Items) {
    m_Writers.insert(writerOf(Item.m_Key, m_Opts.m_Prefix));
    try {
      StreamsBegunFrame Batch;
      fromJson(parseJson(Item.m_Value), Batch);
      for (const BegunStream &Each : Batch.m_Streams)
        m_Read.record(Each.m_Attempt, Each.m_Origin, VersionHistory::Memory,
                      Now);
    } catch (const DecodeError &Error) {
      m_Log.write("bad_stored_streams",
                  {{"key", Item.m_Key}, {"why", Error.what()}});
    }
  }
}

/// Whether the read that has just ended is the last one for \p Each.
bool StreamOriginStore::answers(Reader &Each) const {
  if (!m_HasRead)
    return std::exchange(Each.m_Again, true);
  return m_ReadBegan >= Each.m_Since ||
         m_Read.find(Each.m_Attempt, m_ReadAt) != StreamOrigins::Knowledge();
}

/// \returns what the last read brought about the stream of \p Attempt.
StreamOriginStore::Found StreamOriginStore::foundNow(const std::string &Attempt,
                                                     TimePoint Now) const {
  return {.m_Stream = m_Read.find(Attempt, Now),
          .m_Read = m_HasRead,
          .m_Writers = m_Writers};
}

} // namespace havenstair
