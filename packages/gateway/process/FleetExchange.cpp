#include "gateway/process/FleetExchange.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include "gateway/process/OrderGiver.h"
#include <algorithm>
#include <array>
#include <iterator>
#include <utility>
#include <variant>

namespace havenstair {

namespace {

constexpr Duration TellEvery = 250ms;
constexpr Duration TellLoadsEvery = 40ms;
constexpr Duration TellLoadsEveryInLarge = 120ms;

/// How often a box asks the others while the store is silent.
constexpr Duration AskEvery = 400ms;

/// A box reads the store itself when what it is told is older than this. The
/// oldest that a relay hears of in good times is 1.2 s: a watch waits 0.9 s, a
/// digest 0.25 s. All lie below the 2 s for which platforms let a leaving
/// upstream take work. Relays read one after the other, and leaves last, as a
/// digest of the first that succeeds spares the others their calls.
constexpr std::array<Duration, 3> RelayListAges{1400ms, 1600ms, 1750ms};
constexpr Duration LeastLeafListAge = 1400ms;
constexpr Duration MostLeafListAge = 2400ms;
/// What is left then of the time in which a leaving upstream takes work: for
/// the read and for a request on its way.
constexpr Duration ReadAndSend = 600ms;

/// Pauses between tries of a box to read the store. Relays tell their leaves as
/// soon as the store is back, so that these need not ask it: with the pauses of
/// a relay each leaf of a data centre that was cut off made 13 calls in 2 s.
constexpr RetryPauses RelayRetry{.m_First = 100ms, .m_Cap = 1s};
constexpr RetryPauses LeafRetry{.m_First = 500ms, .m_Cap = 5s};

/// Changes of the list that come together cost one call. Engines change their
/// entries all the time, and a leaf reads only while no relay does.
constexpr Duration RelayGather = 200ms;
constexpr Duration LeafGather = 1s;

/// A box that has come to know much newer lists tells of it at once: the boxes
/// behind it are about to read for themselves.
constexpr Duration MuchNewer = 500ms;

constexpr Duration ChooseSourceEvery = 100ms;

/// Another box's lists are asked for when they are newer by this than those of
/// the box that is followed.
constexpr Duration NewerSource = 500ms;

/// A word echoes a number that this box told up to 250 ms before the other one
/// got it, which tells up to 250 ms later; the rest is for the way.
constexpr Duration UsualEcho = 700ms;

/// A watch that has not told by now what another box knows is taken as dead.
constexpr Duration WatchTells = 400ms;
/// A read of the configuration takes some milliseconds.
constexpr Duration ReadConfigEvery = 200ms;
constexpr Duration ReadAgainEvery = 1s;

/// A box that starts waits this long for the list of boxes, and a leaf for its
/// uplink, before it reads the list of upstreams itself. When the whole fleet
/// starts, boxes enter the list within some tenths of a second.
constexpr Duration WaitForBoxes = 700ms;
constexpr Duration WaitForUplink = 2s;

/// A relay, or a leaf, that has said nothing for this long is taken as gone.
constexpr Duration NeighbourSilence = 1s;

} // namespace

FleetExchange::FleetExchange(EventLoop &Loop, Parts Of, Options Opts,
                             Hooks Callbacks)
    : m_Loop(Loop), m_Of(Of), m_Opts(std::move(Opts)),
      m_Hooks(std::move(Callbacks)), m_StartedAt(EventLoop::now()) {
  m_TellTimer = Loop.every(TellEvery, [this] { tell(); });
  tellLoadsLater();
  m_SourceTimer = Loop.every(ChooseSourceEvery, [this] { chooseListSource(); });
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
  for (PrefixMirror *Each : {&m_Of.m_Config, &m_Of.m_Upstreams, &m_Of.m_Boxes})
    Each->setRetry(Topology.relay() ? RelayRetry : LeafRetry);
  m_Of.m_Upstreams.setGather(Topology.relay() ? RelayGather : LeafGather);
  chooseListSource();
}

void FleetExchange::boxesChanged() {
  const PrefixMirror::Delta News = m_Of.m_Boxes.takeChanges();
  if (!m_Leaves.empty())
    toLeaves(keysFrame(m_Opts.m_BoxPrefix, News));
  arranged();
}

void FleetExchange::linkUp(const BoxName &Box) {
  if (!m_Of.m_Giver.giving())
    return;
  m_Of.m_Fleet.send(Box, m_Of.m_Giver.contents());
  m_Of.m_Fleet.send(
      Box, keysFrame(m_Opts.m_UpstreamPrefix, m_Of.m_Upstreams.whole()));
}

void FleetExchange::linkDown(const BoxName &Box) {
  m_Of.m_State.m_Loads.forget(Box);
  m_Of.m_Giver.boxLost(Box);
  m_Leaves.erase(Box);
  m_ListWords.erase(Box);
  m_Clock.forget(Box);
}

// What is told.

FleetDigestFrame FleetExchange::word(TimePoint Now) {
  const ServingState &State = m_Of.m_State;
  FleetDigestFrame Frame;
  Frame.m_Number = m_Clock.tell(Now);
  Frame.m_Config = State.configVersion();
  Frame.m_List = m_Of.m_Upstreams.revision();
  Frame.m_Boxes = m_Of.m_Boxes.revision();
  Frame.m_Stopping = State.m_Stopping;
  Frame.m_ListAge = listAge(Now);
  Frame.m_Reads = m_Of.m_Upstreams.running();
  Frame.m_Giving = m_Of.m_Giver.giving();
  Frame.m_Holder = m_Of.m_Giver.holder();
  return Frame;
}

/// How long ago this box's copies were the store's state, whoever read it.
Duration FleetExchange::listAge(TimePoint Now) const {
  TimePoint At = knownAsOf(m_Of.m_Upstreams);
  if (!m_Of.m_Fleet.topology().flat())
    At = std::min(At, configAsOf());
  return std::min<Duration>(NoListAge, Now - At);
}

TimePoint FleetExchange::knownAsOf(const PrefixMirror &Mirror) const {
  return Mirror.running() ? Mirror.confirmedAt() : vouchedAsOf(m_ListSource);
}

TimePoint FleetExchange::configAsOf() const { return knownAsOf(m_Of.m_Config); }

/// Age from which on this box reads the store itself.
Duration FleetExchange::mostListAge() const {
  const FleetTopology &Topology = m_Of.m_Fleet.topology();
  if (!Topology.relay())
    return std::clamp<Duration>(m_Opts.m_DrainTimeout - ReadAndSend,
                                LeastLeafListAge, MostLeafListAge);
  std::set<BoxName> Deputies = Topology.relays();
  Deputies.erase(m_Of.m_Giver.holder().m_Box);
  const auto Rank =
      std::distance(Deputies.begin(), Deputies.find(m_Of.m_Fleet.self()));
  return RelayListAges.at(std::min<std::size_t>(static_cast<std::size_t>(Rank),
                                                RelayListAges.size() - 1));
}

void FleetExchange::tell() {
  const TimePoint Now = EventLoop::now();
  if (m_Of.m_Fleet.holderIs(m_Of.m_Giver.holder().m_Box))
    arranged();
  chooseUplink(Now);
  // The box that gives orders must hear at once that it was replaced. In a
  // large fleet the box that reads the list for all reads the configuration
  // too.
  m_Of.m_Boxes.watchClosely(m_Of.m_Giver.giving());
  // Nobody tells a box that hears no others that its watch is lost.
  m_Of.m_Config.watchClosely(
      m_ConfigClosely || Now - m_HeardAt > NeighbourSilence ||
      (m_Of.m_Upstreams.running() && !m_Of.m_Fleet.topology().flat()));
  ServingState &State = m_Of.m_State;
  FleetDigestFrame Frame = word(Now);
  m_ToldAsOf = Now - Frame.m_ListAge;
  Frame.m_Demand = std::exchange(State.m_Demand, {});
  m_Of.m_Giver.demanded(Frame.m_Demand);
  if (m_Of.m_Fleet.topology().relay())
    return tellRelays(std::move(Frame), Now);
  if (m_Uplink.empty())
    return;
  Frame.m_Leaf = true;
  Frame.m_Loads = State.m_Loads.own();
  State.m_Loads.toldAll();
  tellBox(m_Uplink, std::move(Frame));
}

void FleetExchange::tellBox(const BoxName &To, FleetDigestFrame Frame) {
  Frame.m_Echo = m_Clock.echoFor(To);
  m_Of.m_Fleet.send(To, Frame);
}

void FleetExchange::tellRelays(FleetDigestFrame Frame, TimePoint Now) {
  LoadBook &Loads = m_Of.m_State.m_Loads;
  dropSilentLeaves(Now);
  Frame.m_Loads = Loads.sum(
      [this](const BoxName &Box) { return m_Leaves.contains(Box); }, Now);
  Loads.toldAll();
  for (const BoxName &Relay : m_Of.m_Fleet.linkedRelays())
    tellBox(Relay, Frame);
  Frame.m_Demand.clear();
  const std::map<BoxName, TimePoint> Leaves = m_Leaves;
  for (const auto &[Leaf, HeardAt] : Leaves) {
    Frame.m_Loads = Loads.sum(
        [&Leaf = Leaf](const BoxName &Box) { return Box != Leaf; }, Now);
    tellBox(Leaf, Frame);
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
  toRelays(Frame);
}

void FleetExchange::tellContents(const FleetContentsFrame &Frame) {
  take(m_Of.m_Fleet.self(), Frame);
  toRelays(Frame);
}

void FleetExchange::missing(const ModelKey &Key) {
  take(m_Of.m_Fleet.self(), FleetMissingFrame{{Key}});
}

void FleetExchange::upstreamsChanged() {
  const PrefixMirror::Delta News = m_Of.m_Upstreams.takeChanges();
  if (m_Of.m_Giver.giving() ||
      (m_Of.m_Fleet.topology().relay() && m_Of.m_Upstreams.running()))
    toAll(keysFrame(m_Opts.m_UpstreamPrefix, News));
  else if (!m_Leaves.empty())
    toLeaves(keysFrame(m_Opts.m_UpstreamPrefix, News));
}

FleetWantFrame FleetExchange::want() const {
  return {.m_Config = m_Of.m_State.configVersion(),
          .m_List = m_Of.m_Upstreams.revision(),
          .m_Boxes = m_Of.m_Boxes.revision()};
}

FleetKeysFrame FleetExchange::keysFrame(const std::string &Prefix,
                                        const PrefixMirror::Delta &News) const {
  FleetKeysFrame Frame{.m_Prefix = Prefix,
                       .m_Since = News.m_Since,
                       .m_Revision = News.m_Revision,
                       .m_Items = {},
                       .m_Gone = News.m_Gone};
  for (const StoreItem &Item : News.m_Items)
    Frame.m_Items.push_back({.m_Key = Item.m_Key,
                             .m_Value = Item.m_Value,
                             .m_Revision = Item.m_Revision});
  return Frame;
}

// To whom.

void FleetExchange::toRelays(const PeerFrame &Frame) {
  for (const BoxName &Relay : m_Of.m_Fleet.linkedRelays())
    m_Of.m_Fleet.send(Relay, Frame);
}

void FleetExchange::toLeaves(const PeerFrame &Frame) {
  const std::map<BoxName, TimePoint> Leaves = m_Leaves;
  for (const auto &[Leaf, HeardAt] : Leaves)
    m_Of.m_Fleet.send(Leaf, Frame);
}

void FleetExchange::toAll(const PeerFrame &Frame) {
  toRelays(Frame);
  toLeaves(Frame);
}

void FleetExchange::dropSilentLeaves(TimePoint Now) {
  std::erase_if(m_Leaves, [&](const auto &Each) {
    const bool Silent = Now - Each.second > NeighbourSilence;
    if (Silent)
      m_Of.m_State.m_Loads.forget(Each.first);
    return Silent;
  });
}

/// Stays with one relay while it speaks; then takes the next that is linked.
void FleetExchange::chooseUplink(TimePoint Now) {
  const Fleet &Boxes = m_Of.m_Fleet;
  const FleetTopology &Topology = Boxes.topology();
  const bool Good = !m_Uplink.empty() && Boxes.linked().contains(m_Uplink) &&
                    Topology.isRelay(m_Uplink) &&
                    Now - m_UplinkHeardAt <= NeighbourSilence;
  if (Good && !Topology.relay())
    return;
  const BoxName Before = std::exchange(m_Uplink, BoxName());
  if (!Before.empty())
    m_Of.m_State.m_Loads.forget(Before);
  if (Topology.relay())
    return;
  const std::vector<BoxName> &Links = Topology.links();
  const auto Last = std::find(Links.begin(), Links.end(), Before);
  const auto First =
      Last == Links.end() ? 0 : std::distance(Links.begin(), Last) + 1;
  for (std::ptrdiff_t Step = 0; Step < std::ssize(Links); ++Step) {
    const auto Index = (First + Step) % std::ssize(Links);
    const BoxName &Candidate = Links[static_cast<std::size_t>(Index)];
    if (!Boxes.linked().contains(Candidate))
      continue;
    m_Uplink = Candidate;
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

TimePoint FleetExchange::vouchedAsOf(const BoxName &Box) const {
  const auto Found = m_ListWords.find(Box);
  if (Found == m_ListWords.end())
    return {};
  const ListWord &Word = Found->second;
  return behind(Word.m_Newest) ? Word.m_AsOfBefore : Word.m_AsOf;
}

bool FleetExchange::vouches(const BoxName &Box, TimePoint Now) const {
  return Now - vouchedAsOf(Box) <= mostListAge();
}

/// The box that gives orders watches the list for all, and relays pass it on,
/// as they do the list of boxes: every box that watches pays for each change.
/// While the store turns that box away, another relay reads in its place.
BoxName FleetExchange::listSource(TimePoint Now) const {
  const BoxName First = towardsGiver();
  if (vouches(First, Now) || !m_Of.m_Fleet.topology().relay())
    return First;
  // Of several that read, all but the first by name stop.
  const bool Reads = m_Of.m_Upstreams.running();
  const auto Other = std::find_if(
      m_ListWords.begin(), m_ListWords.end(), [&](const auto &Each) {
        return vouches(Each.first, Now) &&
               (!Reads || Each.first < m_Of.m_Fleet.self());
      });
  return Other == m_ListWords.end() ? First : Other->first;
}

void FleetExchange::chooseListSource() {
  const TimePoint Now = EventLoop::now();
  m_ListSource = listSource(Now);
  const bool Relayed = !m_Of.m_Giver.giving() && vouches(m_ListSource, Now);
  const FleetTopology &Topology = m_Of.m_Fleet.topology();
  const bool HasList = m_Of.m_Upstreams.revision() > 0;
  const bool HasConfig = m_Of.m_State.m_Config != nullptr;
  if (Relayed || !startsSoon(Now)) {
    follow(m_Of.m_Upstreams, Relayed && HasList);
    // A leaf that the store turns away does not try for both.
    const bool Reachable =
        Topology.relay() || m_Of.m_Upstreams.confirmedAt() >= Now - LeafGather;
    // A small fleet learns of a configuration sooner than by way of others.
    follow(m_Of.m_Config,
           (Relayed || !Reachable) && HasConfig && !Topology.flat());
  }
  if (Now - listAge(Now) - m_ToldAsOf >= MuchNewer)
    tell();
  // A leaf needs to know of other boxes only while it has no relay.
  follow(m_Of.m_Boxes, !Topology.relay() && !m_Uplink.empty());
}

/// Whether this box, which has just started, may yet be told of the list.
bool FleetExchange::startsSoon(TimePoint Now) const {
  if (m_Of.m_Upstreams.running())
    return false;
  const bool OthersEnter = m_Opts.m_FirstStart || m_Of.m_Fleet.size() == 1;
  if (OthersEnter && Now - m_StartedAt < WaitForBoxes)
    return true;
  return !m_Of.m_Fleet.topology().relay() && Now - m_StartedAt < WaitForUplink;
}

void FleetExchange::follow(PrefixMirror &Mirror, bool Relayed) {
  if (Relayed == !Mirror.running())
    return;
  m_Of.m_Log.write("list_source",
                   {{"list", Mirror.prefix()},
                    {"relay", Relayed ? m_ListSource.str() : ""}});
  if (Relayed)
    Mirror.stop();
  else
    Mirror.start();
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
  m_Of.m_Fleet.send(*Peer, want());
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
  m_HeardAt = Now;
  m_Clock.heard(From, Frame.m_Number);
  if (Frame.m_Leaf)
    return takeFromLeaf(From, Frame, Now);
  m_Of.m_Giver.heardHolder(From, Frame.m_Holder, Frame.m_Giving,
                           m_Clock.toldAt(Frame.m_Echo));
  noteConfig(From, Frame, Now);
  noteNewerList(Frame, Now);
  if (From == m_Uplink)
    m_UplinkHeardAt = Now;
  // Another relay would tell a leaf again of what its own one has told.
  if (!m_Of.m_Fleet.topology().relay() && From != m_Uplink)
    return;
  m_Of.m_State.m_Loads.told(From, Frame.m_Loads, Now);
  m_Of.m_Giver.demanded(Frame.m_Demand);
  heardOfLists(From, Frame, Now);
}

void FleetExchange::takeFromLeaf(const BoxName &From,
                                 const FleetDigestFrame &Frame, TimePoint Now) {
  const bool New = m_Leaves.insert_or_assign(From, Now).second;
  ServingState &State = m_Of.m_State;
  State.m_Loads.told(From, Frame.m_Loads, Now);
  // Told to the other relays as part of this box's own demand.
  for (const auto &[Key, Demand] : Frame.m_Demand)
    State.m_Demand[Key] += Demand;
  if (New && m_Of.m_Giver.giving())
    m_Of.m_Fleet.send(From, m_Of.m_Giver.contents());
}

void FleetExchange::noteConfig(const BoxName &From,
                               const FleetDigestFrame &Frame, TimePoint Now) {
  if (Frame.m_Config <= want().m_Config)
    return;
  if (Frame.m_Config > m_ConfigTold) {
    m_ConfigTold = Frame.m_Config;
    m_ConfigToldAt = Now;
    // Each box reads it from the store: half a megabyte sent to all relays by
    // one of them would fill its link for seconds. A stale answer may be new
    // enough.
    m_ConfigReadAt = Now;
    return m_Of.m_Config.readOnce(ReadKind::Stale);
  }
  if (m_Of.m_Config.reading())
    return;
  // All relays tell of it several times a second.
  if (Now - m_ConfigReadAt >= ReadConfigEvery) {
    m_ConfigReadAt = Now;
    m_Of.m_Config.readOnce(ReadKind::Current);
  }
  if (Now - m_ConfigToldAt < WatchTells)
    return;
  m_ConfigToldAt = Now;
  m_Of.m_Fleet.send(From, want());
}

void FleetExchange::noteNewerList(const FleetDigestFrame &Frame,
                                  TimePoint Now) {
  const bool Behind = m_Of.m_Upstreams.running() &&
                      Frame.m_ListAge <= mostListAge() &&
                      Frame.m_List > m_Of.m_Upstreams.revision();
  if (!Behind || Now - m_ListReadAt < ReadAgainEvery)
    return;
  m_ListReadAt = Now;
  m_Of.m_Upstreams.resync();
}

/// Whether there is news that this box does not read itself.
bool FleetExchange::behind(const FleetWantFrame &Newest) const {
  const auto Behind = [](const PrefixMirror &Mirror, std::uint64_t Known) {
    return !Mirror.running() && Known > Mirror.revision();
  };
  return Behind(m_Of.m_Upstreams, Newest.m_List) ||
         Behind(m_Of.m_Boxes, Newest.m_Boxes) ||
         (!m_Of.m_Config.running() && Newest.m_Config > want().m_Config);
}

/// By how much longer a word may have been under way than words are in good
/// times: held up by a link, or unread by this box while it was busy.
Duration FleetExchange::heldUp(const FleetDigestFrame &Frame,
                               TimePoint Now) const {
  const TimePoint SaidAfter = m_Clock.toldAt(Frame.m_Echo);
  return std::clamp<Duration>(Now - SaidAfter - UsualEcho, 0us, NoListAge);
}

void FleetExchange::heardOfLists(const BoxName &From,
                                 const FleetDigestFrame &Frame, TimePoint Now) {
  // Only one that reads the store itself knows more than what it is told.
  if (From != towardsGiver() && !Frame.m_Reads)
    return;
  // Its age counts from when it was said. One that the store turns away, or
  // whose watch is dead, knows no news.
  const Duration Age = Frame.m_ListAge + heldUp(Frame, Now);
  if (Age > mostListAge() || Frame.m_List < m_Of.m_Upstreams.revision()) {
    m_ListWords.erase(From);
    return;
  }
  const TimePoint AsOf = Now - Age;
  const BoxName Source = listSource(Now);
  const bool Newer =
      Source == From || AsOf - vouchedAsOf(Source) >= NewerSource;
  const ListWord &Word =
      m_ListWords[From] = {.m_AsOf = AsOf,
                           .m_Newest = {.m_Config = Frame.m_Config,
                                        .m_List = Frame.m_List,
                                        .m_Boxes = Frame.m_Boxes},
                           .m_AsOfBefore = vouchedAsOf(From)};
  // Something was lost on the way, or this box has not followed it so far.
  if (!Newer || !behind(Word.m_Newest))
    return;
  FleetWantFrame Wanted = want();
  // That is being read, see noteConfig().
  Wanted.m_Config = std::max(Wanted.m_Config, Frame.m_Config);
  m_Of.m_Fleet.send(From, Wanted);
}

void FleetExchange::take(const BoxName &From, const FleetLoadsFrame &Frame) {
  m_Of.m_State.m_Loads.toldChanges(From, Frame.m_Loads, EventLoop::now());
}

void FleetExchange::take(const BoxName &From, const FleetWantFrame &Frame) {
  const FleetWantFrame Own = want();
  if (Own.m_Config > Frame.m_Config)
    m_Of.m_Fleet.send(From,
                      keysFrame(m_Opts.m_ConfigPrefix, m_Of.m_Config.whole()));
  if (Own.m_List > Frame.m_List)
    m_Of.m_Fleet.send(
        From, keysFrame(m_Opts.m_UpstreamPrefix, m_Of.m_Upstreams.whole()));
  if (Own.m_Boxes > Frame.m_Boxes)
    m_Of.m_Fleet.send(From,
                      keysFrame(m_Opts.m_BoxPrefix, m_Of.m_Boxes.whole()));
}

PrefixMirror *FleetExchange::mirrorOf(const std::string &Prefix) {
  if (Prefix == m_Opts.m_ConfigPrefix)
    return &m_Of.m_Config;
  if (Prefix == m_Opts.m_UpstreamPrefix)
    return &m_Of.m_Upstreams;
  return Prefix == m_Opts.m_BoxPrefix ? &m_Of.m_Boxes : nullptr;
}

void FleetExchange::take(const BoxName &From, const FleetKeysFrame &Frame) {
  PrefixMirror::Delta News{.m_Since = Frame.m_Since,
                           .m_Revision = Frame.m_Revision,
                           .m_Items = {},
                           .m_Gone = Frame.m_Gone};
  for (const StoredValue &Each : Frame.m_Items)
    News.m_Items.push_back({.m_Key = Each.m_Key,
                            .m_Value = Each.m_Value,
                            .m_Revision = Each.m_Revision});
  PrefixMirror *Mirror = mirrorOf(Frame.m_Prefix);
  if (Mirror != nullptr && !Mirror->adopt(News))
    m_Of.m_Fleet.send(From, want());
  if (Frame.m_Since == 0)
    m_Of.m_Log.write("keys_from_peer", {{"peer", From.str()},
                                        {"prefix", Frame.m_Prefix},
                                        {"revision", Frame.m_Revision},
                                        {"keys", Frame.m_Items.size()}});
}

void FleetExchange::take(const BoxName &, const FleetContentsFrame &Frame) {
  if (Frame.m_FencingToken < m_ContentsToken)
    return;
  m_ContentsToken = Frame.m_FencingToken;
  const TimePoint Now = EventLoop::now();
  for (const EngineContents &Each : Frame.m_Engines) {
    ServingView &Upstreams = m_Of.m_State.m_Upstreams;
    Upstreams.told(Each.m_Engine, Each.m_Models, Each.m_Retiring, Now);
    Upstreams.toldLoad(Each.m_Engine, Each.m_Loading, Now + Each.m_ServesIn);
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
