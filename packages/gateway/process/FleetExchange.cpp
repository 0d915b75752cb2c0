#include "gateway/process/FleetExchange.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include "gateway/process/OrderLeader.h"
#include "gateway/process/UpstreamRegistry.h"
#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <variant>

namespace havenstair {

namespace {

constexpr Duration DigestInterval = 250ms;
constexpr Duration LoadsInterval = 40ms;
constexpr Duration LargeFleetLoadsInterval = 120ms;

/// How often a box requests updates from a peer while the store is unreachable.
constexpr Duration RequestInterval = 400ms;

/// A digest echoes a number that this box sent up to 250 ms before the other
/// box got it, and that box sends its next digest up to 250 ms later; the rest
/// is for the transport.
constexpr Duration UsualEchoDelay = 700ms;

/// A relay or a leaf that has sent nothing for this long counts as gone.
constexpr Duration NeighbourTimeout = 1s;
/// Shortest time with an uplink before another one is taken because its lists
/// are outdated or a stronger one is linked.
constexpr Duration MinUplinkTime = 2s;
/// Within this time a relay that is chosen sends its first digest.
constexpr Duration FirstDigestTime = 2 * DigestInterval;

/// The loads that differ between \p Before and \p Now; zeros stand for loads
/// that have ended.
InstanceLoads changes(const InstanceLoads &Before, const InstanceLoads &Now) {
  InstanceLoads Result;
  for (const auto &[Id, Load] : Now) {
    const auto Previous = Before.find(Id);
    if (Previous == Before.end() || Previous->second != Load)
      Result[Id] = Load;
  }
  for (const auto &[Id, Load] : Before)
    if (!Now.contains(Id))
      Result[Id] = {};
  return Result;
}

} // namespace

FleetExchange::FleetExchange(EventLoop &Loop, Dependencies Deps, Options Opts,
                             Hooks Callbacks)
    : m_Loop(Loop), m_Deps(Deps), m_Opts(std::move(Opts)),
      m_Hooks(std::move(Callbacks)),
      m_Lists(
          Loop, Deps, m_Opts.m_Lists,
          {.m_NextHopToLeader = [this] { return nextHopToLeader(); },
           .m_UplinkResponds = [this] { return uplinkResponds(); },
           .m_SendNow = [this] { sendDigests(); },
           .m_SendToLeaf = [this](const BoxName &To) { sendListSnapshot(To); },
           .m_DropConnections = [this] { m_Hooks.m_DropConnections(); },
           .m_OfferConfig =
               [this](const StoreItem &Each) {
                 m_Hooks.m_OfferConfig(Each);
               }}) {
  m_DigestTimer = Loop.every(DigestInterval, [this] { sendDigests(); });
  scheduleLoads();
  m_RequestTimer = Loop.every(RequestInterval, [this] { requestFromPeers(); });
}

bool FleetExchange::storeReachable() const {
  return m_Deps.m_Fleet.storeReached(EventLoop::now());
}

void FleetExchange::onTopologyChanged() {
  const FleetTopology &Topology = m_Deps.m_Fleet.topology();
  std::set<BoxName> Voters = Topology.relays();
  Voters.erase(m_Deps.m_Fleet.self());
  m_Deps.m_Leader.setVoters(std::move(Voters), Topology.relay());
  if (!Topology.relay())
    releaseLeaves();
  m_Lists.onTopologyChanged();
}

/// This box is no relay any more. Its leaves notice that no digests come, and
/// choose another one.
void FleetExchange::releaseLeaves() {
  for (const auto &[Name, Each] : std::exchange(m_Leaves, {}))
    m_Deps.m_State.m_Loads.forget(Name);
  m_LeafSubsets.clear();
}

void FleetExchange::boxesChanged() {
  const WatchCache::Delta Changes = m_Deps.m_Boxes.takeChanges();
  if (!m_Leaves.empty())
    sendKeysToLeaves(ListFollower::keysFrame(m_Deps.m_Boxes, Changes));
  onTopologyChanged();
}

void FleetExchange::linkUp(const BoxName &Box) {
  const FleetTopology &Topology = m_Deps.m_Fleet.topology();
  // Leaves get this when they choose this box as their relay; few of those that
  // link to it do.
  if (!m_Deps.m_Leader.leading() ||
      (!Topology.flat() && !Topology.isRelay(Box)))
    return;
  m_Deps.m_Fleet.send(Box, m_Deps.m_Leader.contents());
  m_Lists.sendSnapshots(Box);
}

void FleetExchange::linkDown(const BoxName &Box) {
  m_Deps.m_State.m_Loads.forget(Box);
  m_Deps.m_Leader.boxLost(Box);
  m_Leaves.erase(Box);
  m_Lists.forget(Box);
  m_Clock.forget(Box);
}

// Sending.

FleetDigestFrame FleetExchange::makeDigest(TimePoint Now) {
  FleetDigestFrame Frame;
  Frame.m_Number = m_Clock.nextNumber(Now);
  m_Lists.describe(Frame, Now);
  Frame.m_Stopping = m_Deps.m_State.m_Stopping;
  Frame.m_Leading = m_Deps.m_Leader.leading();
  Frame.m_Leader = m_Deps.m_Leader.leader();
  return Frame;
}

void FleetExchange::sendDigests() {
  const TimePoint Now = EventLoop::now();
  if (m_Deps.m_Fleet.setLeader(m_Deps.m_Leader.leader().m_Box))
    onTopologyChanged();
  chooseUplink(Now);
  // A read without changes still raises the list's revision. Boxes that learned
  // of it only from a digest would request the whole list.
  if (m_Deps.m_Upstreams.revision() != m_SentListRevision)
    upstreamsChanged();
  else
    sendListUpdates(false);
  ServingState &State = m_Deps.m_State;
  FleetDigestFrame Frame = makeDigest(Now);
  Frame.m_Demand = std::exchange(State.m_Demand, {});
  m_Deps.m_Leader.addDemand(Frame.m_Demand);
  if (m_Deps.m_Fleet.topology().relay())
    return sendRelayDigests(std::move(Frame), Now);
  if (m_Uplink.empty())
    return;
  Frame.m_Leaf = true;
  Frame.m_Totals = m_ReceivedTotalsNumber;
  Frame.m_Loads = State.m_Loads.own();
  State.m_Loads.markAllPublished();
  sendDigest(m_Uplink, std::move(Frame));
}

void FleetExchange::sendDigest(const BoxName &To, FleetDigestFrame Frame) {
  Frame.m_Echo = m_Clock.echoFor(To);
  if (!m_Lists.mayFollow(To)) {
    Frame.m_ListAge = NoListAge;
    Frame.m_Reads = false;
  }
  m_Deps.m_Fleet.send(To, Frame);
}

void FleetExchange::sendRelayDigests(FleetDigestFrame Frame, TimePoint Now) {
  LoadTracker &Loads = m_Deps.m_State.m_Loads;
  dropSilentLeaves(Now);
  Frame.m_Loads = Loads.sum(
      [this](const BoxName &Box) { return m_Leaves.contains(Box); }, Now);
  Loads.markAllPublished();
  for (const BoxName &Relay : m_Deps.m_Fleet.linkedRelays())
    sendDigest(Relay, Frame);
  Frame.m_Demand.clear();
  sendLeafDigests(std::move(Frame), Now);
}

void FleetExchange::sendLeafDigests(FleetDigestFrame Frame, TimePoint Now) {
  const LoadTracker &Loads = m_Deps.m_State.m_Loads;
  const std::map<BoxName, Leaf> Leaves = m_Leaves;
  for (const auto &[Name, Each] : Leaves) {
    // The next digest carries everything that this one would.
    if (m_Deps.m_Fleet.slow(Name))
      continue;
    // Changes of the list that may wait have not been sent, so leaves are shown
    // the revision that they were sent.
    const DataCentreName At = m_Deps.m_Fleet.dataCentreOf(Name);
    Frame.m_List =
        m_LeafSubsets.sentRevision(At).value_or(m_Deps.m_Upstreams.revision());
    Frame.m_ListFingerprint = m_LeafSubsets.sentFingerprint(At);
    Frame.m_LoadsApart = m_Deps.m_Fleet.understands(Name, PackingProtocol);
    Frame.m_Loads.clear();
    if (!Frame.m_LoadsApart)
      Frame.m_Loads = Loads.sum(
          [&Name = Name](const BoxName &Box) { return Box != Name; }, Now);
    sendDigest(Name, Frame);
  }
  sendLoadTotals(Now);
}

/// Sends the same totals to all leaves, so that they are summed up and encoded
/// once: a relay has no time to do that for each of dozens of leaves.
void FleetExchange::sendLoadTotals(TimePoint Now) {
  if (m_Leaves.empty())
    return;
  const std::uint64_t Before = m_SentTotalsNumber++;
  InstanceLoads Totals =
      m_Deps.m_State.m_Loads.sum([](const BoxName &) { return true; }, Now);
  const EncodedFrame Delta(
      FleetTotalsFrame{.m_Number = m_SentTotalsNumber,
                       .m_Since = Before,
                       .m_Loads = changes(m_SentTotals, Totals)});
  m_SentTotals = std::move(Totals);
  std::optional<EncodedFrame> Whole;
  const std::map<BoxName, Leaf> Leaves = m_Leaves;
  for (const auto &[Name, Each] : Leaves) {
    if (m_Deps.m_Fleet.slow(Name) ||
        !m_Deps.m_Fleet.understands(Name, PackingProtocol))
      continue;
    const bool Follows = Each.m_SentTotals != 0 && Each.m_SentTotals == Before;
    if (!Follows && !Whole)
      Whole.emplace(FleetTotalsFrame{.m_Number = m_SentTotalsNumber,
                                     .m_Since = 0,
                                     .m_Loads = m_SentTotals});
    m_Deps.m_Fleet.send(Name, Follows ? Delta : *Whole);
    if (const auto Recipient = m_Leaves.find(Name); Recipient != m_Leaves.end())
      Recipient->second.m_SentTotals = m_SentTotalsNumber;
  }
}

void FleetExchange::scheduleLoads() {
  const bool Flat = m_Deps.m_Fleet.topology().flat();
  m_LoadsTimer =
      m_Loop.after(Flat ? LoadsInterval : LargeFleetLoadsInterval, [this] {
        sendLoads();
        scheduleLoads();
      });
}

/// Sends changed loads at once, on boxes that report only their own loads.
void FleetExchange::sendLoads() {
  const FleetTopology &Topology = m_Deps.m_Fleet.topology();
  if (Topology.relay() && !Topology.flat())
    return;
  const FleetLoadsFrame Frame{m_Deps.m_State.m_Loads.takeChanges()};
  if (Frame.m_Loads.empty())
    return;
  if (!Topology.relay())
    return m_Deps.m_Fleet.send(m_Uplink, Frame);
  m_Deps.m_Fleet.sendRelays(Frame);
}

void FleetExchange::publishContents(const FleetContentsFrame &Frame) {
  receive(m_Deps.m_Fleet.self(), Frame);
  m_Deps.m_Fleet.sendRelays(Frame);
}

void FleetExchange::reportMissing(const ModelKey &Key) {
  receive(m_Deps.m_Fleet.self(), FleetMissingFrame{{Key}});
}

/// The box that reads for all announces a configuration at once: a digest would
/// be up to 250 ms later on boxes whose own watches are dead. It does not in a
/// large fleet, whose relays make stale reads, which include the new version
/// only after a while.
void FleetExchange::configChanged() {
  if (m_Deps.m_Upstreams.running() && m_Deps.m_Fleet.topology().flat())
    sendDigests();
}

void FleetExchange::upstreamsChanged() {
  m_SentListRevision = m_Deps.m_Upstreams.revision();
  if (!m_Deps.m_Fleet.topology().relay())
    return;
  const WatchCache::Delta Changes = m_Deps.m_Upstreams.takeChanges();
  if (readsForOthers(m_Deps.m_Upstreams))
    sendKeysToRelays(ListFollower::keysFrame(m_Deps.m_Upstreams, Changes));
  sendListUpdates(false);
}

/// Sends all evacuations each time: they are few, and one that a box missed
/// would stay missing for days, as nothing else may change.
void FleetExchange::evacuationsChanged() {
  const WatchCache &Cache = m_Deps.m_Evacuations;
  const FleetKeysFrame Frame = ListFollower::keysFrame(Cache, Cache.snapshot());
  if (readsForOthers(Cache))
    sendKeysToRelays(Frame);
  sendKeysToLeaves(Frame);
}

void FleetExchange::sendKeysToRelays(const FleetKeysFrame &Frame) {
  const EncodedFrame Encoded(Frame);
  for (const BoxName &Each : m_Deps.m_Fleet.linkedRelays())
    if (m_Lists.mayFollow(Each))
      m_Deps.m_Fleet.send(Each, Encoded);
}

void FleetExchange::sendKeysToLeaves(const FleetKeysFrame &Frame) {
  if (m_Leaves.empty())
    return;
  const EncodedFrame Encoded(Frame);
  const std::map<BoxName, Leaf> Leaves = m_Leaves;
  for (const auto &[Name, Each] : Leaves)
    if (m_Lists.mayFollow(Name))
      m_Deps.m_Fleet.send(Name, Encoded);
}

bool FleetExchange::readsForOthers(const WatchCache &Cache) const {
  return m_Deps.m_Leader.leading() ||
         (m_Deps.m_Fleet.topology().relay() && Cache.running());
}

/// Sends the leaves their changes of the list of upstreams; with \p All also
/// those that may wait.
void FleetExchange::sendListUpdates(bool All) {
  const WatchCache &List = m_Deps.m_Upstreams;
  const UpstreamSubset *Subset = m_Deps.m_Registry.subset();
  // A partial list would be taken for the whole one.
  if (m_Leaves.empty() || List.partial() || Subset == nullptr)
    return m_LeafSubsets.clear();
  const TimePoint Now = EventLoop::now();
  std::map<DataCentreName, std::optional<EncodedFrame>> Updates;
  const std::map<BoxName, Leaf> Leaves = m_Leaves;
  for (const auto &[Name, Each] : Leaves) {
    const DataCentreName At = m_Deps.m_Fleet.dataCentreOf(Name);
    auto Update = Updates.find(At);
    if (Update == Updates.end()) {
      Update = Updates
                   .emplace(At, m_LeafSubsets.takeUpdate(At, List, *Subset, Now,
                                                         All))
                   .first;
      if (Update->second)
        logSentList(At, "leaves");
    }
    if (Update->second && m_Lists.mayFollow(Name))
      m_Deps.m_Fleet.send(Name, *Update->second);
  }
}

void FleetExchange::sendListSnapshot(const BoxName &To) {
  const WatchCache &List = m_Deps.m_Upstreams;
  const UpstreamSubset *Subset = m_Deps.m_Registry.subset();
  if (List.partial() || Subset == nullptr || List.revision().none() ||
      !m_Lists.mayFollow(To))
    return;
  // Later updates continue from the same state for all leaves.
  sendListUpdates(true);
  const DataCentreName At = m_Deps.m_Fleet.dataCentreOf(To);
  m_Deps.m_Fleet.send(
      To, m_LeafSubsets.snapshot(At, List, *Subset, EventLoop::now()));
  logSentList(At, To.str());
}

void FleetExchange::logSentList(const DataCentreName &DataCentre,
                                std::string_view To) const {
  m_Deps.m_Log.write("list_sent",
                     {{"to", To},
                      {"data_centre", DataCentre.str()},
                      {"keys", m_LeafSubsets.sentKeys(DataCentre)},
                      {"listed", m_Deps.m_Upstreams.items().size()},
                      {"revision", m_Deps.m_Upstreams.revision().m_Number},
                      {"relay", m_Deps.m_Fleet.topology().relay()},
                      {"leaves", m_Leaves.size()}});
}

// Routing.

void FleetExchange::sendToLeaves(const PeerFrame &Frame, const BoxName &But) {
  if (m_Leaves.empty())
    return;
  const EncodedFrame Encoded(Frame);
  const std::map<BoxName, Leaf> Leaves = m_Leaves;
  for (const auto &[Name, Each] : Leaves)
    if (Name != But)
      m_Deps.m_Fleet.send(Name, Encoded);
}

void FleetExchange::dropSilentLeaves(TimePoint Now) {
  std::erase_if(m_Leaves, [&](const auto &Each) {
    const bool Silent = Now - Each.second.m_LastDigestAt > NeighbourTimeout;
    if (Silent)
      m_Deps.m_State.m_Loads.forget(Each.first);
    return Silent;
  });
}

/// Whether the preferred relay is linked and of a stronger kind than this leaf,
/// while its uplink is not.
bool FleetExchange::strongerUplinkLinked() const {
  const Fleet &Boxes = m_Deps.m_Fleet;
  const FleetTopology &Topology = Boxes.topology();
  const std::vector<BoxName> &Links = Topology.links();
  return !Topology.stronger(m_Uplink) && !Links.empty() &&
         Boxes.linked().contains(Links.front()) &&
         Topology.stronger(Links.front());
}

/// Keeps the uplink while it sends digests, then takes the next linked relay.
void FleetExchange::chooseUplink(TimePoint Now) {
  const Fleet &Boxes = m_Deps.m_Fleet;
  const FleetTopology &Topology = Boxes.topology();
  const bool MayChange = Now - m_UplinkSince > MinUplinkTime;
  const bool Better = MayChange && strongerUplinkLinked();
  const bool Good = !m_Uplink.empty() && Boxes.linked().contains(m_Uplink) &&
                    Topology.isRelay(m_Uplink) &&
                    Now - m_UplinkLastDigestAt <= NeighbourTimeout && !Better &&
                    !(MayChange && m_Lists.uplinkOutdated(Now));
  if (Good && !Topology.relay())
    return;
  const BoxName Before = std::exchange(m_Uplink, BoxName());
  m_ReceivedTotalsNumber = 0;
  if (!Before.empty())
    m_Deps.m_State.m_Loads.forget(Before);
  if (Topology.relay())
    return;
  const std::vector<BoxName> &Links = Topology.links();
  const auto Last = std::find(Links.begin(), Links.end(), Before);
  const auto First = Better || Last == Links.end()
                         ? 0
                         : std::distance(Links.begin(), Last) + 1;
  for (std::ptrdiff_t Step = 0; Step < std::ssize(Links); ++Step) {
    const auto Index = (First + Step) % std::ssize(Links);
    const BoxName &Candidate = Links[static_cast<std::size_t>(Index)];
    if (!Boxes.linked().contains(Candidate))
      continue;
    m_Uplink = Candidate;
    m_UplinkDigests = 0;
    m_UplinkSince = Now;
    m_UplinkLastDigestAt = Now;
    break;
  }
  if (m_Uplink != Before)
    m_Deps.m_Log.write("uplink",
                       {{"relay", m_Uplink.str()}, {"before", Before.str()}});
}

/// Whether this box, a leaf, has an uplink that treats it as a leaf, or may
/// still do so. Another box may be no relay any more: only the list of boxes
/// tells.
bool FleetExchange::uplinkResponds() const {
  return !m_Uplink.empty() &&
         (m_UplinkDigests > 0 ||
          EventLoop::now() - m_UplinkSince <= FirstDigestTime);
}

/// The next hop towards the leader.
BoxName FleetExchange::nextHopToLeader() const {
  return m_Deps.m_Fleet.topology().relay() ? m_Deps.m_Leader.leader().m_Box
                                           : m_Uplink;
}

/// While the store is unreachable, requests updates from a random linked box,
/// which the store may serve.
void FleetExchange::requestFromPeers() {
  const std::set<BoxName> &Linked = m_Deps.m_Fleet.linked();
  if (storeReachable() || Linked.empty())
    return;
  const auto Index = static_cast<std::ptrdiff_t>(
      m_Opts.m_Random() * static_cast<double>(Linked.size()));
  const auto Peer =
      std::next(Linked.begin(), std::min(Index, std::ssize(Linked) - 1));
  m_Deps.m_Fleet.send(*Peer, m_Lists.makeWantFrame());
}

// Receiving.

void FleetExchange::onFrame(const BoxName &From, const PeerFrame &Frame) {
  std::visit(
      [&](const auto &Each) {
        if constexpr (requires { receive(From, Each); })
          receive(From, Each);
      },
      Frame);
}

void FleetExchange::receive(const BoxName &From,
                            const FleetDigestFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  m_Clock.recordReceived(From, Frame.m_Number);
  m_Deps.m_Eras.learn(Frame.m_Era, From);
  if (Frame.m_Leaf)
    return receiveFromLeaf(From, Frame, Now);
  m_Deps.m_Leader.recordPeerView(From, Frame.m_Leader, Frame.m_Leading,
                                 m_Clock.sentAt(Frame.m_Echo));
  m_Lists.config().recordDigest(From, Frame, Now);
  m_Lists.readIfBehind(Frame, Now);
  if (From == m_Uplink) {
    m_UplinkLastDigestAt = Now;
    ++m_UplinkDigests;
  }
  // Another relay would repeat to a leaf what its own relay has sent.
  if (!m_Deps.m_Fleet.topology().relay() && From != m_Uplink)
    return;
  if (!Frame.m_LoadsApart)
    m_Deps.m_State.m_Loads.receiveLoads(From, Frame.m_Loads, Now);
  m_Deps.m_Leader.addDemand(Frame.m_Demand);
  m_Lists.recordDigest(From, Frame, excessDelay(Frame, Now), Now);
}

void FleetExchange::receiveFromLeaf(const BoxName &From,
                                    const FleetDigestFrame &Frame,
                                    TimePoint Now) {
  ServingState &State = m_Deps.m_State;
  // Sent on as part of this box's own demand.
  for (const auto &[Key, Demand] : Frame.m_Demand)
    State.m_Demand[Key] += Demand;
  if (!m_Deps.m_Fleet.topology().relay())
    return;
  const auto [Place, New] = m_Leaves.try_emplace(From);
  Place->second.m_LastDigestAt = Now;
  m_Lists.configSendQueue().recordVersion(From, Frame.m_Config);
  // The leaf has no totals, or missed some.
  if (Frame.m_Totals == 0)
    Place->second.m_SentTotals = 0;
  State.m_Loads.receiveLoads(From, Frame.m_Loads, Now);
  if (!New)
    return;
  // The leaf may come from a relay that had sent it more than this one has sent
  // to its leaves.
  sendListUpdates(true);
  if (m_Deps.m_Leader.leading())
    m_Deps.m_Fleet.send(From, m_Deps.m_Leader.contents());
}

/// By how much longer than usual a digest may have been in transit: delayed by
/// a link, or unread by this box while it was busy.
Duration FleetExchange::excessDelay(const FleetDigestFrame &Frame,
                                    TimePoint Now) const {
  const TimePoint SaidAfter = m_Clock.sentAt(Frame.m_Echo);
  return std::clamp<Duration>(Now - SaidAfter - UsualEchoDelay, 0us, NoListAge);
}

void FleetExchange::receive(const BoxName &From, const FleetLoadsFrame &Frame) {
  m_Deps.m_State.m_Loads.receiveChanges(From, Frame.m_Loads, EventLoop::now());
}

void FleetExchange::receive(const BoxName &From,
                            const FleetTotalsFrame &Frame) {
  if (From != m_Uplink)
    return;
  const bool Whole = Frame.m_Since == 0;
  const bool Follows = Whole || Frame.m_Since == m_ReceivedTotalsNumber;
  m_ReceivedTotalsNumber = Follows ? Frame.m_Number : 0;
  if (Follows)
    m_Deps.m_State.m_Loads.receiveAggregate(From, Frame.m_Loads, Whole,
                                            EventLoop::now());
}

void FleetExchange::receive(const BoxName &From,
                            const FleetContentsFrame &Frame) {
  if (Frame.m_FencingToken < m_ContentsToken)
    return;
  if (Frame.m_FencingToken > m_ContentsToken)
    m_ContentsSource = From;
  m_ContentsToken = Frame.m_FencingToken;
  const TimePoint Now = EventLoop::now();
  for (const EngineContents &Each : Frame.m_Engines) {
    ServingView &Upstreams = m_Deps.m_State.m_Upstreams;
    Upstreams.recordLeaderReport(Each.incarnation(), Each.m_Models,
                                 Each.m_Retiring, Now);
    Upstreams.recordLeaderLoad(Each.incarnation(), Each.m_Loading,
                               Now + Each.m_ServesIn);
  }
  if (passesOnContents(From, Frame.m_FencingToken))
    sendToLeaves(Frame, From);
  m_Hooks.m_ContentsChanged();
}

/// Whether the leaves are sent the contents that came from \p From in the term
/// with \p Token. While the list of boxes changes, boxes may take each other
/// for leaves. The boxes from which each first received a term's contents form
/// a tree, so contents that go along it or come from the leader never circle.
bool FleetExchange::passesOnContents(const BoxName &From,
                                     FencingToken Token) const {
  return From == m_ContentsSource ||
         m_Deps.m_Leader.leader() ==
             LeaderTerm{.m_Token = Token, .m_Box = From};
}

/// Forwards missing models towards the leader.
void FleetExchange::receive(const BoxName &From,
                            const FleetMissingFrame &Frame) {
  if (m_Deps.m_Leader.leading())
    return m_Deps.m_Leader.addMissing(Frame.m_Keys);
  const BoxName Next = nextHopToLeader();
  if (!Next.empty() && Next != From)
    m_Deps.m_Fleet.send(Next, Frame);
}

} // namespace havenstair
