#include "gateway/process/ListFollower.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include "gateway/process/ListFrames.h"
#include "gateway/process/OrderLeader.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace havenstair {

namespace {

/// A leaf reads the evacuations itself when its copy is older than this.
/// Operators give boxes 5 s.
constexpr Duration LeafMaxEvacuationAge = 3500ms;

/// A box whose lists become newer by this much sends a digest at once: the
/// boxes behind it are about to read the store themselves.
constexpr Duration MuchNewerBy = 500ms;

constexpr Duration ChooseSourceInterval = 100ms;

/// Another box's lists are requested when they are newer by this than those of
/// the box that is followed.
constexpr Duration NewerSourceBy = 500ms;

constexpr Duration RereadInterval = 1s;

/// How long an uplink may send outdated lists before another one is tried.
constexpr Duration UplinkOutdatedAfter = 2s;

} // namespace

ListFollower::ListFollower(EventLoop &Loop, Dependencies Deps, Options Opts,
                           Hooks Callbacks)
    : m_Deps(Deps), m_Opts(Opts), m_Hooks(std::move(Callbacks)),
      m_Copies({.m_Config = Deps.m_Config,
                .m_Upstreams = Deps.m_Upstreams,
                .m_Boxes = Deps.m_Boxes,
                .m_Evacuations = Deps.m_Evacuations},
               Deps.m_State, Deps.m_Fleet.topology()),
      m_Peers(m_Copies),
      m_Config(
          {.m_Fleet = Deps.m_Fleet,
           .m_State = Deps.m_State,
           .m_Cache = Deps.m_Config,
           .m_Log = Deps.m_Log},
          {.m_NextHopToLeader = m_Hooks.m_NextHopToLeader,
           .m_Ask =
               [this](const BoxName &Box) {
                 m_Deps.m_Fleet.send(Box, m_Copies.makeWantFrame());
               },
           .m_DropConnections = m_Hooks.m_DropConnections,
           .m_Age =
               [this](TimePoint Now) { return configFreshness(Now).m_Age; }}),
      m_Sender({.m_Fleet = Deps.m_Fleet,
                .m_Copies = m_Copies,
                .m_Eras = Deps.m_Eras,
                .m_Log = Deps.m_Log},
               m_Hooks.m_SendToLeaf) {
  m_SourceTimer = Loop.every(ChooseSourceInterval, [this] { chooseSource(); });
}

FleetRole ListFollower::role() const {
  return m_Deps.m_Fleet.topology().relay() ? FleetRole::Relay : FleetRole::Leaf;
}

void ListFollower::onTopologyChanged() {
  for (WatchCache *Each : m_Copies.all())
    Each->setRetry(listReadRetry(role()));
  chooseSource();
}

void ListFollower::forget(const BoxName &Box) {
  m_Peers.forget(Box);
  m_Config.forget(Box);
  m_Sender.configQueue().forget(Box);
}

/// A watch of the configuration that is not watched closely waits for many
/// seconds, and may be dead for as long. So the box that reads the list for all
/// also watches the configuration closely, and the others rely on what it
/// reports of both: without one box that is known to ask, each would have to
/// ask for itself.
void ListFollower::watchClosely() {
  // The leader must learn at once that it was replaced.
  m_Deps.m_Boxes.watchClosely(m_Deps.m_Leader.leading());
  m_Deps.m_Config.watchClosely(m_ConfigClosely || m_Deps.m_Upstreams.running());
}

void ListFollower::describe(FleetDigestFrame &Frame, TimePoint Now) {
  Frame.m_Config = m_Deps.m_State.configVersion();
  Frame.m_ConfigKnown = std::max(Frame.m_Config, m_Config.newest().m_Version);
  Frame.m_Era = m_Deps.m_Eras.current();
  Frame.m_List = m_Deps.m_Upstreams.revision();
  Frame.m_Boxes = m_Deps.m_Boxes.revision();
  Frame.m_Evacuations = m_Deps.m_Evacuations.revision();
  Frame.m_ListAge = age(Now);
  Frame.m_Reads = m_Deps.m_Upstreams.running();
  m_SentConfirmedAt = Now - Frame.m_ListAge;
}

/// Time since this box's copies were confirmed as the store's state, whoever
/// read it.
Duration ListFollower::age(TimePoint Now) const {
  TimePoint At = std::min(listConfirmedAt(), configConfirmedAt());
  if (m_Copies.followsEvacuations())
    At = std::min(At, evacuationsConfirmedAt());
  return std::min<Duration>(NoListAge, Now - At);
}

/// A copy only becomes newer: a confirmation stays valid, also when this box
/// begins to read and has not confirmed the copy itself yet.
TimePoint ListFollower::listConfirmedAt() const {
  return std::max(m_ListConfirmedAt, confirmedAtOf(m_Deps.m_Upstreams));
}

TimePoint ListFollower::confirmedAtOf(const WatchCache &Cache) const {
  return Cache.running() ? Cache.confirmedAt()
                         : m_Peers.confirmedAt(m_ListSource);
}

TimePoint ListFollower::configConfirmedAt() const {
  const TimePoint Own = m_Deps.m_Config.confirmedAt();
  // The box that reads for all relies only on its own reads.
  return m_Deps.m_Upstreams.running()
             ? Own
             : std::max(Own, m_Peers.confirmedAt(m_ListSource));
}

ConfigFreshness ListFollower::configFreshness(TimePoint Now) const {
  return {.m_Age = std::min<Duration>(NoListAge, Now - configConfirmedAt()),
          .m_By = m_Deps.m_Upstreams.running() ? BoxName() : m_ListSource};
}

TimePoint ListFollower::evacuationsConfirmedAt() const {
  return confirmedAtOf(m_Deps.m_Evacuations);
}

/// Age of the lists from which on this box reads the store itself.
Duration ListFollower::maxListAge() const {
  const FleetTopology &Topology = m_Deps.m_Fleet.topology();
  if (!Topology.relay())
    return leafMaxListAge(m_Opts.m_DrainTimeout);
  std::set<BoxName> Deputies = Topology.relays();
  Deputies.erase(m_Deps.m_Leader.leader().m_Box);
  const auto Rank =
      std::distance(Deputies.begin(), Deputies.find(m_Deps.m_Fleet.self()));
  return relayMaxListAge(static_cast<std::size_t>(Rank));
}

/// Whether this box is a leaf that leaves reading the list of upstreams to its
/// uplink.
bool ListFollower::followsUplink() const {
  return !m_Deps.m_Fleet.topology().relay() &&
         leavesListToUplink(m_Deps.m_Upstreams.items().size()) &&
         m_Hooks.m_UplinkResponds();
}

bool ListFollower::uplinkOutdated(TimePoint Now) const {
  return followsUplink() &&
         Now - listConfirmedAt() > maxListAge() + UplinkOutdatedAfter;
}

bool ListFollower::confirms(const BoxName &Box, TimePoint Now) const {
  return Now - m_Peers.confirmedAt(Box) <= maxListAge();
}

/// The leader watches the list for all, and relays distribute it, like the list
/// of boxes: every box that watches pays for each change. While the store
/// refuses the leader, another relay reads in its place.
BoxName ListFollower::listSource(TimePoint Now) const {
  const BoxName First = m_Hooks.m_NextHopToLeader();
  if (confirms(First, Now) || !m_Deps.m_Fleet.topology().relay())
    return First;
  // When several boxes read the list, all but the first by name stop.
  const bool Reads = m_Deps.m_Upstreams.running();
  const BoxName Other = m_Peers.firstOf([&](const BoxName &Each) {
    return confirms(Each, Now) && (!Reads || Each < m_Deps.m_Fleet.self());
  });
  return Other.empty() ? First : Other;
}

void ListFollower::chooseSource() {
  const TimePoint Now = EventLoop::now();
  const Duration CoalesceDelay =
      listCoalesceDelay(role(), m_Deps.m_Upstreams.items().size());
  m_Deps.m_Upstreams.setCoalesceDelay(CoalesceDelay);
  m_ListConfirmedAt = listConfirmedAt();
  m_ListSource = listSource(Now);
  const bool Relayed =
      !m_Deps.m_Leader.leading() && confirms(m_ListSource, Now);
  const FleetTopology &Topology = m_Deps.m_Fleet.topology();
  const bool HasList = !m_Deps.m_Upstreams.revision().none();
  const bool HasConfig = m_Deps.m_State.m_Config != nullptr;
  if (Relayed || !waitsAtStart(Now)) {
    // What cut off the box that reads may have cut off these connections too.
    if (!Relayed && !m_Deps.m_Upstreams.running())
      m_Hooks.m_DropConnections();
    setRelayed(m_Deps.m_Upstreams, (Relayed || followsUplink()) && HasList);
    setRelayed(m_Deps.m_Evacuations, skipsEvacuations(Now, Relayed));
    // A leaf that cannot reach the store does not try to read both lists.
    const bool Reachable =
        Topology.relay() ||
        m_Deps.m_Upstreams.confirmedAt() >= Now - CoalesceDelay;
    // In a small fleet a box's own watch is faster than updates through other
    // boxes.
    setRelayed(m_Deps.m_Config, (Relayed || !Reachable) && !Topology.flat() &&
                                    (HasConfig || m_Config.asksUplink()));
  }
  watchClosely();
  m_Config.proceed(Now);
  m_Sender.configQueue().sendWaiting(m_Deps.m_State.configVersion());
  if (Now - age(Now) - m_SentConfirmedAt >= MuchNewerBy)
    m_Hooks.m_SendNow();
  // A leaf needs the list of boxes only while it has no relay.
  setRelayed(m_Deps.m_Boxes, !Topology.relay() && m_Hooks.m_UplinkResponds());
}

/// Whether this box need not or cannot read the evacuations itself.
bool ListFollower::skipsEvacuations(TimePoint Now, bool Relayed) const {
  if (!m_Copies.followsEvacuations())
    return true;
  if (!m_Deps.m_Evacuations.revision().none()) {
    // Nobody follows a leaf, so it reads only when its copy becomes too old.
    const bool Leaf = !m_Deps.m_Fleet.topology().relay();
    if (Relayed || (Leaf && !m_Deps.m_Evacuations.running() &&
                    Now - evacuationsConfirmedAt() < LeafMaxEvacuationAge))
      return true;
  }
  // Each try costs a call; the list's own calls show when the store answers
  // again.
  return storeSeemsAway(Now - m_Deps.m_Upstreams.confirmedAt());
}

/// Whether this box has just started and may still be sent the list.
bool ListFollower::waitsAtStart(TimePoint Now) const {
  if (m_Deps.m_Upstreams.running())
    return false;
  return awaitsFirstList(
      {.m_Role = role(),
       .m_SinceStart = Now - m_StartedAt,
       .m_OthersEnter = m_Opts.m_FirstStart || m_Deps.m_Fleet.size() == 1,
       .m_HasUplink = m_Hooks.m_UplinkResponds()});
}

void ListFollower::setRelayed(WatchCache &Cache, bool Relayed) {
  if (Relayed == !Cache.running())
    return;
  m_Deps.m_Log.write(
      "list_source",
      {{"list", Cache.prefix()}, {"relay", Relayed ? m_ListSource.str() : ""}});
  if (Relayed)
    Cache.stop();
  else
    Cache.start();
}

void ListFollower::readIfBehind(const FleetDigestFrame &Frame, TimePoint Now) {
  const bool Behind = m_Deps.m_Upstreams.running() &&
                      Frame.m_ListAge <= maxListAge() &&
                      Frame.m_List > m_Deps.m_Upstreams.revision();
  if (!Behind || Now - m_ListReadAt < RereadInterval)
    return;
  m_ListReadAt = Now;
  m_Deps.m_Upstreams.resync();
}

void ListFollower::recordDigest(const BoxName &From,
                                const FleetDigestFrame &Frame,
                                Duration ExcessDelay, TimePoint Now) {
  // Only a box that reads the store itself can be fresher than the box towards
  // the leader.
  if (From != m_Hooks.m_NextHopToLeader() && !Frame.m_Reads)
    return;
  if (differs(From, Frame)) {
    m_Deps.m_Log.write("list_differs",
                       {{"peer", From.str()},
                        {"revision", Frame.m_List.m_Number},
                        {"keys", m_Deps.m_Upstreams.items().size()}});
    FleetWantFrame Wanted = m_Copies.makeWantFrame();
    Wanted.m_List = {};
    return m_Deps.m_Fleet.send(From, Wanted);
  }
  // The age counts from when the digest was sent.
  const Duration Age = Frame.m_ListAge + ExcessDelay;
  if (!mayConfirm(Frame, Age)) {
    m_Peers.forget(From);
    return;
  }
  const TimePoint ConfirmedAt = Now - Age;
  const BoxName Source = listSource(Now);
  const bool Newer = Source == From ||
                     ConfirmedAt - m_Peers.confirmedAt(Source) >= NewerSourceBy;
  const FleetWantFrame Newest{.m_Config = Frame.m_Config,
                              .m_List = Frame.m_List,
                              .m_Boxes = Frame.m_Boxes,
                              .m_Evacuations = Frame.m_Evacuations};
  m_Peers.record(From, Newest, ConfirmedAt);
  // Request the lists: an update was lost, or this box has not followed the
  // sender so far.
  if (!Newer || !m_Copies.behind(Newest))
    return;
  FleetWantFrame Wanted = m_Copies.makeWantFrame();
  // ConfigFollower requests the configuration.
  Wanted.m_Config = std::max(Wanted.m_Config, Frame.m_Config);
  m_Deps.m_Fleet.send(From, Wanted);
}

/// Whether this box, a leaf, has another part of the list than its uplink, the
/// sender of \p Frame, has sent it as of the same revision.
bool ListFollower::differs(const BoxName &From,
                           const FleetDigestFrame &Frame) const {
  const WatchCache &List = m_Deps.m_Upstreams;
  return From == m_Hooks.m_NextHopToLeader() &&
         !m_Deps.m_Fleet.topology().relay() && List.partial() &&
         Frame.m_ListFingerprint != 0 && Frame.m_List == List.revision() &&
         Frame.m_ListFingerprint != List.fingerprint();
}

/// Whether the sender of \p Frame, whose lists are \p Age old, can confirm this
/// box's copies. One that cannot reach the store, whose watch is dead or that
/// does not follow the evacuations cannot.
bool ListFollower::mayConfirm(const FleetDigestFrame &Frame,
                              Duration Age) const {
  const bool Knows =
      !m_Copies.followsEvacuations() || !Frame.m_Evacuations.none();
  return Age <= maxListAge() && Knows &&
         Frame.m_List >= m_Deps.m_Upstreams.revision();
}

/// Whether \p Frame would leave this box without any upstream. A box that makes
/// a mistake can say so, while the store has them all; to ask it costs little
/// where it has none.
bool ListFollower::takesAll(const WatchCache &Cache,
                            const FleetKeysFrame &Frame) const {
  return &Cache == &m_Deps.m_Upstreams && Frame.m_Items.empty() &&
         !Cache.items().empty() && Frame.m_Revision > Cache.revision() &&
         (Frame.m_Since.none() || Frame.m_Gone.size() >= Cache.items().size());
}

void ListFollower::rereadList() {
  const TimePoint Now = EventLoop::now();
  if (Now - m_ListReadAt < RereadInterval)
    return;
  m_ListReadAt = Now;
  m_Deps.m_Upstreams.readOnce(ReadKind::Current);
}

void ListFollower::adopt(const BoxName &From, const FleetKeysFrame &Frame) {
  WatchCache *Cache = m_Copies.withPrefix(Frame.m_Prefix);
  const bool Doubted = Cache != nullptr && takesAll(*Cache, Frame);
  if (Doubted)
    rereadList();
  else if (Cache != nullptr && !Cache->adopt(deltaIn(Frame))) {
    FleetWantFrame Wanted = m_Copies.makeWantFrame();
    // A partial and a whole copy cannot be merged, whatever their revisions.
    if (Cache == &m_Deps.m_Upstreams && Frame.m_Part != Cache->partial())
      Wanted.m_List = {};
    m_Deps.m_Fleet.send(From, Wanted);
  }
  if (Cache == &m_Deps.m_Config)
    offerConfig(Frame);
  if (Frame.m_Since.none() || !Frame.m_Gone.empty() || !Frame.m_Items.empty())
    m_Deps.m_Log.write("keys_from_peer",
                       {{"peer", From.str()},
                        {"prefix", Frame.m_Prefix},
                        {"revision", Frame.m_Revision.m_Number},
                        {"era", Frame.m_Revision.m_Era},
                        {"since", Frame.m_Since.m_Number},
                        {"part", Frame.m_Part},
                        {"gone", Frame.m_Gone.size()},
                        {"doubted", Doubted},
                        {"keys", Frame.m_Items.size()}});
}

/// Configurations are compared by the versions that operators give them: a
/// newer one may come with an older revision, kept by a box that knew it before
/// the store was restored.
void ListFollower::offerConfig(const FleetKeysFrame &Frame) const {
  for (const StoreItem &Each : deltaIn(Frame).m_Items) {
    const auto Held = m_Deps.m_Config.items().find(Each.m_Key);
    if (Held == m_Deps.m_Config.items().end() ||
        Held->second.m_Value != Each.m_Value)
      m_Hooks.m_OfferConfig(Each);
  }
}

} // namespace havenstair
