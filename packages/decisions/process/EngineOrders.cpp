#include "decisions/process/EngineOrders.h"

#include <algorithm>

namespace havenstair {

namespace {

void append(EngineActions &To, EngineActions From) {
  To.insert(To.end(), std::make_move_iterator(From.begin()),
            std::make_move_iterator(From.end()));
}

} // namespace

EngineOrders::EngineOrders(Options Opts)
    : m_Opts(std::move(Opts)), m_Ledger(m_Opts.m_Capacity, m_Opts.m_KvReserve) {
}

EngineActions EngineOrders::takeOver(FencingToken Token, TimePoint Now) {
  resign();
  m_Token = Token;
  m_LastAsk = Now;
  if (m_Opts.m_ChecksTokens)
    return {RaiseToken{{.m_Assignment = Token, .m_Sequence = 0}}};
  return {ReadJournal{}};
}

void EngineOrders::resign() {
  m_Token = 0;
  m_Sequence = 0;
  m_Ready = false;
  m_JournalKnown = false;
  m_JournalFenced = false;
  m_JournalWriteInFlight = false;
  m_JournalDirty = false;
  m_Pending.clear();
  m_Serving.clear();
  m_LastReport.reset();
  m_Ledger = MemoryLedger(m_Opts.m_Capacity, m_Opts.m_KvReserve);
}

EngineOrder EngineOrders::makeOrder(OrderVerb Verb,
                                    const ArtifactName &Artifact,
                                    MemoryMiB Size) {
  ++m_Sequence;
  const OrderToken Token{.m_Assignment = m_Token, .m_Sequence = m_Sequence};
  OrderId Id(m_Opts.m_Self.str() + "-" + std::to_string(m_Token) + "-" +
             std::to_string(m_Sequence));
  return EngineOrder{.m_Id = std::move(Id),
                     .m_Verb = Verb,
                     .m_Artifact = Artifact,
                     .m_Size = Size,
                     .m_Token = Token,
                     .m_Writer = m_Opts.m_Self};
}

bool EngineOrders::hasPending(const ArtifactName &Artifact) const {
  return std::any_of(m_Pending.begin(), m_Pending.end(), [&](const auto &Item) {
    return Item.second.m_Order.m_Artifact == Artifact;
  });
}

EngineActions EngineOrders::load(const ArtifactName &Artifact, MemoryMiB Size,
                                 TimePoint Now) {
  if (!m_Ready || hasPending(Artifact))
    return {};
  if (m_Opts.m_CountUnsettled) {
    if (!m_Ledger.tryReserve(Artifact, Size))
      return {};
  } else if (Size > m_Ledger.available()) {
    return {};
  }
  return place(makeOrder(OrderVerb::Load, Artifact, Size), Now);
}

EngineActions EngineOrders::unload(const ArtifactName &Artifact,
                                   TimePoint Now) {
  if (!m_Ready || hasPending(Artifact))
    return {};
  const LedgerEntry *Entry = m_Ledger.find(Artifact);
  if (Entry == nullptr)
    return {};
  const MemoryMiB Size = Entry->m_Size;
  if (!m_Ledger.beginUnload(Artifact))
    return {};
  m_Serving.erase(Artifact);
  return place(makeOrder(OrderVerb::Unload, Artifact, Size), Now);
}

EngineActions EngineOrders::setKvReserve(MemoryMiB Reserve, TimePoint Now) {
  if (!m_Ready || hasPending(ArtifactName()))
    return {};
  // Until the engine reports the change, the larger of the two reserves counts.
  const MemoryMiB Larger = std::max(Reserve, m_Ledger.kvReserve());
  if (Reserve < 0 || !m_Ledger.trySetKvReserve(Larger))
    return {};
  return place(makeOrder(OrderVerb::SetKvReserve, ArtifactName(), Reserve),
               Now);
}

EngineActions EngineOrders::place(EngineOrder Order, TimePoint Now) {
  const OrderId Id = Order.m_Id;
  m_LastAsk = Now;
  PendingOrder Pending{.m_Order = std::move(Order),
                       .m_Stage = Stage::Journaling,
                       .m_EndedAt = std::nullopt};
  if (m_Opts.m_ChecksTokens) {
    Pending.m_Stage = Stage::Sending;
    EngineActions Actions{SendOrder{Pending.m_Order}};
    m_Pending.emplace(Id, std::move(Pending));
    return Actions;
  }
  m_Pending.emplace(Id, std::move(Pending));
  return requestJournalWrite();
}

OrderJournal EngineOrders::currentJournal() const {
  OrderJournal Journal{.m_Token = m_Token, .m_Unsettled = {}};
  for (const auto &[Id, Pending] : m_Pending)
    Journal.m_Unsettled.push_back(Pending.m_Order);
  return Journal;
}

EngineActions EngineOrders::requestJournalWrite() {
  if (m_JournalWriteInFlight) {
    m_JournalDirty = true;
    return {};
  }
  m_JournalWriteInFlight = true;
  m_JournalDirty = false;
  return {WriteJournal{currentJournal()}};
}

EngineActions EngineOrders::journalRead(const OrderJournal &Journal,
                                        TimePoint Now) {
  if (!owned() || m_Opts.m_ChecksTokens || m_JournalFenced)
    return {};
  if (fencedOutBy(Journal))
    return {};
  for (const EngineOrder &Order : Journal.m_Unsettled)
    m_Pending.emplace(Order.m_Id, PendingOrder{.m_Order = Order,
                                               .m_Stage = Stage::Sending,
                                               .m_EndedAt = std::nullopt});
  m_JournalKnown = true;
  m_LastAsk = Now;
  return requestJournalWrite();
}

EngineActions EngineOrders::journalWritten(TimePoint Now) {
  if (!owned() || !m_JournalWriteInFlight)
    return {};
  m_JournalWriteInFlight = false;
  m_JournalFenced = true;
  EngineActions Actions;
  if (!m_Ready) {
    m_LastAsk = Now;
    Actions.push_back(ReadReport{});
  }
  if (m_JournalDirty) {
    // Orders placed during the write are not in the journal yet; they wait.
    append(Actions, requestJournalWrite());
    return Actions;
  }
  append(Actions, sendJournaled());
  return Actions;
}

EngineActions EngineOrders::sendJournaled() {
  EngineActions Actions;
  for (auto &[Id, Pending] : m_Pending) {
    if (Pending.m_Stage != Stage::Journaling)
      continue;
    Pending.m_Stage = Stage::Sending;
    Actions.push_back(SendOrder{Pending.m_Order});
  }
  return Actions;
}

EngineActions EngineOrders::journalFailed(TimePoint) {
  // Whether the write took effect is not known; an order that is not confirmed
  // in the journal is never sent. tick() tries again.
  m_JournalWriteInFlight = false;
  m_JournalDirty = true;
  return {};
}

EngineActions EngineOrders::attemptEnded(const OrderId &Id, TimePoint Now) {
  const auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end() || Found->second.m_Stage != Stage::Sending)
    return {};
  Found->second.m_Stage = Stage::Ended;
  Found->second.m_EndedAt = Now;
  m_LastAsk = Now;
  return {ReadReport{}};
}

bool EngineOrders::settles(const PendingOrder &Pending,
                           const EngineReport &Report, TimePoint AsOf) const {
  if (m_Opts.m_ChecksTokens)
    return Report.m_HighestToken >= Pending.m_Order.m_Token;
  // Without tokens, only time rules out that the order still arrives.
  return Pending.m_EndedAt && AsOf > *Pending.m_EndedAt + m_Opts.m_OrderLife;
}

EngineActions EngineOrders::reported(const EngineReport &Report, TimePoint AsOf,
                                     TimePoint Now) {
  if (!owned())
    return {};
  const OrderToken Mine{.m_Assignment = m_Token, .m_Sequence = 0};
  if (m_Opts.m_ChecksTokens && Report.m_HighestToken < Mine)
    return {RaiseToken{Mine}};
  if (!m_Opts.m_ChecksTokens && !m_JournalFenced)
    return {};
  // Reports may overtake each other; an older one adds nothing.
  if (m_LastReport && AsOf < *m_LastReport)
    return {};
  m_LastReport = AsOf;
  m_LastAsk = Now;
  const std::size_t Before = m_Pending.size();
  std::erase_if(m_Pending, [&](const auto &Item) {
    return settles(Item.second, Report, AsOf);
  });
  adopt(Report);
  m_Ready = true;
  if (m_Opts.m_ChecksTokens || m_Pending.size() == Before)
    return {};
  return requestJournalWrite();
}

MemoryMiB EngineOrders::reserveToCount(MemoryMiB Reported) const {
  MemoryMiB Largest = Reported;
  for (const auto &[Id, Pending] : m_Pending)
    if (Pending.m_Order.m_Verb == OrderVerb::SetKvReserve)
      Largest = std::max(Largest, Pending.m_Order.m_Size);
  return Largest;
}

/// Rebuilds the ledger from what the engine holds and what pending orders may
/// still add. Pending unloads free no memory until a report shows them.
void EngineOrders::adopt(const EngineReport &Report) {
  m_Ledger =
      MemoryLedger(m_Opts.m_Capacity, reserveToCount(Report.m_KvReserve));
  m_Serving.clear();
  for (const ReportedArtifact &Item : Report.m_Artifacts) {
    if (!Item.m_Ready) {
      m_Ledger.forceReserve(Item.m_Artifact, Item.m_Size);
      continue;
    }
    m_Ledger.confirmResident(Item.m_Artifact, Item.m_Size);
    if (!hasPending(Item.m_Artifact))
      m_Serving.insert(Item.m_Artifact);
  }
  recountHeldOrders();
}

void EngineOrders::recountHeldOrders() {
  if (!m_Opts.m_CountUnsettled)
    return;
  for (const auto &[Id, Pending] : m_Pending) {
    const EngineOrder &Order = Pending.m_Order;
    if (Order.m_Verb == OrderVerb::Load)
      m_Ledger.forceReserve(Order.m_Artifact, Order.m_Size);
    else if (Order.m_Verb == OrderVerb::Unload)
      m_Ledger.beginUnload(Order.m_Artifact);
  }
}

EngineActions EngineOrders::writerMovedOn(const BoxName &Writer,
                                          TimePoint Now) {
  bool Any = false;
  for (auto &[Id, Pending] : m_Pending) {
    const bool Held = Pending.m_Order.m_Writer == Writer &&
                      Pending.m_Order.m_Token.m_Assignment < m_Token;
    if (!Held || Pending.m_EndedAt)
      continue;
    Pending.m_Stage = Stage::Ended;
    Pending.m_EndedAt = Now;
    Any = true;
  }
  if (!Any)
    return {};
  m_LastAsk = Now;
  return {ReadReport{}};
}

/// Whether nothing is under way, so the report is not expected to change.
bool EngineOrders::quiet() const {
  if (!m_Ready || !m_Pending.empty() || m_JournalDirty)
    return false;
  const std::vector<LedgerEntry> Entries = m_Ledger.entries();
  return std::none_of(Entries.begin(), Entries.end(), [](const auto &Entry) {
    return Entry.m_Residency == Residency::Loading;
  });
}

EngineActions EngineOrders::tick(TimePoint Now) {
  if (!owned())
    return {};
  const Duration Interval =
      quiet() ? m_Opts.m_QuietInterval : m_Opts.m_ReportInterval;
  if (m_LastAsk && Now < *m_LastAsk + Interval)
    return {};
  m_LastAsk = Now;
  if (!m_Opts.m_ChecksTokens && !m_JournalKnown)
    return {ReadJournal{}};
  EngineActions Actions;
  if (m_Opts.m_ChecksTokens && !m_Ready)
    Actions.push_back(RaiseToken{{.m_Assignment = m_Token, .m_Sequence = 0}});
  if (!m_Opts.m_ChecksTokens && m_JournalDirty && !m_JournalWriteInFlight)
    append(Actions, requestJournalWrite());
  for (auto &[Id, Pending] : m_Pending) {
    // The token makes a second copy harmless, so a lost order is sent again.
    if (!m_Opts.m_ChecksTokens || Pending.m_Stage != Stage::Ended)
      continue;
    Pending.m_Stage = Stage::Sending;
    Actions.push_back(SendOrder{Pending.m_Order});
  }
  Actions.push_back(ReadReport{});
  return Actions;
}

std::vector<EngineOrder> EngineOrders::unsettled() const {
  std::vector<EngineOrder> Orders;
  for (const auto &[Id, Pending] : m_Pending)
    Orders.push_back(Pending.m_Order);
  return Orders;
}

std::set<BoxName> EngineOrders::formerWriters() const {
  std::set<BoxName> Writers;
  for (const auto &[Id, Pending] : m_Pending)
    if (Pending.m_Order.m_Token.m_Assignment < m_Token && !Pending.m_EndedAt)
      Writers.insert(Pending.m_Order.m_Writer);
  return Writers;
}

} // namespace havenstair
