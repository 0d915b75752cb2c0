#include "gateway/process/FleetExchange.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include "gateway/process/OrderGiver.h"
#include "gateway/process/UpstreamRegistry.h"
#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <variant>

namespace havenstair {

namespace {

constexpr Duration TellEvery = 250ms;
constexpr Duration TellLoadsEvery = 40ms;
constexpr Duration TellLoadsEveryInLarge = 120ms;

/// How often a box asks the others while the store is silent.
constexpr Duration AskEvery = 400ms;

/// A word echoes a number that this box told up to 250 ms before the other one
/// got it, which tells up to 250 ms later; the rest is for the way.
constexpr Duration UsualEcho = 700ms;

/// A relay, or a leaf, that has said nothing for this long is taken as gone.
constexpr Duration NeighbourSilence = 1s;
/// Before a relay whose lists are too old is left for another one.
constexpr Duration LeastWithUplink = 2s;

/// What has changed from \p Before to \p Now; zeros stand for what has ended.
InstanceLoads changes(const InstanceLoads &Before, const InstanceLoads &Now) {
  InstanceLoads Result;
  for (const auto &[Id, Load] : Now) {
    const auto Known = Before.find(Id);
    if (Known == Before.end() || Known->second != Load)
      Result[Id] = Load;
  }
  for (const auto &[Id, Load] : Before)
    if (!Now.contains(Id))
      Result[Id] = {};
  return Result;
}

} // namespace

FleetExchange::FleetExchange(EventLoop &Loop, Parts Of, Options Opts,
                             Hooks Callbacks)
    : m_Loop(Loop), m_Of(Of), m_Opts(std::move(Opts)),
      m_Hooks(std::move(Callbacks)),
      m_Lists(Loop, Of, m_Opts.m_Lists,
              {.m_TowardsGiver = [this] { return towardsGiver(); },
               .m_TellNow = [this] { tell(); },
               .m_TellLeaf = [this](const BoxName &To) { tellLeaf(To); },
               .m_DropConnections = [this] { m_Hooks.m_DropConnections(); }}) {
  m_TellTimer = Loop.every(TellEvery, [this] { tell(); });
  tellLoadsLater();
  m_AskTimer = Loop.every(AskEvery, [this] { askPeers(); });
}

bool FleetExchange::storeJustReached() const {
  return m_Of.m_Fleet.storeReached(EventLoop::now());
}

void FleetExchange::arranged() {
  const FleetTopology &Topology = m_Of.m_Fleet.topology();
  std::set<BoxName> Voters = Topology.relays();
  Voters.erase(m_Of.m_Fleet.self());
  m_Of.m_Giver.setVoters(std::move(Voters), Topology.relay());
  m_Lists.arranged();
}

void FleetExchange::boxesChanged() {
  const PrefixMirror::Delta News = m_Of.m_Boxes.takeChanges();
  if (!m_Leaves.empty())
    toLeaves(ListFollower::keysFrame(m_Of.m_Boxes, News));
  arranged();
}

void FleetExchange::linkUp(const BoxName &Box) {
  const FleetTopology &Topology = m_Of.m_Fleet.topology();
  // Leaves are told when they choose this box, which few of those do that link
  // to it.
  if (!m_Of.m_Giver.giving() || (!Topology.flat() && !Topology.isRelay(Box)))
    return;
  m_Of.m_Fleet.send(Box, m_Of.m_Giver.contents());
  m_Lists.tellWhole(Box);
}

void FleetExchange::linkDown(const BoxName &Box) {
  m_Of.m_State.m_Loads.forget(Box);
  m_Of.m_Giver.boxLost(Box);
  m_Leaves.erase(Box);
  m_Lists.forget(Box);
  m_Clock.forget(Box);
}

// What is told.

FleetDigestFrame FleetExchange::word(TimePoint Now) {
  FleetDigestFrame Frame;
  Frame.m_Number = m_Clock.nextNumber(Now);
  m_Lists.describe(Frame, Now);
  Frame.m_Stopping = m_Of.m_State.m_Stopping;
  Frame.m_Giving = m_Of.m_Giver.giving();
  Frame.m_Holder = m_Of.m_Giver.holder();
  return Frame;
}

void FleetExchange::tell() {
  const TimePoint Now = EventLoop::now();
  if (m_Of.m_Fleet.holderIs(m_Of.m_Giver.holder().m_Box))
    arranged();
  chooseUplink(Now);
  // A read that brings nothing new still makes the list that of a later
  // revision. Boxes that hear of it only by digest would ask for all of it.
  if (m_Of.m_Upstreams.revision() != m_ListToldAt)
    upstreamsChanged();
  else
    newsToLeaves(false);
  ServingState &State = m_Of.m_State;
  FleetDigestFrame Frame = word(Now);
  Frame.m_Demand = std::exchange(State.m_Demand, {});
  m_Of.m_Giver.demanded(Frame.m_Demand);
  if (m_Of.m_Fleet.topology().relay())
    return tellRelays(std::move(Frame), Now);
  if (m_Uplink.empty())
    return;
  Frame.m_Leaf = true;
  Frame.m_Totals = m_TotalsHeard;
  Frame.m_Loads = State.m_Loads.own();
  State.m_Loads.markAllPublished();
  tellBox(m_Uplink, std::move(Frame));
}

void FleetExchange::tellBox(const BoxName &To, FleetDigestFrame Frame) {
  Frame.m_Echo = m_Clock.echoFor(To);
  m_Of.m_Fleet.send(To, Frame);
}

void FleetExchange::tellRelays(FleetDigestFrame Frame, TimePoint Now) {
  LoadTracker &Loads = m_Of.m_State.m_Loads;
  dropSilentLeaves(Now);
  Frame.m_Loads = Loads.sum(
      [this](const BoxName &Box) { return m_Leaves.contains(Box); }, Now);
  Loads.markAllPublished();
  for (const BoxName &Relay : m_Of.m_Fleet.linkedRelays())
    tellBox(Relay, Frame);
  Frame.m_Demand.clear();
  tellLeaves(std::move(Frame), Now);
}

void FleetExchange::tellLeaves(FleetDigestFrame Frame, TimePoint Now) {
  const LoadTracker &Loads = m_Of.m_State.m_Loads;
  const std::map<BoxName, Leaf> Leaves = m_Leaves;
  for (const auto &[Name, Each] : Leaves) {
    // The next one says all that this one would.
    if (m_Of.m_Fleet.slow(Name))
      continue;
    // What may wait is not there yet, as far as leaves are concerned.
    Frame.m_List = m_LeafLists.toldAt(m_Of.m_Fleet.dataCentreOf(Name))
                       .value_or(m_Of.m_Upstreams.revision());
    Frame.m_LoadsApart = m_Of.m_Fleet.understands(Name, PackingProtocol);
    Frame.m_Loads.clear();
    if (!Frame.m_LoadsApart)
      Frame.m_Loads = Loads.sum(
          [&Name = Name](const BoxName &Box) { return Box != Name; }, Now);
    tellBox(Name, Frame);
  }
  tellTotals(Now);
}

/// The same for all leaves, so that it is summed up and encoded once: a relay
/// has no time to do that for each of dozens.
void FleetExchange::tellTotals(TimePoint Now) {
  if (m_Leaves.empty())
    return;
  const std::uint64_t Before = m_TotalsNumber++;
  InstanceLoads Totals =
      m_Of.m_State.m_Loads.sum([](const BoxName &) { return true; }, Now);
  const EncodedFrame News(
      FleetTotalsFrame{.m_Number = m_TotalsNumber,
                       .m_Since = Before,
                       .m_Loads = changes(m_Totals, Totals)});
  m_Totals = std::move(Totals);
  std::optional<EncodedFrame> Whole;
  const std::map<BoxName, Leaf> Leaves = m_Leaves;
  for (const auto &[Name, Each] : Leaves) {
    if (m_Of.m_Fleet.slow(Name) ||
        !m_Of.m_Fleet.understands(Name, PackingProtocol))
      continue;
    const bool Follows = Each.m_Totals != 0 && Each.m_Totals == Before;
    if (!Follows && !Whole)
      Whole.emplace(FleetTotalsFrame{
          .m_Number = m_TotalsNumber, .m_Since = 0, .m_Loads = m_Totals});
    m_Of.m_Fleet.send(Name, Follows ? News : *Whole);
    if (const auto Known = m_Leaves.find(Name); Known != m_Leaves.end())
      Known->second.m_Totals = m_TotalsNumber;
  }
}

void FleetExchange::tellLoadsLater() {
  const bool Flat = m_Of.m_Fleet.topology().flat();
  m_LoadsTimer =
      m_Loop.after(Flat ? TellLoadsEvery : TellLoadsEveryInLarge, [this] {
        tellLoads();
        tellLoadsLater();
      });
}

/// Only boxes that tell of nobody but themselves tell of each change at once.
void FleetExchange::tellLoads() {
  const FleetTopology &Topology = m_Of.m_Fleet.topology();
  if (Topology.relay() && !Topology.flat())
    return;
  const FleetLoadsFrame Frame{m_Of.m_State.m_Loads.takeChanges()};
  if (Frame.m_Loads.empty())
    return;
  if (!Topology.relay())
    return m_Of.m_Fleet.send(m_Uplink, Frame);
  m_Of.m_Fleet.sendRelays(Frame);
}

void FleetExchange::tellContents(const FleetContentsFrame &Frame) {
  take(m_Of.m_Fleet.self(), Frame);
  m_Of.m_Fleet.sendRelays(Frame);
}

void FleetExchange::missing(const ModelKey &Key) {
  take(m_Of.m_Fleet.self(), FleetMissingFrame{{Key}});
}

/// The box that reads for all tells of it at once: with a digest it would be up
/// to 250 ms later on boxes whose own watches are dead. Relays of a large fleet
/// read stale answers, which are as new as that after a while only.
void FleetExchange::configChanged() {
  if (m_Of.m_Upstreams.running() && m_Of.m_Fleet.topology().flat())
    tell();
}

void FleetExchange::upstreamsChanged() {
  m_ListToldAt = m_Of.m_Upstreams.revision();
  if (!m_Of.m_Fleet.topology().relay())
    return;
  const PrefixMirror::Delta News = m_Of.m_Upstreams.takeChanges();
  if (readsForOthers(m_Of.m_Upstreams))
    m_Of.m_Fleet.sendRelays(ListFollower::keysFrame(m_Of.m_Upstreams, News));
  newsToLeaves(false);
}

/// Always all of them: they are few, and one that a box missed would stand for
/// days, as nothing else of them may change.
void FleetExchange::evacuationsChanged() {
  const PrefixMirror &Mirror = m_Of.m_Evacuations;
  const FleetKeysFrame Frame = ListFollower::keysFrame(Mirror, Mirror.whole());
  if (readsForOthers(Mirror))
    m_Of.m_Fleet.sendRelays(Frame);
  toLeaves(Frame);
}

bool FleetExchange::readsForOthers(const PrefixMirror &Mirror) const {
  return m_Of.m_Giver.giving() ||
         (m_Of.m_Fleet.topology().relay() && Mirror.running());
}

/// \p All: at once, also what might wait.
void FleetExchange::newsToLeaves(bool All) {
  const PrefixMirror &List = m_Of.m_Upstreams;
  // A part of the list would pass for the whole one.
  if (m_Leaves.empty() || List.part())
    return m_LeafLists.clear();
  const UpstreamSubset &Of = m_Of.m_Registry.shortlist();
  const TimePoint Now = EventLoop::now();
  std::map<DataCentreName, std::optional<EncodedFrame>> News;
  const std::map<BoxName, Leaf> Leaves = m_Leaves;
  for (const auto &[Name, Each] : Leaves) {
    const DataCentreName At = m_Of.m_Fleet.dataCentreOf(Name);
    auto Found = News.find(At);
    if (Found == News.end())
      Found =
          News.emplace(At, m_LeafLists.takeNews(At, List, Of, Now, All)).first;
    if (Found->second)
      m_Of.m_Fleet.send(Name, *Found->second);
  }
}

void FleetExchange::tellLeaf(const BoxName &To) {
  const PrefixMirror &List = m_Of.m_Upstreams;
  if (List.part() || List.revision() == 0)
    return;
  // What comes next goes on from the same for all.
  newsToLeaves(true);
  m_Of.m_Fleet.send(To, m_LeafLists.whole(m_Of.m_Fleet.dataCentreOf(To), List,
                                          m_Of.m_Registry.shortlist(),
                                          EventLoop::now()));
}

// To whom.

void FleetExchange::toLeaves(const PeerFrame &Frame) {
  if (m_Leaves.empty())
    return;
  const EncodedFrame Encoded(Frame);
  const std::map<BoxName, Leaf> Leaves = m_Leaves;
  for (const auto &[Name, Each] : Leaves)
    m_Of.m_Fleet.send(Name, Encoded);
}

void FleetExchange::dropSilentLeaves(TimePoint Now) {
  std::erase_if(m_Leaves, [&](const auto &Each) {
    const bool Silent = Now - Each.second.m_HeardAt > NeighbourSilence;
    if (Silent)
      m_Of.m_State.m_Loads.forget(Each.first);
    return Silent;
  });
}

/// Whether another relay is linked that is of a stronger kind than this leaf,
/// unlike its uplink.
bool FleetExchange::strongerUplinkLinked() const {
  const Fleet &Boxes = m_Of.m_Fleet;
  const FleetTopology &Topology = Boxes.topology();
  const std::vector<BoxName> &Links = Topology.links();
  return !Topology.stronger(m_Uplink) && !Links.empty() &&
         Boxes.linked().contains(Links.front()) &&
         Topology.stronger(Links.front());
}

/// Stays with one relay while it speaks; then takes the next that is linked.
void FleetExchange::chooseUplink(TimePoint Now) {
  const Fleet &Boxes = m_Of.m_Fleet;
  const FleetTopology &Topology = Boxes.topology();
  const bool MayChange = Now - m_UplinkSince > LeastWithUplink;
  const bool Better = MayChange && strongerUplinkLinked();
  const bool Good = !m_Uplink.empty() && Boxes.linked().contains(m_Uplink) &&
                    Topology.isRelay(m_Uplink) &&
                    Now - m_UplinkHeardAt <= NeighbourSilence && !Better &&
                    !(MayChange && m_Lists.uplinkFails(Now));
  if (Good && !Topology.relay())
    return;
  const BoxName Before = std::exchange(m_Uplink, BoxName());
  m_TotalsHeard = 0;
  if (!Before.empty())
    m_Of.m_State.m_Loads.forget(Before);
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
    m_UplinkSince = Now;
    m_UplinkHeardAt = Now;
    break;
  }
  if (m_Uplink != Before)
    m_Of.m_Log.write("uplink",
                     {{"relay", m_Uplink.str()}, {"before", Before.str()}});
}

/// The next box on the way to the one that gives orders.
BoxName FleetExchange::towardsGiver() const {
  return m_Of.m_Fleet.topology().relay() ? m_Of.m_Giver.holder().m_Box
                                         : m_Uplink;
}

/// A box that the store turns away learns from those that it serves.
void FleetExchange::askPeers() {
  const std::set<BoxName> &Linked = m_Of.m_Fleet.linked();
  if (storeJustReached() || Linked.empty())
    return;
  const auto Index = static_cast<std::ptrdiff_t>(
      m_Opts.m_Random() * static_cast<double>(Linked.size()));
  const auto Peer =
      std::next(Linked.begin(), std::min(Index, std::ssize(Linked) - 1));
  m_Of.m_Fleet.send(*Peer, m_Lists.want());
}

// What is taken.

void FleetExchange::onFrame(const BoxName &From, const PeerFrame &Frame) {
  std::visit(
      [&](const auto &Each) {
        if constexpr (requires { take(From, Each); })
          take(From, Each);
      },
      Frame);
}

void FleetExchange::take(const BoxName &From, const FleetDigestFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  m_Clock.recordReceived(From, Frame.m_Number);
  if (Frame.m_Leaf)
    return takeFromLeaf(From, Frame, Now);
  m_Of.m_Giver.heardHolder(From, Frame.m_Holder, Frame.m_Giving,
                           m_Clock.sentAt(Frame.m_Echo));
  m_Lists.config().heard(From, Frame, Now);
  m_Lists.noteNewer(Frame, Now);
  if (From == m_Uplink)
    m_UplinkHeardAt = Now;
  // Another relay would tell a leaf again of what its own one has told.
  if (!m_Of.m_Fleet.topology().relay() && From != m_Uplink)
    return;
  if (!Frame.m_LoadsApart)
    m_Of.m_State.m_Loads.receiveLoads(From, Frame.m_Loads, Now);
  m_Of.m_Giver.demanded(Frame.m_Demand);
  m_Lists.heard(From, Frame, heldUp(Frame, Now), Now);
}

void FleetExchange::takeFromLeaf(const BoxName &From,
                                 const FleetDigestFrame &Frame, TimePoint Now) {
  const auto [Place, New] = m_Leaves.try_emplace(From);
  Place->second.m_HeardAt = Now;
  m_Lists.configAnswers().holds(From, Frame.m_Config);
  // It has none, or some were lost on the way to it.
  if (Frame.m_Totals == 0)
    Place->second.m_Totals = 0;
  ServingState &State = m_Of.m_State;
  State.m_Loads.receiveLoads(From, Frame.m_Loads, Now);
  // Told to the other relays as part of this box's own demand.
  for (const auto &[Key, Demand] : Frame.m_Demand)
    State.m_Demand[Key] += Demand;
  if (!New)
    return;
  // It may come from a relay that has told it more than this one its leaves.
  newsToLeaves(true);
  if (m_Of.m_Giver.giving())
    m_Of.m_Fleet.send(From, m_Of.m_Giver.contents());
}

/// By how much longer a word may have been under way than words are in good
/// times: held up by a link, or unread by this box while it was busy.
Duration FleetExchange::heldUp(const FleetDigestFrame &Frame,
                               TimePoint Now) const {
  const TimePoint SaidAfter = m_Clock.sentAt(Frame.m_Echo);
  return std::clamp<Duration>(Now - SaidAfter - UsualEcho, 0us, NoListAge);
}

void FleetExchange::take(const BoxName &From, const FleetLoadsFrame &Frame) {
  m_Of.m_State.m_Loads.receiveChanges(From, Frame.m_Loads, EventLoop::now());
}

void FleetExchange::take(const BoxName &From, const FleetTotalsFrame &Frame) {
  if (From != m_Uplink)
    return;
  const bool Whole = Frame.m_Since == 0;
  const bool Follows = Whole || Frame.m_Since == m_TotalsHeard;
  m_TotalsHeard = Follows ? Frame.m_Number : 0;
  if (Follows)
    m_Of.m_State.m_Loads.receiveAggregate(From, Frame.m_Loads, Whole,
                                          EventLoop::now());
}

void FleetExchange::take(const BoxName &, const FleetContentsFrame &Frame) {
  if (Frame.m_FencingToken < m_ContentsToken)
    return;
  m_ContentsToken = Frame.m_FencingToken;
  const TimePoint Now = EventLoop::now();
  for (const EngineContents &Each : Frame.m_Engines) {
    ServingView &Upstreams = m_Of.m_State.m_Upstreams;
    Upstreams.recordLeaderReport(Each.life(), Each.m_Models, Each.m_Retiring,
                                 Now);
    Upstreams.recordLeaderLoad(Each.life(), Each.m_Loading,
                               Now + Each.m_ServesIn);
  }
  toLeaves(Frame);
  m_Hooks.m_ContentsChanged();
}

/// Hands on what is missing, on the way to the box that gives orders.
void FleetExchange::take(const BoxName &From, const FleetMissingFrame &Frame) {
  if (m_Of.m_Giver.giving())
    return m_Of.m_Giver.missing(Frame.m_Keys);
  const BoxName Next = towardsGiver();
  if (!Next.empty() && Next != From)
    m_Of.m_Fleet.send(Next, Frame);
}

} // namespace havenstair
