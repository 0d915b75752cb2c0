#include "havenstaird/process/Box.h"

#include "decisions/common/StableHash.h"
#include "havenstaird/common/Log.h"
#include "havenstaird/process/BoxViews.h"
#include "wire/common/Crypto.h"
#include <algorithm>
#include <random>

namespace havenstair {

namespace {

constexpr std::size_t IncarnationBytes = 4;
constexpr std::size_t MoveHistory = 2000;
constexpr std::size_t RequestHistory = 4096;
constexpr Duration TickEvery = 50ms;
constexpr Duration SlowTickEvery = 1s;
/// A link on which nothing was received for this long is closed, so that the
/// requests that use it fail rather than hang.
constexpr Duration SilenceLimit = 5s;
/// Time for the load balancer to notice that the box is leaving.
constexpr Duration BalancerGrace = 1s;
/// Time for peers to confirm that they send no more work to a stopping box.
constexpr Duration HandoverTimeout = 5s;
constexpr std::size_t EntryBuffer = 1 << 20;

void logListener(const PortListener::Report &Now) {
  if (!Now.listening())
    logWarning(LogPart::Box, "Cannot listen on " + Now.m_Address.str() +
                                 " yet: " + Now.m_Obstacle);
}

} // namespace

BoxName makeIncarnation(const BoxName &Box) {
  return BoxName(Box.str() + "~" + randomHex(IncarnationBytes));
}

std::string boxOfIncarnation(const BoxName &Incarnation) {
  return Incarnation.str().substr(0, Incarnation.str().find('~'));
}

double Box::randomUnit() {
  static std::mt19937_64 Generator{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(Generator);
}

Box::Box(EventLoop &Loop, Settings Given, std::function<void()> OnStopped)
    : m_Loop(Loop), m_Settings(std::move(Given)),
      m_Self(makeIncarnation(m_Settings.m_Box)), m_Http(Loop),
      m_Platform(m_Http, {.m_Address = m_Settings.m_Platform,
                          .m_OnCall =
                              [this](const char *Call) {
                                m_Metrics.platformCall(Call);
                              }}),
      m_Moves(MoveHistory), m_Requests(RequestHistory),
      m_OnStopped(std::move(OnStopped)),
      m_Mesh(Loop, meshOptions(), meshHooks()),
      m_Forwarder(
          Loop, m_Self,
          [this](const BoxName &To, const PeerFrame &Frame) {
            return sendFrame(To, Frame);
          },
          [this](const BoxName &Origin, const ForwardedRequest &Request,
                 AnswerSinkPtr Sink) {
            return runForwarded(Origin, Request, std::move(Sink));
          }),
      m_Table(Loop, m_Platform, tableOptions()),
      m_Owners(Loop, m_Http, m_Platform, m_Directory, ownerOptions()),
      m_Dispatcher(Loop, m_Forwarder, dispatchView(), dispatcherOptions()),
      m_Keyed(
          m_Dispatcher,
          {.m_Self = m_Self,
           .m_Registry = {.m_Retention = m_Settings.m_KeyRetention,
                          .m_ClockSkew = m_Settings.m_ClockSkew},
           .m_MayOwn =
               [this] { return m_Membership && m_Membership->leaseHeld(); }}),
      m_KeyRouter(Loop, m_Forwarder, keyRouterOptions()),
      m_Gate(Loop, m_Limiter, gateOptions()),
      m_CallerApi(m_Limiter, m_Metrics, m_Requests, callerOptions()),
      m_AdminApi(m_Table, adminOptions()),
      m_CallerServer(
          Loop, serverOptions(m_Settings.m_Callers),
          [this](const HttpExchangePtr &Exchange) {
            if (!m_AdminApi.handleHealth(Exchange))
              m_CallerApi.handle(Exchange);
          },
          [this](const HttpExchangePtr &Exchange, HttpServer::Turned Why) {
            m_CallerApi.turnedAway(Exchange, Why);
          }),
      m_OperatorServer(Loop, serverOptions(m_Settings.m_Operators),
                       [this](const HttpExchangePtr &Exchange) {
                         m_AdminApi.handle(Exchange);
                       }),
      m_Planner(Loop, plannerOptions()),
      m_Exchange(m_Directory, m_Owners, m_Table, m_Planner, exchangeOptions()) {
  m_Membership =
      std::make_unique<Membership>(m_Loop, m_Platform, membershipOptions());
  m_Mesh.learnSeeds(m_Settings.m_Seeds);
  m_Tick = m_Loop.every(TickEvery, [this] { tick(); });
  m_SlowTick = m_Loop.every(SlowTickEvery, [this] { slowTick(); });
  m_DigestTimer = m_Loop.every(m_Settings.m_DigestEvery,
                               [this] { m_Exchange.sendDigests(); });
}

Box::~Box() = default;

PeerMesh::Options Box::meshOptions() const {
  return {.m_Listen = m_Settings.m_Peers,
          .m_Link = {.m_Self = m_Self,
                     .m_DataCentre = m_Settings.m_DataCentre,
                     .m_Secret = m_Settings.m_PeerSecret},
          .m_Random = randomUnit};
}

PeerMesh::Hooks Box::meshHooks() {
  return {
      .m_Up =
          [this](const BoxName &Peer, const DataCentreName &DataCentre) {
            peerUp(Peer, DataCentre);
          },
      .m_Frame = [this](const BoxName &Peer,
                        PeerFrame Frame) { onFrame(Peer, std::move(Frame)); },
      .m_Down = [this](const BoxName &Peer) { peerDown(Peer); },
      .m_Listening = logListener};
}

Membership::Options Box::membershipOptions() {
  Membership::Options Opts;
  Opts.m_Self = {.m_Box = m_Self,
                 .m_DataCentre = m_Settings.m_DataCentre,
                 .m_Peers = m_Mesh.endpoint(),
                 .m_Callers = m_CallerServer.endpoint(),
                 .m_Operators = m_OperatorServer.endpoint()};
  Opts.m_Lease.m_TimeToLive = m_Settings.m_LeaseTimeToLive;
  Opts.m_Lease.m_RenewEvery = m_Settings.m_LeaseRenewEvery;
  Opts.m_Random = randomUnit;
  Opts.m_OnAssignment = [this](const Assignment &Current) {
    assignmentChanged(Current);
  };
  Opts.m_OnUpstreams = [this](const UpstreamList &List) {
    upstreamsChanged(List);
  };
  Opts.m_OnBoxes = [this](const std::vector<PeerAddress> &Boxes) {
    m_Mesh.learn(Boxes);
    updateShare();
  };
  Opts.m_OnBoxGone = [this](const BoxName &Box) {
    m_Mesh.forget(Box);
    updateShare();
  };
  Opts.m_Upstreams = [this] {
    std::vector<UpstreamName> Names;
    for (const UpstreamSpec &Spec : m_Directory.upstreams())
      Names.push_back(Spec.m_Name);
    return Names;
  };
  return Opts;
}

OwnerService::Options Box::ownerOptions() {
  OwnerService::Options Opts;
  Opts.m_Self = m_Self;
  Opts.m_DataCentre = m_Settings.m_DataCentre;
  Opts.m_OrderLife = m_Settings.m_OrderLife;
  Opts.m_WeightOf = [this](const GroupName &Group) {
    return m_Table.table().weightOf(Group);
  };
  Opts.m_OnMove = [this](const MoveRecord &Record) { recordMove(Record); };
  Opts.m_OnChange = [this] { changed(); };
  return Opts;
}

TableSync::Options Box::tableOptions() {
  return {.m_Random = randomUnit,
          .m_Capacity = [this] { return engineCapacity(); },
          .m_OnChange = [this] { tableChanged(); }};
}

Dispatcher::Options Box::dispatcherOptions() {
  return {.m_Routing = defaultRouting(),
          .m_OnRetry = [this] { m_Metrics.retried(); },
          .m_OnAttempt =
              [this](const RequestId &Id, const UpstreamName &Upstream,
                     const BoxName &To) {
                m_Directory.recordSent(Upstream);
                m_Requests.attempt(Id, {Upstream, To});
              }};
}

DispatchView Box::dispatchView() {
  return {
      .m_Directory = &m_Directory,
      .m_AdmitterOf =
          [this](const UpstreamName &Upstream) { return admitterOf(Upstream); },
      .m_SpillTo =
          [this](const ForwardedRequest &Request) { return spillTo(Request); }};
}

KeyRouter::Options Box::keyRouterOptions() {
  return {.m_OwnerOf =
              [this](const ForwardedRequest &Request) {
                return m_Membership->assignment().ownerOfSlice(
                    keySlice(Request.m_Group, Request.m_Key));
              },
          .m_NextAttempt = [this] { return m_Dispatcher.nextAttempt(); }};
}

Planner::Options Box::plannerOptions() {
  Planner::Options Opts;
  Opts.m_Policy = std::make_unique<Placement>(
      Placement::forPreference(m_Settings.m_FewMoves));
  Opts.m_Directory = &m_Directory;
  Opts.m_Table = [this]() -> const Table & { return m_Table.table(); };
  Opts.m_IsPlanner = [this] { return m_Exchange.plannerBox() == m_Self; };
  Opts.m_OwnerReachable = [this](const UpstreamName &Upstream) {
    const auto Owner = m_Membership->assignment().ownerOf(Upstream);
    return Owner && m_Exchange.usable(*Owner);
  };
  Opts.m_Order = [this](const Move &Wanted) { planOrder(Wanted); };
  return Opts;
}

ConcurrencyGate::Options Box::gateOptions() {
  return {
      .m_Self = m_Self,
      .m_HomeOf = [this](const GroupName &Group) { return homeOf(Group); },
      .m_Send = [this](const BoxName &To,
                       const PeerFrame &Frame) { return sendFrame(To, Frame); },
      .m_ShareOf = [this](int Limit) { return dataCentreShare(Limit); },
      .m_Running =
          [this](const GroupName &Group) { return m_Limiter.running(Group); }};
}

DigestExchange::Options Box::exchangeOptions() {
  return {
      .m_Self = m_Self,
      .m_DataCentre = m_Settings.m_DataCentre,
      .m_DigestEvery = m_Settings.m_DigestEvery,
      .m_Assignment = [this]() -> const Assignment & {
        return m_Membership->assignment();
      },
      .m_Send = [this](const BoxName &To,
                       const PeerFrame &Frame) { return sendFrame(To, Frame); },
      .m_Linked = [this](const BoxName &Box) { return m_Mesh.reachable(Box); }};
}

CallerApi::Options Box::callerOptions() {
  return {.m_Table = [this]() -> const Table & { return m_Table.table(); },
          .m_Start =
              [this](ForwardedRequest Request, AnswerSinkPtr Sink) {
                return startRequest(std::move(Request), std::move(Sink));
              },
          .m_Enter =
              [this](const GroupRow &Row, std::function<void(bool)> Done) {
                m_Gate.enter(Row, std::move(Done));
              },
          .m_Left = [this](const GroupName &Group) { m_Gate.left(Group); },
          .m_DefaultDeadline = m_Settings.m_DefaultDeadline,
          .m_IdPrefix = m_Self.str()};
}

AdminApi::Options Box::adminOptions() {
  return {
      .m_Token = m_Settings.m_OperatorToken,
      .m_Upstreams =
          [this](const std::string &) {
            return upstreamsView(m_Directory, m_Membership->assignment());
          },
      .m_Boxes =
          [this](const std::string &) {
            return boxesView(
                m_Self, *m_Membership, m_Table.table().completeTo(),
                [this](const BoxName &Box) { return m_Mesh.reachable(Box); });
          },
      .m_Moves =
          [this](const std::string &Id) { return movesView(m_Moves, Id); },
      .m_Requests =
          [this](const std::string &Id) { return requestView(m_Requests, Id); },
      .m_Metrics = [this] { return m_Metrics.serialize(); },
      .m_Healthy = [this] { return !m_Stopping; },
      .m_Ready =
          [this] {
            return !m_Stopping && m_Membership->platformSeen() &&
                   m_Directory.listIndex() != 0;
          },
      .m_Drain = [this] { stop(); }};
}

HttpServer::Options Box::serverOptions(const Endpoint &Listen) const {
  return {.m_Listen = Listen,
          .m_Limits = {.m_MaxBody = m_Settings.m_MaxBody},
          .m_MaxBuffered = EntryBuffer,
          .m_OnListening = logListener};
}

// Requests.

std::function<void()> Box::startRequest(ForwardedRequest Request,
                                        AnswerSinkPtr Sink) {
  if (!Request.m_Key.empty())
    return m_KeyRouter.run(std::move(Request), std::move(Sink));
  const DispatchId Id =
      m_Dispatcher.dispatch(std::move(Request), std::move(Sink));
  return [this, Id] { m_Dispatcher.cancel(Id); };
}

std::function<void()> Box::runForwarded(const BoxName &Origin,
                                        const ForwardedRequest &Request,
                                        AnswerSinkPtr Sink) {
  if (Request.m_Role == ForwardRole::KeyOwner) {
    m_Keyed.run(Request, Sink);
    return [] {};
  }
  if (Request.m_Role == ForwardRole::Dispatch) {
    const DispatchId Id = m_Dispatcher.dispatch(Request, std::move(Sink));
    return [this, Id] { m_Dispatcher.cancel(Id); };
  }
  const RequestId Id = admissionId(Origin, Request.m_Attempt);
  m_Owners.admit(Id, Request, Sink);
  return [this, Id, Upstream = Request.m_Upstream] {
    m_Owners.cancel(Upstream, Id);
  };
}

std::optional<BoxName> Box::admitterOf(const UpstreamName &Upstream) const {
  const auto Owner = m_Membership->assignment().ownerOf(Upstream);
  if (Owner && m_Exchange.usable(*Owner))
    return Owner;
  // All boxes that can reach each other choose the same stand-in.
  std::vector<BoxName> Others = m_Exchange.usableHere();
  if (m_Exchange.usable(m_Self) || Others.empty())
    Others.push_back(m_Self);
  return rendezvousPick(Others, Upstream.str());
}

/// Returns the box that counts the running requests of a group in this data
/// centre.
BoxName Box::homeOf(const GroupName &Group) const {
  std::vector<BoxName> Able;
  for (const BoxName &Box : m_Membership->assignment().m_Boxes)
    if (m_Exchange.usable(Box))
      Able.push_back(Box);
  return rendezvousPick(Able, Group.str()).value_or(m_Self);
}

/// Returns this data centre's share of \p Limit. Each data centre counts for
/// itself, so that a partition between them does not stop it.
int Box::dataCentreShare(int Limit) const {
  std::set<DataCentreName> All;
  for (const auto &[Name, Record] : m_Membership->boxes())
    All.insert(Record.m_DataCentre);
  All.insert(m_Settings.m_DataCentre);
  const auto Place = All.find(m_Settings.m_DataCentre);
  return concurrencyShare(
      Limit, {.m_Index = static_cast<int>(std::distance(All.begin(), Place)),
              .m_Boxes = static_cast<int>(All.size())});
}

std::optional<BoxName> Box::spillTo(const ForwardedRequest &Request) const {
  return rendezvousPick(m_Exchange.ableElsewhere(Request),
                        std::to_string(Request.m_Prefix));
}

// Peers.

bool Box::sendFrame(const BoxName &To, const PeerFrame &Frame) {
  const std::size_t Bytes = m_Mesh.send(To, Frame);
  if (Bytes != 0)
    m_Metrics.peerBytes(frameName(Frame), Bytes);
  return Bytes != 0;
}

void Box::peerUp(const BoxName &Peer, const DataCentreName &DataCentre) {
  logInfo(LogPart::Peers, "Link to " + Peer.str() + " is up.");
  m_Exchange.peerUp(Peer, DataCentre);
}

void Box::peerDown(const BoxName &Peer) {
  logInfo(LogPart::Peers, "Link to " + Peer.str() + " is down.");
  m_Exchange.peerDown(Peer);
  m_Gate.peerDown(Peer);
  m_Forwarder.peerDown(Peer);
}

void Box::onFrame(const BoxName &Peer, PeerFrame Frame) {
  if (!m_Exchange.recordContact(Peer))
    return;
  if (m_Forwarder.onFrame(Peer, Frame) || m_Gate.onFrame(Peer, Frame))
    return;
  if (const auto *Digest = std::get_if<DigestFrame>(&Frame))
    return m_Exchange.onDigest(Peer, *Digest);
  if (const auto *News = std::get_if<TableFrame>(&Frame))
    return m_Table.learn(*News);
  // The remaining kinds are accepted only within the data centre.
  if (!m_Exchange.isHere(Peer))
    return;
  if (const auto *Demand = std::get_if<DemandFrame>(&Frame))
    return m_Planner.recordDemand(Peer, Demand->m_Demand);
  if (const auto *Known = std::get_if<AssignmentFrame>(&Frame))
    return m_Membership->learnAssignment(Known->m_Assignment);
  if (const auto *Plan = std::get_if<PlanFrame>(&Frame))
    return m_Owners.order(Plan->m_Move);
  if (const auto *Made = std::get_if<MoveFrame>(&Frame))
    m_Moves.add(Made->m_Record);
}

void Box::dropSilentPeers() {
  for (const BoxName &Peer : m_Exchange.silentFor(SilenceLimit))
    m_Mesh.drop(Peer);
}

// Events of the components.

void Box::assignmentChanged(const Assignment &Current) {
  m_Owners.follow(Current);
  m_Keyed.follow(Current);
  changed();
}

void Box::upstreamsChanged(const UpstreamList &List) {
  if (!m_Directory.apply(List))
    return;
  m_Owners.followList();
  changed();
}

void Box::tableChanged() { changed(); }

/// Sends a digest in the next pass of the loop rather than at the next regular
/// time, since peers act on the change.
void Box::changed() {
  if (std::exchange(m_DigestWanted, true))
    return;
  m_Loop.defer([this] {
    m_DigestWanted = false;
    m_Exchange.sendDigests();
  });
}

void Box::recordMove(const MoveRecord &Record) {
  const Move &Made = Record.m_Move;
  m_Moves.add(Record);
  m_Metrics.moved(Made.m_Reason);
  logInfo(LogPart::Planner,
          std::string(Made.m_Verb == MoveVerb::Load ? "Loads " : "Unloads ") +
              Made.m_Artifact.str() + " on " + Made.m_Upstream.str() + ": " +
              Made.m_Explanation);
  for (const BoxName &Peer : m_Mesh.reachable(m_Settings.m_DataCentre))
    sendFrame(Peer, MoveFrame{Record});
}

void Box::planOrder(const Move &Wanted) {
  const auto Owner = m_Membership->assignment().ownerOf(Wanted.m_Upstream);
  if (!Owner)
    return;
  if (*Owner == m_Self)
    m_Owners.order(Wanted);
  else
    sendFrame(*Owner, PlanFrame{Wanted});
}

void Box::updateShare() {
  if (!m_Membership)
    return;
  std::vector<BoxName> Live;
  for (const auto &[Name, Record] : m_Membership->boxes())
    if (!Record.m_Stopping)
      Live.push_back(Name);
  const auto Place = std::find(Live.begin(), Live.end(), m_Self);
  if (Place == Live.end())
    return;
  m_Limiter.setShare({.m_Index = static_cast<int>(Place - Live.begin()),
                      .m_Boxes = static_cast<int>(Live.size())});
}

/// Releases former owners whose box has started again: a box runs one process
/// only, so the former owner has ended.
void Box::releaseFormerWriters() {
  for (const BoxName &Writer : m_Owners.formerWriters())
    for (const auto &[Name, Record] : m_Membership->boxes())
      if (Name != Writer && boxOfIncarnation(Name) == boxOfIncarnation(Writer))
        m_Owners.writerMovedOn(Writer);
}

Capacity Box::engineCapacity() const {
  Capacity Result;
  for (const UpstreamSpec &Spec : m_Directory.upstreams())
    if (Spec.m_Kind == UpstreamKind::Engine && !Spec.m_Leaving)
      Result.m_Engines.push_back(Spec.m_Capacity - Spec.m_KvReserve);
  return Result;
}

void Box::tick() {
  m_Owners.tick();
  dropSilentPeers();
  if (m_Stopping)
    considerExit();
}

void Box::slowTick() {
  m_Keyed.tick();
  m_Gate.tick();
  releaseFormerWriters();
  m_Metrics.setLeaseHeld(m_Membership->leaseHeld());
  m_Metrics.setVersions(
      static_cast<double>(m_Membership->assignment().m_Version),
      static_cast<double>(m_Table.table().completeTo()));
  for (const UpstreamOwner *Owner : m_Owners.owned())
    if (Owner->spec().m_Kind == UpstreamKind::Engine)
      m_Metrics.setMemoryTaken(Owner->spec().m_Name,
                               static_cast<double>(Owner->ledger().taken()),
                               static_cast<double>(Owner->ledger().capacity()));
}

// Stopping.

void Box::stop() {
  if (std::exchange(m_Stopping, true))
    return;
  logInfo(LogPart::Box,
          "Stopping: hands over ownership and finishes running requests.");
  m_StopBegan = EventLoop::now();
  m_Exchange.beginStop();
  m_Membership->beginStop();
  changed();
}

bool Box::idle() const {
  return m_Owners.active() == 0 && m_Dispatcher.active() == 0 &&
         m_Keyed.running() == 0 && m_Forwarder.serving() == 0 &&
         m_CallerServer.openExchanges() == 0;
}

void Box::considerExit() {
  const Duration Since = EventLoop::now() - m_StopBegan;
  if (Since > BalancerGrace)
    m_CallerServer.stopAccepting();
  const bool Limit = Since > m_Settings.m_StopLimit;
  const bool Avoided = m_Exchange.allAvoidSelf() || Since > HandoverTimeout;
  const bool HandedOver = m_Membership->handedOver() || Since > HandoverTimeout;
  const bool Finished =
      Since > BalancerGrace && Avoided && HandedOver && idle();
  if ((!Finished && !Limit) || !m_OnStopped)
    return;
  if (Limit)
    logWarning(LogPart::Box,
               "Stopped with unfinished requests: the stop limit has passed.");
  m_Membership->leave(std::exchange(m_OnStopped, nullptr));
}

} // namespace havenstair
