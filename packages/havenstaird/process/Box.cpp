#include "havenstaird/process/Box.h"

#include "decisions/common/StableHash.h"
#include "havenstaird/common/Log.h"
#include "wire/common/Crypto.h"
#include "wire/version/TableJson.h"
#include <algorithm>
#include <cmath>
#include <random>

namespace havenstair {

namespace {

constexpr std::size_t IncarnationBytes = 4;
constexpr std::size_t MoveHistory = 2000;
constexpr std::size_t RequestHistory = 4096;
constexpr Duration TickEvery = 50ms;
constexpr Duration SlowTickEvery = 1s;
/// Digests that may be missing before a box counts as out of reach.
constexpr int SilentDigests = 3;
/// Silence after which the link is closed, so that its work ends visibly.
constexpr Duration SilenceLimit = 5s;
/// Time for the balancer to see that the box is leaving.
constexpr Duration BalancerGrace = 1s;
/// Time for peers to say that they give no more work to a stopping box.
constexpr Duration ShunLimit = 5s;
/// Digests in a row after which any box sends what another lacks.
constexpr int BehindTooLong = 3;
/// Served cost is told with every so many digests, of this many groups.
constexpr int DigestsPerServed = 5;
constexpr std::size_t MostServedGroups = 8;
constexpr std::size_t EntryBuffer = 1 << 20;

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
      m_Planner(Loop, plannerOptions()) {
  m_Membership =
      std::make_unique<Membership>(m_Loop, m_Platform, membershipOptions());
  m_Mesh.learnSeeds(m_Settings.m_Seeds);
  m_Tick = m_Loop.every(TickEvery, [this] { tick(); });
  m_SlowTick = m_Loop.every(SlowTickEvery, [this] { slowTick(); });
  m_DigestTimer =
      m_Loop.every(m_Settings.m_DigestEvery, [this] { sendDigests(); });
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
      .m_Down = [this](const BoxName &Peer) { peerDown(Peer); }};
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
                m_Directory.noteSent(Upstream);
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
  Opts.m_MyTurn = [this] { return plannerBox() == m_Self; };
  Opts.m_OwnerReachable = [this](const UpstreamName &Upstream) {
    const auto Owner = m_Membership->assignment().ownerOf(Upstream);
    return Owner && usable(*Owner);
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
      .m_PartOf = [this](int Limit) { return dataCentrePart(Limit); },
      .m_Running =
          [this](const GroupName &Group) { return m_Limiter.running(Group); }};
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
      .m_Upstreams = [this](const std::string &) { return upstreamsView(); },
      .m_Boxes = [this](const std::string &) { return boxesView(); },
      .m_Moves = [this](const std::string &Id) { return movesView(Id); },
      .m_Requests = [this](const std::string &Id) { return requestView(Id); },
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
          .m_MaxBody = m_Settings.m_MaxBody,
          .m_MaxBuffered = EntryBuffer};
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

/// Linked, heard of lately, and not about to stop.
bool Box::usable(const BoxName &Peer) const {
  if (Peer == m_Self)
    return !m_Stopping;
  const auto Found = m_Peers.find(Peer);
  if (Found == m_Peers.end() || Found->second.m_Stopping)
    return false;
  const Duration Silence = EventLoop::now() - Found->second.m_LastHeard;
  return m_Mesh.reachable(Peer) &&
         Silence < SilentDigests * m_Settings.m_DigestEvery;
}

std::optional<BoxName> Box::admitterOf(const UpstreamName &Upstream) const {
  const auto Owner = m_Membership->assignment().ownerOf(Upstream);
  if (Owner && usable(*Owner))
    return Owner;
  // All boxes that reach each other choose the same stand-in.
  std::vector<BoxName> Others;
  for (const BoxName &Peer : m_Mesh.reachable(m_Settings.m_DataCentre))
    if (usable(Peer))
      Others.push_back(Peer);
  if (usable(m_Self) || Others.empty())
    Others.push_back(m_Self);
  return rendezvousPick(Others, Upstream.str());
}

/// The box that counts a group's running requests in this data centre.
BoxName Box::homeOf(const GroupName &Group) const {
  std::vector<BoxName> Able;
  for (const BoxName &Box : m_Membership->assignment().m_Boxes)
    if (usable(Box))
      Able.push_back(Box);
  return rendezvousPick(Able, Group.str()).value_or(m_Self);
}

/// Each data centre counts for itself, so that a cut does not stop it.
int Box::dataCentrePart(int Limit) const {
  std::set<DataCentreName> All;
  for (const auto &[Name, Record] : m_Membership->boxes())
    All.insert(Record.m_DataCentre);
  All.insert(m_Settings.m_DataCentre);
  const auto Place = All.find(m_Settings.m_DataCentre);
  return concurrencyPart(
      Limit, {.m_Index = static_cast<int>(std::distance(All.begin(), Place)),
              .m_Boxes = static_cast<int>(All.size())});
}

std::optional<BoxName> Box::spillTo(const ForwardedRequest &Request) const {
  std::vector<BoxName> Able;
  for (const auto &[Peer, State] : m_Peers) {
    const bool Serves = std::any_of(
        State.m_Remote.begin(), State.m_Remote.end(), [&](const auto &Item) {
          const UpstreamDigest &Digest = Item.second;
          if (!Request.m_Service.empty())
            return Digest.m_Service == Request.m_Service;
          return Digest.m_Serving.count(Request.m_Artifact) != 0;
        });
    if (Serves && usable(Peer))
      Able.push_back(Peer);
  }
  return rendezvousPick(Able, std::to_string(Request.m_Prefix));
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
  m_Peers[Peer] = {.m_LastHeard = EventLoop::now(), .m_DataCentre = DataCentre};
  sendWholeDigest(Peer);
}

void Box::peerDown(const BoxName &Peer) {
  logInfo(LogPart::Peers, "Link to " + Peer.str() + " is down.");
  m_Peers.erase(Peer);
  m_Planner.forget(Peer);
  m_Gate.peerDown(Peer);
  m_Forwarder.peerDown(Peer);
}

void Box::onFrame(const BoxName &Peer, PeerFrame Frame) {
  const auto Found = m_Peers.find(Peer);
  if (Found == m_Peers.end())
    return;
  Found->second.m_LastHeard = EventLoop::now();
  if (m_Forwarder.onFrame(Peer, Frame) || m_Gate.onFrame(Peer, Frame))
    return;
  if (const auto *Digest = std::get_if<DigestFrame>(&Frame))
    return onDigest(Peer, *Digest);
  if (const auto *News = std::get_if<TableFrame>(&Frame))
    return m_Table.learn(*News);
  const bool Here = Found->second.m_DataCentre == m_Settings.m_DataCentre;
  if (!Here)
    return;
  if (const auto *Demand = std::get_if<DemandFrame>(&Frame))
    return m_Planner.noteDemand(Peer, Demand->m_Demand);
  if (const auto *Known = std::get_if<AssignmentFrame>(&Frame))
    return m_Membership->learnAssignment(Known->m_Assignment);
  if (const auto *Plan = std::get_if<PlanFrame>(&Frame))
    return m_Owners.order(Plan->m_Move);
  if (const auto *Made = std::get_if<MoveFrame>(&Frame))
    m_Moves.add(Made->m_Record);
}

void Box::onDigest(const BoxName &Peer, const DigestFrame &Digest) {
  PeerState &State = m_Peers[Peer];
  State.m_Stopping = Digest.m_Stopping;
  State.m_AssignmentSeen = Digest.m_AssignmentSeen;
  State.m_TableCompleteTo = Digest.m_TableCompleteTo;
  State.m_ShunsUs = Digest.m_Shunned.count(m_Self) != 0;
  sendWhatItLacks(Peer, Digest);
  if (State.m_DataCentre != m_Settings.m_DataCentre) {
    for (const UpstreamDigest &Each : Digest.m_Upstreams)
      State.m_Remote[Each.m_Upstream] = Each;
    return;
  }
  for (const UpstreamDigest &Each : Digest.m_Upstreams)
    m_Directory.apply(Each);
  for (const auto &[Upstream, Index] : Digest.m_Leaving)
    m_Directory.markLeaving(Upstream, Index);
  m_Owners.chargeElsewhere(Digest.m_Served);
  applyLoads(Digest);
  const Assignment &Mine = m_Membership->assignment();
  if (Digest.m_AssignmentSeen >= Mine.m_Version && Mine.m_Version != 0)
    m_Owners.writerMovedOn(Peer);
}

DigestFrame Box::digestHead() const {
  DigestFrame Frame;
  Frame.m_AssignmentSeen =
      m_Membership ? m_Membership->assignment().m_Version : 0;
  Frame.m_TableCompleteTo = m_Table.table().completeTo();
  Frame.m_Stopping = m_Stopping;
  Frame.m_Leaving = m_Directory.leaving();
  for (const auto &[Peer, State] : m_Peers)
    if (State.m_Stopping)
      Frame.m_Shunned.insert(Peer);
  return Frame;
}

void Box::sendWholeDigest(const BoxName &To) {
  DigestFrame Frame = digestHead();
  for (UpstreamDigest &Digest : m_Owners.digests())
    Frame.m_Upstreams.push_back(std::move(Digest));
  sendFrame(To, Frame);
}

/// The groups with the highest cost since the last time. A group that takes
/// more than its share is among them.
std::map<GroupName, double> Box::servedLately() {
  for (const auto &[Group, Cost] : m_Owners.takeServed())
    m_Served[Group] += Cost;
  if (++m_DigestCount % DigestsPerServed != 0)
    return {};
  std::vector<std::pair<double, GroupName>> ByCost;
  for (const auto &[Group, Cost] : m_Served)
    ByCost.emplace_back(Cost, Group);
  m_Served.clear();
  std::sort(ByCost.rbegin(), ByCost.rend());
  ByCost.resize(std::min(ByCost.size(), MostServedGroups));
  std::map<GroupName, double> Result;
  for (const auto &[Cost, Group] : ByCost)
    Result[Group] = std::round(Cost);
  return Result;
}

void Box::sendDigests() {
  DigestFrame Frame = digestHead();
  const Assignment &Current = m_Membership->assignment();
  for (UpstreamDigest &Digest : m_Owners.digests()) {
    m_Directory.apply(Digest);
    // While the ledger is unread, what was served before is passed on.
    Digest.m_Serving = m_Directory.digestOf(Digest.m_Upstream)->m_Serving;
    UpstreamDigest &Last = m_LastSent[Digest.m_Upstream];
    UpstreamDigest Plain = Digest;
    Plain.m_Sequence = 0;
    if (Plain == Last)
      continue;
    UpstreamDigest OldLoad = Plain;
    OldLoad.m_Load = Last.m_Load;
    const bool OnlyLoad = OldLoad == Last;
    Last = std::move(Plain);
    if (OnlyLoad)
      Frame.m_Loads.push_back(
          {.m_Place = Current.placeOf(Digest.m_Upstream),
           .m_Load = {.m_Running = Digest.m_Load.m_Running,
                      .m_Waiting = Digest.m_Load.m_Waiting,
                      .m_Refused = Digest.m_Load.m_Refused}});
    else
      Frame.m_Upstreams.push_back(std::move(Digest));
  }
  Frame.m_Served = servedLately();
  for (const auto &[Peer, State] : m_Peers)
    sendFrame(Peer, Frame);
  const DemandByArtifact Demand = m_Owners.demand();
  m_Planner.noteDemand(m_Self, Demand);
  const std::optional<BoxName> Planning = plannerBox();
  if (Planning && *Planning != m_Self)
    sendFrame(*Planning, DemandFrame{Demand});
}

/// Places count under one assignment only; under another they are dropped,
/// and the next change of the load comes through.
void Box::applyLoads(const DigestFrame &Digest) {
  const Assignment &Current = m_Membership->assignment();
  if (Digest.m_AssignmentSeen != Current.m_Version)
    return;
  for (const LoadNote &Note : Digest.m_Loads) {
    const std::optional<UpstreamName> Name = Current.upstreamAt(Note.m_Place);
    if (!Name)
      continue;
    const UpstreamDigest *Known = m_Directory.digestOf(*Name);
    UpstreamLoad Load = Note.m_Load;
    Load.m_Slots = Known == nullptr ? 1 : Known->m_Load.m_Slots;
    m_Directory.applyLoad(*Name, Load);
  }
}

void Box::dropSilentPeers() {
  const TimePoint Now = EventLoop::now();
  for (const auto &[Peer, State] : m_Peers)
    if (Now - State.m_LastHeard > SilenceLimit)
      m_Mesh.drop(Peer);
}

void Box::sendWhatItLacks(const BoxName &Peer, const DigestFrame &Digest) {
  PeerState &State = m_Peers[Peer];
  const bool Here = State.m_DataCentre == m_Settings.m_DataCentre;
  const Assignment &Mine = m_Membership->assignment();
  const bool OldTable = Digest.m_TableCompleteTo < m_Table.table().completeTo();
  const bool OldAssignment = Here && Digest.m_AssignmentSeen < Mine.m_Version;
  State.m_Behind = OldTable || OldAssignment ? State.m_Behind + 1 : 0;
  // The box whose turn it is may not reach the peer; then anyone helps.
  const bool Overdue = State.m_Behind % BehindTooLong == 0;
  const auto KnowsTable = [&](const PeerState &Other) {
    return Other.m_TableCompleteTo > Digest.m_TableCompleteTo;
  };
  if (OldTable && (Overdue || isSenderTo(Peer, KnowsTable)))
    sendFrame(Peer, m_Table.newerThan(Digest.m_TableCompleteTo));
  const auto KnowsAssignment = [&](const PeerState &Other) {
    return Other.m_AssignmentSeen > Digest.m_AssignmentSeen &&
           Other.m_DataCentre == m_Settings.m_DataCentre;
  };
  if (OldAssignment && (Overdue || isSenderTo(Peer, KnowsAssignment)))
    sendFrame(Peer, AssignmentFrame{Mine});
}

/// Of all boxes that know more than \p Peer, one sends it what it lacks.
bool Box::isSenderTo(
    const BoxName &Peer,
    const std::function<bool(const PeerState &)> &Knows) const {
  std::vector<BoxName> Senders{m_Self};
  for (const auto &[Other, State] : m_Peers)
    if (Other != Peer && Knows(State))
      Senders.push_back(Other);
  return rendezvousPick(Senders, Peer.str()) == m_Self;
}

// What the parts tell.

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

/// News that peers act on do not wait for the next regular digest.
void Box::changed() {
  if (std::exchange(m_DigestWanted, true))
    return;
  m_Loop.defer([this] {
    m_DigestWanted = false;
    sendDigests();
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

/// The first box of the assignment that can be reached plans.
std::optional<BoxName> Box::plannerBox() const {
  for (const BoxName &Box : m_Membership->assignment().m_Boxes)
    if (Box == m_Self || usable(Box))
      return Box;
  return std::nullopt;
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

/// A former owner is gone for good when its box has started anew, since a box
/// runs one process only.
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

/// Work that is not urgent.
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

// Views for operators.

Json Box::upstreamsView() const {
  Json List = Json::array();
  for (const UpstreamSpec &Spec : m_Directory.upstreams()) {
    const auto Owner = m_Membership->assignment().ownerOf(Spec.m_Name);
    Json Item{
        {"name", Spec.m_Name.str()},
        {"kind", Spec.m_Kind == UpstreamKind::Engine ? "engine" : "service"},
        {"service", Spec.m_Service},
        {"state", Spec.m_Leaving ? "leaving" : "live"},
        {"owner", Owner ? Owner->str() : ""},
        {"checks_tokens", Spec.m_ChecksTokens},
        {"memory_mib", Spec.m_Capacity}};
    if (const UpstreamDigest *Digest = m_Directory.digestOf(Spec.m_Name)) {
      Json Serving = Json::array();
      for (const ArtifactName &Name : Digest->m_Serving)
        Serving.push_back(Name.str());
      Item["ready"] = Digest->m_Ready;
      Item["serving"] = std::move(Serving);
      Item["available_mib"] = Digest->m_Available;
      Item["running"] = Digest->m_Load.m_Running;
      Item["waiting"] = Digest->m_Load.m_Waiting;
      Item["slots"] = Digest->m_Load.m_Slots;
    }
    List.push_back(std::move(Item));
  }
  return {{"upstreams", std::move(List)}};
}

Json Box::boxesView() const {
  Json List = Json::array();
  for (const auto &[Name, Record] : m_Membership->boxes())
    List.push_back({{"name", Name.str()},
                    {"data_centre", Record.m_DataCentre.str()},
                    {"callers", Record.m_Callers.str()},
                    {"operators", Record.m_Operators.str()},
                    {"state", Record.m_Stopping ? "stopping" : "live"},
                    {"reachable", Name == m_Self || m_Mesh.reachable(Name)}});
  return {{"self", m_Self.str()},
          {"lease_held", m_Membership->leaseHeld()},
          {"assignment", m_Membership->assignment().m_Version},
          {"table", m_Table.table().completeTo()},
          {"boxes", std::move(List)}};
}

Json Box::movesView(const std::string &Id) const {
  const auto ToJson = [](const MoveRecord &Record) {
    const Move &Made = Record.m_Move;
    return Json{{"id", Record.m_Id},
                {"at_ms", Record.m_At},
                {"upstream", Made.m_Upstream.str()},
                {"verb", Made.m_Verb == MoveVerb::Load ? "load" : "unload"},
                {"artifact", Made.m_Artifact.str()},
                {"size_mib", Made.m_Size},
                {"reason", moveReasonName(Made.m_Reason)},
                {"explanation", Made.m_Explanation},
                {"ordered_by", Record.m_OrderedBy.str()}};
  };
  if (!Id.empty()) {
    const MoveRecord *Found = m_Moves.find(Id);
    return Found == nullptr ? Json() : ToJson(*Found);
  }
  Json List = Json::array();
  for (const MoveRecord &Record : m_Moves.records())
    List.push_back(ToJson(Record));
  return {{"moves", std::move(List)}};
}

Json Box::requestView(const std::string &Id) const {
  const RequestRecord *Found = m_Requests.find(RequestId(Id));
  if (Found == nullptr)
    return {};
  Json Attempts = Json::array();
  for (const AttemptRecord &Each : Found->m_Attempts)
    Attempts.push_back({{"upstream", Each.m_Upstream.str()},
                        {"admitted_by", Each.m_Admitter.str()}});
  return {{"id", Found->m_Id.str()},
          {"group", Found->m_Group.str()},
          {"target", Found->m_Target},
          {"attempts", std::move(Attempts)},
          {"outcome", Found->m_Code.empty() ? "running" : Found->m_Code},
          {"queued_us", Found->m_Queued.count()},
          {"whole_us", Found->m_Whole.count()}};
}

// Stopping.

void Box::stop() {
  if (std::exchange(m_Stopping, true))
    return;
  logInfo(LogPart::Box, "Stops: hands over and finishes what runs.");
  m_StopBegan = EventLoop::now();
  m_Membership->beginStop();
  changed();
}

bool Box::allShunUs() const {
  return std::all_of(m_Peers.begin(), m_Peers.end(), [](const auto &Item) {
    return Item.second.m_ShunsUs || Item.second.m_Stopping;
  });
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
  const bool Shunned = allShunUs() || Since > ShunLimit;
  const bool HandedOver = m_Membership->handedOver() || Since > ShunLimit;
  const bool Finished =
      Since > BalancerGrace && Shunned && HandedOver && idle();
  if ((!Finished && !Limit) || !m_OnStopped)
    return;
  if (Limit)
    logWarning(LogPart::Box, "Ends with work unfinished: the limit passed.");
  m_Membership->leave(std::exchange(m_OnStopped, nullptr));
}

} // namespace havenstair
