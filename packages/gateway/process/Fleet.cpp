#include "gateway/process/Fleet.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/common/ProcessName.h"
#include "wire/common/Json.h"
#include <algorithm>
#include <limits>

namespace havenstair {

namespace {

constexpr Duration TickEvery = 100ms;
/// Backoff for the entry while the store does not answer. Hundreds of boxes
/// that try five times a second would pay more for an outage of 8 s than for
/// the rest of the day.
constexpr RetryPauses Retry{.m_First = 200ms, .m_Cap = 500ms};
constexpr RetryPauses LargeRetry{.m_First = 500ms, .m_Cap = 2s};

/// Added to two renewal intervals before the store counts as unreachable.
constexpr Duration StoreSilence = 500ms;

/// A link counts as slow when more than this is queued: a relay's link carries
/// it in some milliseconds, a leaf's in a tenth of a second.
constexpr std::size_t SlowFromBytes = std::size_t{256} << 10;

/// Each box makes two writes when the store was restored.
constexpr Duration RestoreSpreadPerBox = 5ms;

constexpr const char *BoxKeys = "box/";

/// In cores; an entry that names more, or none, is of no box.
constexpr double MaxCapacity = 1024;

double capacityOf(const Json &Value) {
  const auto Result = fieldOr<double>(Value, "capacity", 1);
  if (!(Result > 0 && Result <= MaxCapacity))
    throw DecodeError("field capacity is out of range");
  return Result;
}

std::optional<PeerAddress> addressOf(const BoxName &Box, const Json &Value) {
  const auto Address = Endpoint::parse(field<std::string>(Value, "peers"));
  if (!Address)
    return std::nullopt;
  return PeerAddress{.m_Box = Box,
                     .m_DataCentre =
                         DataCentreName(field<std::string>(Value, "zone")),
                     .m_Endpoint = *Address};
}

} // namespace

Fleet::Fleet(EventLoop &Loop, CoordinationStore &Store, DecisionLog &Log,
             Options Opts, Hooks Callbacks)
    : m_Log(Log), m_Opts(std::move(Opts)), m_Hooks(std::move(Callbacks)),
      m_Entry(Store,
              {.m_TimeToLive = m_Opts.m_Lease,
               .m_RenewEvery = m_Opts.m_RenewEvery,
               .m_Retry = {.m_First = Retry.m_First,
                           .m_Cap = Retry.m_Cap,
                           .m_Random = m_Opts.m_Random}},
              {.m_Claim = [this](LeaseId Lease) { return entry(Lease); },
               .m_Claimed = [](StoreRevision) {},
               .m_Lost = [] {},
               .m_Answered = [this](bool Reached) { storeAnswered(Reached); }}),
      m_Mesh(Loop, meshOptions(), meshHooks()),
      m_Topology({.m_Box = m_Opts.m_Box,
                  .m_DataCentre = m_Opts.m_DataCentre,
                  .m_Capacity = m_Opts.m_Capacity}) {
  m_Mesh.learnSeeds(m_Opts.m_Seeds);
  m_TickTimer = Loop.every(TickEvery, [this] { tick(); });
}

/// Links that end with this object must not call hooks any more.
Fleet::~Fleet() {
  m_Hooks = {.m_Frame = [](const BoxName &, const PeerFrame &) {},
             .m_Up = [](const BoxName &) {},
             .m_Down = [](const BoxName &) {},
             .m_StoreBack = [] {},
             .m_Listening = nullptr};
}

PeerMesh::Options Fleet::meshOptions() const {
  return {.m_Listen = m_Opts.m_Peers,
          .m_Link = {.m_Self = m_Opts.m_Box,
                     .m_DataCentre = m_Opts.m_DataCentre,
                     .m_Secret = m_Opts.m_Secret},
          .m_Random = m_Opts.m_Random};
}

PeerMesh::Hooks Fleet::meshHooks() {
  return {.m_Up =
              [this](const BoxName &Box, const DataCentreName &) {
                m_Linked.insert(Box);
                m_Log.write("peer_up", {{"peer", Box.str()},
                                        {"protocol", m_Mesh.protocolOf(Box)}});
                m_Hooks.m_Up(Box);
              },
          .m_Frame =
              [this](const BoxName &Box, PeerFrame Frame) {
                m_Hooks.m_Frame(Box, std::move(Frame));
              },
          .m_Skipped = [this] { ++m_Skipped; },
          .m_Down =
              [this](const BoxName &Box) {
                m_Linked.erase(Box);
                m_Log.write("peer_down", {{"peer", Box.str()}});
                m_Hooks.m_Down(Box);
              },
          .m_Listening = m_Hooks.m_Listening};
}

std::string Fleet::ownKey() const {
  return m_Opts.m_Prefix + BoxKeys + m_Opts.m_Box.str();
}

/// No box is sent to an address on which this one does not listen yet.
std::optional<StoreTransaction> Fleet::entry(LeaseId Lease) const {
  if (!m_Mesh.listening())
    return std::nullopt;
  Json Value{{"peers", m_Mesh.endpoint().str()},
             {"zone", m_Opts.m_DataCentre.str()},
             {"capacity", m_Opts.m_Capacity},
             {"protocol", OwnProtocol}};
  if (m_Passing)
    Value["passing"] = m_Passing->str();
  return StoreTransaction{.m_Conditions = {},
                          .m_Puts = {{.m_Key = ownKey(),
                                      .m_Value = dumpJson(Value),
                                      .m_Lease = Lease}},
                          .m_Removals = {}};
}

void Fleet::setPassing(const Endpoint &Passing) {
  m_Passing = Passing;
  m_Entry.contentChanged();
}

void Fleet::tick() {
  if (!m_Left)
    m_Entry.tick(EventLoop::now());
}

void Fleet::storeAnswered(bool Reached) {
  if (Reached == m_Reached)
    return;
  m_Reached = Reached;
  m_Log.write(Reached ? "store_back" : "store_lost", {});
  if (Reached)
    m_Hooks.m_StoreBack();
}

/// All boxes write their entries again, within the rate of writes that the
/// store allows all of them together.
Duration Fleet::restoreSpread() const {
  return RestoreSpreadPerBox * static_cast<Duration::rep>(size());
}

void Fleet::onStoreRestored(TimePoint Now) {
  const auto Most = static_cast<double>(restoreSpread().count());
  m_Entry.onStoreRestored(
      Now, Duration(static_cast<Duration::rep>(m_Opts.m_Random() * Most)));
}

Duration Fleet::renewEvery() const {
  return m_Topology.flat() ? m_Opts.m_RenewEvery : m_Opts.m_LargeRenewEvery;
}

bool Fleet::storeReached(TimePoint Now) const {
  return Now - m_ReachedAt <= 2 * renewEvery() + StoreSilence;
}

Fleet::ListedBox Fleet::decode(const BoxName &Box,
                               const StoreItem &Item) const {
  ListedBox Result{.m_Revision = Item.m_Revision, .m_Address = std::nullopt};
  try {
    const Json Value = parseJson(Item.m_Value);
    Result.m_Address = addressOf(Box, Value);
    Result.m_Capacity = capacityOf(Value);
    Result.m_Passing =
        Endpoint::parse(fieldOr<std::string>(Value, "passing", ""));
    Result.m_Protocol = fieldOr<PeerProtocol>(Value, "protocol", FirstProtocol);
  } catch (const DecodeError &Error) {
    Result.m_Address.reset();
    m_Log.write("bad_box", {{"key", Item.m_Key}, {"why", Error.what()}});
  }
  return Result;
}

std::map<BoxName, Fleet::ListedBox>
Fleet::readEntries(const std::map<std::string, StoreItem> &Items) const {
  const std::string Start = m_Opts.m_Prefix + BoxKeys;
  std::map<BoxName, ListedBox> Listed;
  for (const auto &[Key, Item] : Items) {
    const BoxName Box(Key.starts_with(Start) ? Key.substr(Start.size()) : "");
    if (Box.empty() || Box == m_Opts.m_Box)
      continue;
    const auto Before = m_Listed.find(Box);
    const bool Same = Before != m_Listed.end() &&
                      Before->second.m_Revision == Item.m_Revision;
    Listed.emplace(Box, Same ? Before->second : decode(Box, Item));
  }
  std::erase_if(Listed,
                [](const auto &Each) { return !Each.second.m_Address; });
  return Listed;
}

void Fleet::keepMissing(std::map<BoxName, ListedBox> &Listed, TimePoint Now) {
  if (Now >= m_KeptUntil)
    return m_Kept.clear();
  // A box that is listed again may leave for good later.
  std::erase_if(m_Kept,
                [&](const auto &Each) { return Listed.contains(Each.first); });
  Listed.insert(m_Kept.begin(), m_Kept.end());
}

/// The entry of a process that was lost stands until its lease ends. Until then
/// it would be a relay or a voter that nobody reaches.
void Fleet::dropReplaced(std::map<BoxName, ListedBox> &Listed,
                         const std::map<std::string, StoreItem> &Items) const {
  // The entry that this process has yet to write is newer than all.
  constexpr StoreRevision NotWritten{
      .m_Era = std::numeric_limits<StoreEra>::max(),
      .m_Number = std::numeric_limits<std::uint64_t>::max()};
  const auto Own = Items.find(ownKey());
  std::map<std::string, StoreRevision> Newest{
      {machineOf(m_Opts.m_Box),
       Own == Items.end() ? NotWritten : Own->second.m_Revision}};
  for (const auto &[Box, Each] : Listed) {
    StoreRevision &Of = Newest[machineOf(Box)];
    Of = std::max(Of, Each.m_Revision);
  }
  std::erase_if(Listed, [&](const auto &Each) {
    return Each.second.m_Revision < Newest.at(machineOf(Each.first));
  });
}

void Fleet::entriesChanged(const std::map<std::string, StoreItem> &Items,
                           const StoreRevision &At, TimePoint Now) {
  std::map<BoxName, ListedBox> Listed = readEntries(Items);
  if (!m_ListedAt.none() && At.m_Era > m_ListedAt.m_Era) {
    m_Kept = m_Listed;
    m_KeptUntil = Now + restoreSpread() + m_Opts.m_Lease;
  }
  m_ListedAt = At;
  keepMissing(Listed, Now);
  dropReplaced(Listed, Items);
  m_Listed = std::move(Listed);
  std::vector<FleetMember> Members;
  for (const auto &[Box, Each] : m_Listed)
    Members.push_back({.m_Box = Box,
                       .m_DataCentre = Each.m_Address->m_DataCentre,
                       .m_Capacity = Each.m_Capacity});
  m_Topology.setMembers(std::move(Members));
  link();
}

bool Fleet::setLeader(const BoxName &Leader) {
  if (!m_Topology.setLeader(Leader))
    return false;
  link();
  return true;
}

void Fleet::link() {
  std::set<BoxName> Wanted;
  std::vector<PeerAddress> Peers;
  for (const BoxName &Box : m_Topology.links()) {
    Peers.push_back(*m_Listed.at(Box).m_Address);
    // Leaves dial their relays, which do not know their leaves.
    Peers.back().m_Dial = !m_Topology.relay();
    Wanted.insert(Box);
  }
  for (const BoxName &Gone : m_Wanted)
    if (!Wanted.contains(Gone))
      m_Mesh.forget(Gone);
  m_Wanted = std::move(Wanted);
  m_Entry.setRenewEvery(renewEvery());
  m_Entry.setRetry(m_Topology.flat() ? Retry : LargeRetry);
  m_Mesh.learn(Peers);
}

void Fleet::send(const BoxName &To, const PeerFrame &Frame) {
  if (m_Linked.contains(To))
    send(To, EncodedFrame(Frame));
}

void Fleet::send(const BoxName &To, const EncodedFrame &Frame) {
  const std::size_t Bytes = m_Mesh.send(To, Frame);
  if (Bytes == 0)
    return;
  Sent &Kind = m_Sent[Frame.kind()];
  ++Kind.m_Frames;
  Kind.m_Bytes += Bytes;
}

bool Fleet::slow(const BoxName &To) const {
  return m_Mesh.queued(To) > SlowFromBytes;
}

bool Fleet::busy() const {
  std::size_t Queued = 0;
  for (const BoxName &Each : m_Linked)
    Queued += m_Mesh.queued(Each);
  return Queued > SlowFromBytes;
}

void Fleet::sendAll(const PeerFrame &Frame) {
  const EncodedFrame Encoded(Frame);
  const std::set<BoxName> All = m_Linked;
  for (const BoxName &Each : All)
    send(Each, Encoded);
}

void Fleet::sendRelays(const PeerFrame &Frame, const BoxName &But) {
  const EncodedFrame Encoded(Frame);
  for (const BoxName &Each : linkedRelays())
    if (Each != But)
      send(Each, Encoded);
}

void Fleet::sendLeaves(const PeerFrame &Frame) {
  if (m_Topology.flat())
    return;
  const EncodedFrame Encoded(Frame);
  const std::set<BoxName> All = m_Linked;
  for (const BoxName &Each : All)
    if (!m_Topology.isRelay(Each))
      send(Each, Encoded);
}

void Fleet::passOn(const PeerFrame &Frame, const BoxName &From) {
  if (m_Topology.flat() || !m_Topology.relay())
    return;
  sendLeaves(Frame);
  if (!m_Topology.isRelay(From))
    sendRelays(Frame, From);
}

std::vector<BoxName> Fleet::linkedRelays() const {
  std::vector<BoxName> Result;
  for (const BoxName &Box : m_Linked)
    if (m_Topology.flat() || m_Topology.isRelay(Box))
      Result.push_back(Box);
  return Result;
}

std::vector<Fleet::PassAddress> Fleet::passAddresses() const {
  std::vector<PassAddress> Result;
  for (const auto &[Box, Each] : m_Listed)
    if (Each.m_Passing)
      Result.push_back({.m_Box = Box,
                        .m_DataCentre = Each.m_Address->m_DataCentre,
                        .m_Endpoint = *Each.m_Passing,
                        .m_Protocol = Each.m_Protocol});
  return Result;
}

std::map<PeerProtocol, int> Fleet::protocols() const {
  std::map<PeerProtocol, int> Result;
  for (const BoxName &Box : m_Linked)
    ++Result[m_Mesh.protocolOf(Box)];
  return Result;
}

std::set<BoxName> Fleet::processes() const {
  std::set<BoxName> Result = m_Linked;
  for (const auto &[Box, Address] : m_Listed)
    Result.insert(Box);
  Result.insert(m_Opts.m_Box);
  return Result;
}

void Fleet::leave() {
  m_Left = true;
  m_Entry.release();
}

} // namespace havenstair
