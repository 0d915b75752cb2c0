#include "gateway/process/ListFollower.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include "gateway/process/OrderGiver.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace havenstair {

namespace {

/// A box reads the store itself when what it is told is older than this. The
/// oldest that a relay hears of in good times is 1.2 s: a watch waits 0.9 s, a
/// digest 0.25 s. All lie below the 2 s for which platforms let a leaving
/// upstream take work. Relays read one after the other, and leaves last, as a
/// digest of the first that succeeds spares the others their calls.
constexpr std::array<Duration, 3> RelayListAges{1400ms, 1600ms, 1750ms};
constexpr Duration LeastLeafListAge = 1400ms;
constexpr Duration MostLeafListAge = 2400ms;
/// Age of what a leaf was told of evacuations from which on it reads them
/// itself. Operators give boxes 5 s.
constexpr Duration LeafEvacuationAge = 3500ms;

/// What is left then of the time in which a leaving upstream takes work: for
/// the read and for a request on its way.
constexpr Duration ReadAndSend = 600ms;

/// Pauses between tries of a box to read the store. Relays tell their leaves as
/// soon as the store is back, so that these need not ask it: with the pauses of
/// a relay each leaf of a data centre that was cut off made 13 calls in 2 s.
constexpr RetryPauses RelayRetry{.m_First = 100ms, .m_Cap = 1s};
constexpr RetryPauses LeafRetry{.m_First = 500ms, .m_Cap = 5s};

/// Changes of the list that come together cost one call, and one pass over all
/// of its entries. Engines change their entries all the time, and a leaf reads
/// only while no relay does.
constexpr Duration RelayGather = 200ms;
constexpr Duration RelayGatherForEntry = 100us;
constexpr Duration MostRelayGather = 500ms;
constexpr Duration LeafGather = 1s;

/// A box that has come to know much newer lists tells of it at once: the boxes
/// behind it are about to read for themselves.
constexpr Duration MuchNewer = 500ms;

constexpr Duration ChooseSourceEvery = 100ms;

/// Another box's lists are asked for when they are newer by this than those of
/// the box that is followed.
constexpr Duration NewerSource = 500ms;

constexpr Duration ReadAgainEvery = 1s;

/// A box that starts waits this long for the list of boxes, and a leaf for its
/// uplink, before it reads the list of upstreams itself. When the whole fleet
/// starts, boxes enter the list within some tenths of a second.
constexpr Duration WaitForBoxes = 700ms;
constexpr Duration WaitForUplink = 2s;
/// The same for what its uplink knows, once it has one.
constexpr Duration WaitForLists = 10s;

/// Longest list, as a leaf knows it, that a leaf reads itself: the store gives
/// as much in one call. Of longer ones each read takes dozens of calls, and all
/// leaves of a data centre begin at once.
constexpr std::size_t MostLeafReads = 500;
/// How long an uplink may tell of lists that are too old.
constexpr Duration UplinkFailsAfter = 2s;

} // namespace

ListFollower::ListFollower(EventLoop &Loop, Parts Of, Options Opts,
                           Hooks Callbacks)
    : m_Of(Of), m_Opts(Opts), m_Hooks(std::move(Callbacks)),
      m_Config(
          {.m_Fleet = Of.m_Fleet,
           .m_State = Of.m_State,
           .m_Mirror = Of.m_Config,
           .m_Log = Of.m_Log},
          {.m_TowardsGiver = m_Hooks.m_TowardsGiver,
           .m_Ask =
               [this](const BoxName &Box) { m_Of.m_Fleet.send(Box, want()); },
           .m_DropConnections = m_Hooks.m_DropConnections,
           .m_Age = [this](TimePoint Now) { return configVouch(Now).m_Age; }}),
      m_ConfigAnswers(answerHooks()) {
  m_SourceTimer = Loop.every(ChooseSourceEvery, [this] { choose(); });
}

void ListFollower::arranged() {
  const bool Relay = m_Of.m_Fleet.topology().relay();
  for (PrefixMirror *Each : all())
    Each->setRetry(Relay ? RelayRetry : LeafRetry);
  choose();
}

void ListFollower::forget(const BoxName &Box) {
  m_ListWords.erase(Box);
  m_Config.forget(Box);
  m_ConfigAnswers.forget(Box);
}

/// The watch of the configuration that nobody vouches for waits for seconds,
/// and may be dead as long. So the box that reads the list for all watches the
/// configuration closely too, and its word of both is what others rely on: one
/// box that asks is always known by name, and without it each asks for itself.
void ListFollower::watchClosely() {
  // The box that gives orders must hear at once that it was replaced.
  m_Of.m_Boxes.watchClosely(m_Of.m_Giver.giving());
  m_Of.m_Config.watchClosely(m_ConfigClosely || m_Of.m_Upstreams.running());
}

void ListFollower::describe(FleetDigestFrame &Frame, TimePoint Now) {
  Frame.m_Config = m_Of.m_State.configVersion();
  Frame.m_ConfigKnown = std::max(Frame.m_Config, m_Config.newest().m_Version);
  Frame.m_List = m_Of.m_Upstreams.revision();
  Frame.m_Boxes = m_Of.m_Boxes.revision();
  Frame.m_Evacuations = m_Of.m_Evacuations.revision();
  Frame.m_ListAge = age(Now);
  Frame.m_Reads = m_Of.m_Upstreams.running();
  m_ToldAsOf = Now - Frame.m_ListAge;
}

/// Made once for all boxes that ask for it at one time.
const EncodedFrame &ListFollower::whole(const PrefixMirror &Of) {
  const auto Known = m_WholeCopies.find(Of.prefix());
  if (Known != m_WholeCopies.end() && Known->second.m_At == Of.revision())
    return Known->second.m_Frame;
  WholeCopy Copy{.m_At = Of.revision(),
                 .m_Frame = EncodedFrame(keysFrame(Of, Of.whole()))};
  return m_WholeCopies.insert_or_assign(Of.prefix(), std::move(Copy))
      .first->second.m_Frame;
}

void ListFollower::tellWhole(const BoxName &To) {
  if (!m_Of.m_Upstreams.part())
    m_Of.m_Fleet.send(To, whole(m_Of.m_Upstreams));
  if (m_FollowEvacuations)
    m_Of.m_Fleet.send(To, whole(m_Of.m_Evacuations));
}

/// How long ago this box's copies were the store's state, whoever read it.
Duration ListFollower::age(TimePoint Now) const {
  TimePoint At = std::min(listAsOf(), configAsOf());
  if (m_FollowEvacuations)
    At = std::min(At, evacuationsAsOf());
  return std::min<Duration>(NoListAge, Now - At);
}

/// A copy only ever becomes newer: what was once known of it stays true, also
/// while this box begins to read it and knows nothing by itself yet.
TimePoint ListFollower::listAsOf() const {
  return std::max(m_ListAsOf, knownAsOf(m_Of.m_Upstreams));
}

TimePoint ListFollower::knownAsOf(const PrefixMirror &Mirror) const {
  return Mirror.running() ? Mirror.confirmedAt() : vouchedAsOf(m_ListSource);
}

TimePoint ListFollower::configAsOf() const {
  const TimePoint Own = m_Of.m_Config.confirmedAt();
  // The box that reads for all goes by what it has read.
  return m_Of.m_Upstreams.running() ? Own
                                    : std::max(Own, vouchedAsOf(m_ListSource));
}

ConfigFreshness ListFollower::configVouch(TimePoint Now) const {
  return {.m_Age = std::min<Duration>(NoListAge, Now - configAsOf()),
          .m_By = m_Of.m_Upstreams.running() ? BoxName() : m_ListSource};
}

TimePoint ListFollower::evacuationsAsOf() const {
  return knownAsOf(m_Of.m_Evacuations);
}

/// Age from which on this box reads the store itself.
Duration ListFollower::mostListAge() const {
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

FleetWantFrame ListFollower::want() const {
  return {.m_Config = m_Of.m_State.configVersion(),
          .m_List = lacksWhole() ? 0 : m_Of.m_Upstreams.revision(),
          .m_Boxes = m_Of.m_Boxes.revision(),
          .m_Evacuations = m_Of.m_Evacuations.revision()};
}

/// A relay that was a leaf knows only what a leaf needs.
bool ListFollower::lacksWhole() const {
  return m_Of.m_Upstreams.part() && m_Of.m_Fleet.topology().relay();
}

/// Whether this box, a leaf, does not read the list of upstreams itself.
bool ListFollower::followsUplink() const {
  return !m_Of.m_Fleet.topology().relay() &&
         m_Of.m_Upstreams.items().size() > MostLeafReads &&
         !m_Hooks.m_TowardsGiver().empty();
}

bool ListFollower::uplinkFails(TimePoint Now) const {
  return followsUplink() && Now - listAsOf() > mostListAge() + UplinkFailsAfter;
}

FleetKeysFrame ListFollower::keysFrame(const PrefixMirror &Of,
                                       const PrefixMirror::Delta &News) {
  FleetKeysFrame Frame{.m_Prefix = Of.prefix(),
                       .m_Since = News.m_Since,
                       .m_Revision = News.m_Revision,
                       .m_Part = News.m_Part,
                       .m_Items = {},
                       .m_Gone = News.m_Gone};
  for (const StoreItem &Item : News.m_Items)
    Frame.m_Items.push_back({.m_Key = Item.m_Key,
                             .m_Value = Item.m_Value,
                             .m_Revision = Item.m_Revision});
  return Frame;
}

PrefixMirror::Delta ListFollower::newsIn(const FleetKeysFrame &Frame) {
  PrefixMirror::Delta News{.m_Since = Frame.m_Since,
                           .m_Revision = Frame.m_Revision,
                           .m_Part = Frame.m_Part,
                           .m_Items = {},
                           .m_Gone = Frame.m_Gone};
  for (const StoredValue &Each : Frame.m_Items)
    News.m_Items.push_back({.m_Key = Each.m_Key,
                            .m_Value = Each.m_Value,
                            .m_Revision = Each.m_Revision});
  return News;
}

TimePoint ListFollower::vouchedAsOf(const BoxName &Box) const {
  const auto Found = m_ListWords.find(Box);
  if (Found == m_ListWords.end())
    return {};
  const ListWord &Word = Found->second;
  const bool Behind =
      listsBehind(Word.m_Newest) || Word.m_Newest.m_Config > want().m_Config;
  return Behind ? Word.m_AsOfBefore : Word.m_AsOf;
}

bool ListFollower::vouches(const BoxName &Box, TimePoint Now) const {
  return Now - vouchedAsOf(Box) <= mostListAge();
}

/// The box that gives orders watches the list for all, and relays pass it on,
/// as they do the list of boxes: every box that watches pays for each change.
/// While the store turns that box away, another relay reads in its place.
BoxName ListFollower::listSource(TimePoint Now) const {
  const BoxName First = m_Hooks.m_TowardsGiver();
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

Duration ListFollower::gather() const {
  if (!m_Of.m_Fleet.topology().relay())
    return LeafGather;
  const auto Entries =
      static_cast<Duration::rep>(m_Of.m_Upstreams.items().size());
  return std::clamp<Duration>(Entries * RelayGatherForEntry, RelayGather,
                              MostRelayGather);
}

void ListFollower::choose() {
  const TimePoint Now = EventLoop::now();
  m_Of.m_Upstreams.setGather(gather());
  m_ListAsOf = listAsOf();
  m_ListSource = listSource(Now);
  const bool Relayed = !m_Of.m_Giver.giving() && vouches(m_ListSource, Now);
  const FleetTopology &Topology = m_Of.m_Fleet.topology();
  const bool HasList = m_Of.m_Upstreams.revision() > 0;
  const bool HasConfig = m_Of.m_State.m_Config != nullptr;
  if (Relayed || !startsSoon(Now)) {
    // What silenced the box that reads may have silenced these connections too.
    if (!Relayed && !m_Of.m_Upstreams.running())
      m_Hooks.m_DropConnections();
    follow(m_Of.m_Upstreams, (Relayed || followsUplink()) && HasList);
    follow(m_Of.m_Evacuations, leavesEvacuations(Now, Relayed));
    // A leaf that the store turns away does not try for both.
    const bool Reachable =
        Topology.relay() || m_Of.m_Upstreams.confirmedAt() >= Now - LeafGather;
    // A small fleet learns of a configuration sooner than by way of others.
    follow(m_Of.m_Config, (Relayed || !Reachable) && !Topology.flat() &&
                              (HasConfig || m_Config.asksUplink()));
  }
  watchClosely();
  m_Config.pursue(Now);
  m_ConfigAnswers.proceed(m_Of.m_State.configVersion());
  if (Now - age(Now) - m_ToldAsOf >= MuchNewer)
    m_Hooks.m_TellNow();
  // A leaf needs to know of other boxes only while it has no relay.
  follow(m_Of.m_Boxes, !Topology.relay() && !m_Hooks.m_TowardsGiver().empty());
}

/// Whether this box need not, or cannot, read the evacuations itself.
bool ListFollower::leavesEvacuations(TimePoint Now, bool Relayed) const {
  if (!m_FollowEvacuations)
    return true;
  if (m_Of.m_Evacuations.revision() > 0) {
    // Nobody follows a leaf, so that it need not read before the bound asks.
    const bool Leaf = !m_Of.m_Fleet.topology().relay();
    if (Relayed || (Leaf && !m_Of.m_Evacuations.running() &&
                    Now - evacuationsAsOf() < LeafEvacuationAge))
      return true;
  }
  // Each try costs. The list's own tell when the store answers again.
  return Now - m_Of.m_Upstreams.confirmedAt() > MostLeafListAge;
}

/// Whether this box, which has just started, may yet be told of the list.
bool ListFollower::startsSoon(TimePoint Now) const {
  if (m_Of.m_Upstreams.running())
    return false;
  const bool OthersEnter = m_Opts.m_FirstStart || m_Of.m_Fleet.size() == 1;
  if (OthersEnter && Now - m_StartedAt < WaitForBoxes)
    return true;
  const Duration Patience =
      m_Hooks.m_TowardsGiver().empty() ? WaitForUplink : WaitForLists;
  return !m_Of.m_Fleet.topology().relay() && Now - m_StartedAt < Patience;
}

void ListFollower::follow(PrefixMirror &Mirror, bool Relayed) {
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

void ListFollower::noteNewer(const FleetDigestFrame &Frame, TimePoint Now) {
  const bool Behind = m_Of.m_Upstreams.running() &&
                      Frame.m_ListAge <= mostListAge() &&
                      Frame.m_List > m_Of.m_Upstreams.revision();
  if (!Behind || Now - m_ListReadAt < ReadAgainEvery)
    return;
  m_ListReadAt = Now;
  m_Of.m_Upstreams.resync();
}

/// Whether there is news of lists that this box does not read itself.
bool ListFollower::listsBehind(const FleetWantFrame &Newest) const {
  const auto Behind = [](const PrefixMirror &Mirror, std::uint64_t Known) {
    return !Mirror.running() && Known > Mirror.revision();
  };
  return Behind(m_Of.m_Upstreams, Newest.m_List) ||
         (lacksWhole() && !m_Of.m_Upstreams.running()) ||
         Behind(m_Of.m_Boxes, Newest.m_Boxes) ||
         (m_FollowEvacuations &&
          Behind(m_Of.m_Evacuations, Newest.m_Evacuations));
}

void ListFollower::heard(const BoxName &From, const FleetDigestFrame &Frame,
                         Duration HeldUp, TimePoint Now) {
  // Only one that reads the store itself knows more than what it is told.
  if (From != m_Hooks.m_TowardsGiver() && !Frame.m_Reads)
    return;
  // Its age counts from when it was said. One that the store turns away, or
  // whose watch is dead, knows no news.
  const Duration Age = Frame.m_ListAge + HeldUp;
  // Nor does one that does not follow the evacuations know them.
  const bool Knows = !m_FollowEvacuations || Frame.m_Evacuations > 0;
  if (Age > mostListAge() || !Knows ||
      Frame.m_List < m_Of.m_Upstreams.revision()) {
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
                                        .m_Boxes = Frame.m_Boxes,
                                        .m_Evacuations = Frame.m_Evacuations},
                           .m_AsOfBefore = vouchedAsOf(From)};
  // Something was lost on the way, or this box has not followed it so far.
  if (!Newer || !listsBehind(Word.m_Newest))
    return;
  FleetWantFrame Wanted = want();
  // ConfigFollower asks for that.
  Wanted.m_Config = std::max(Wanted.m_Config, Frame.m_Config);
  m_Of.m_Fleet.send(From, Wanted);
}

void ListFollower::answer(const BoxName &From, const FleetWantFrame &Frame) {
  const FleetWantFrame Own = want();
  m_ConfigAnswers.asked(From, Frame.m_Config, Own.m_Config);
  // It asks again with the next digest, and what it lacks may lie in its way.
  if (m_Of.m_Fleet.slow(From))
    return;
  const auto Tell = [&](const PrefixMirror &Mirror, std::uint64_t Held,
                        std::uint64_t Known) {
    if (Held > Known)
      m_Of.m_Fleet.send(From, whole(Mirror));
  };
  if (Own.m_List > Frame.m_List)
    answerList(From);
  Tell(m_Of.m_Boxes, Own.m_Boxes, Frame.m_Boxes);
  Tell(m_Of.m_Evacuations, Own.m_Evacuations, Frame.m_Evacuations);
}

ConfigAnswers::Hooks ListFollower::answerHooks() {
  return {
      .m_Busy = [this] { return m_Of.m_Fleet.busy(); },
      .m_Slow = [this](const BoxName &Box) { return m_Of.m_Fleet.slow(Box); },
      .m_Send =
          [this](const BoxName &Box) {
            m_Of.m_Fleet.send(Box, whole(m_Of.m_Config));
          },
      .m_Delayed =
          [this](const BoxName &Box, std::string_view Why) {
            m_Of.m_Log.write("config_delayed", {{"peer", Box.str()},
                                                {"version", want().m_Config},
                                                {"why", Why}});
          }};
}

/// A part of the list is of no use to anybody else.
void ListFollower::answerList(const BoxName &From) {
  const FleetTopology &Topology = m_Of.m_Fleet.topology();
  if (m_Of.m_Upstreams.part())
    return;
  if (Topology.flat() || Topology.isRelay(From))
    m_Of.m_Fleet.send(From, whole(m_Of.m_Upstreams));
  else if (Topology.relay())
    m_Hooks.m_TellLeaf(From);
}

std::array<PrefixMirror *, 4> ListFollower::all() const {
  return {&m_Of.m_Config, &m_Of.m_Upstreams, &m_Of.m_Boxes,
          &m_Of.m_Evacuations};
}

PrefixMirror *ListFollower::mirrorOf(const std::string &Prefix) const {
  if (Prefix == m_Of.m_Evacuations.prefix() && !m_FollowEvacuations)
    return nullptr;
  for (PrefixMirror *Each : all())
    if (Each->prefix() == Prefix)
      return Each;
  return nullptr;
}

void ListFollower::adopt(const BoxName &From, const FleetKeysFrame &Frame) {
  PrefixMirror *Mirror = mirrorOf(Frame.m_Prefix);
  if (Mirror != nullptr && !Mirror->adopt(newsIn(Frame))) {
    FleetWantFrame Wanted = want();
    // A copy of the other kind is of no use, however new it is.
    if (Mirror == &m_Of.m_Upstreams && Frame.m_Part != Mirror->part())
      Wanted.m_List = 0;
    m_Of.m_Fleet.send(From, Wanted);
  }
  if (Frame.m_Since == 0)
    m_Of.m_Log.write("keys_from_peer", {{"peer", From.str()},
                                        {"prefix", Frame.m_Prefix},
                                        {"revision", Frame.m_Revision},
                                        {"keys", Frame.m_Items.size()}});
}

} // namespace havenstair
