#include "havenstaird/process/DigestExchange.h"

#include "decisions/common/StableHash.h"
#include <algorithm>
#include <cmath>

namespace havenstair {

namespace {

/// Missing digests after which a box counts as out of reach.
constexpr int MaxMissingDigests = 3;
/// Number of successive digests after which any box sends what another lacks.
constexpr int MaxDigestsBehind = 3;
/// Served cost is sent with every so many digests, of this many groups.
constexpr int DigestsPerServed = 5;
constexpr std::size_t MaxServedGroups = 8;

bool serves(const UpstreamDigest &Digest, const ForwardedRequest &Request) {
  if (!Request.m_Service.empty())
    return Digest.m_Service == Request.m_Service;
  return Digest.m_Serving.count(Request.m_Artifact) != 0;
}

} // namespace

DigestExchange::DigestExchange(UpstreamDirectory &Directory,
                               OwnerService &Owners, TableSync &Rows,
                               Planner &Plans, Options Opts)
    : m_Directory(Directory), m_Owners(Owners), m_Table(Rows), m_Planner(Plans),
      m_Opts(std::move(Opts)) {}

void DigestExchange::peerUp(const BoxName &Peer,
                            const DataCentreName &DataCentre) {
  m_Peers[Peer] = {.m_LastContact = EventLoop::now(),
                   .m_DataCentre = DataCentre};
  sendWhole(Peer);
}

void DigestExchange::peerDown(const BoxName &Peer) {
  m_Peers.erase(Peer);
  m_Planner.forget(Peer);
}

bool DigestExchange::recordContact(const BoxName &Peer) {
  const auto Found = m_Peers.find(Peer);
  if (Found == m_Peers.end())
    return false;
  Found->second.m_LastContact = EventLoop::now();
  return true;
}

DigestFrame DigestExchange::head() const {
  DigestFrame Frame;
  Frame.m_AssignmentSeen = m_Opts.m_Assignment().m_Version;
  Frame.m_TableCompleteTo = m_Table.table().completeTo();
  Frame.m_Stopping = m_Stopping;
  Frame.m_Leaving = m_Directory.leaving();
  for (const auto &[Peer, State] : m_Peers)
    if (State.m_Stopping)
      Frame.m_Shunned.insert(Peer);
  return Frame;
}

/// Sends the whole state to a box whose link has just come up.
void DigestExchange::sendWhole(const BoxName &To) {
  DigestFrame Frame = head();
  Frame.m_Upstreams = m_Owners.digests();
  m_Opts.m_Send(To, Frame);
}

void DigestExchange::sendDigests() {
  DigestFrame Frame = head();
  for (UpstreamDigest &Digest : m_Owners.digests())
    addUpstream(Frame, std::move(Digest));
  Frame.m_Served = servedLately();
  for (const auto &[Peer, State] : m_Peers)
    m_Opts.m_Send(Peer, Frame);
  const DemandByArtifact Demand = m_Owners.demand();
  m_Planner.recordDemand(m_Opts.m_Self, Demand);
  const std::optional<BoxName> Planning = plannerBox();
  if (Planning && *Planning != m_Opts.m_Self)
    m_Opts.m_Send(*Planning, DemandFrame{Demand});
}

void DigestExchange::addUpstream(DigestFrame &Frame, UpstreamDigest Digest) {
  m_Directory.apply(Digest);
  // Until the ledger has been read, the artifacts that served before are
  // reported.
  Digest.m_Serving = m_Directory.digestOf(Digest.m_Upstream)->m_Serving;
  UpstreamDigest &Last = m_LastSent[Digest.m_Upstream];
  UpstreamDigest Plain = Digest;
  Plain.m_Sequence = 0;
  if (Plain == Last)
    return;
  UpstreamDigest WithOldLoad = Plain;
  WithOldLoad.m_Load = Last.m_Load;
  const bool OnlyLoad = WithOldLoad == Last;
  Last = std::move(Plain);
  if (!OnlyLoad) {
    Frame.m_Upstreams.push_back(std::move(Digest));
    return;
  }
  UpstreamLoad Load = Digest.m_Load;
  Load.m_Slots = 1;
  Frame.m_Loads.push_back(
      {.m_Place = m_Opts.m_Assignment().indexOf(Digest.m_Upstream),
       .m_Load = Load});
}

/// Returns the groups with the highest cost since they were last sent. A group
/// that takes more than its share is among them.
std::map<GroupName, double> DigestExchange::servedLately() {
  for (const auto &[Group, Cost] : m_Owners.takeServed())
    m_Served[Group] += Cost;
  if (++m_DigestCount % DigestsPerServed != 0)
    return {};
  std::vector<std::pair<double, GroupName>> ByCost;
  for (const auto &[Group, Cost] : m_Served)
    ByCost.emplace_back(Cost, Group);
  m_Served.clear();
  std::sort(ByCost.rbegin(), ByCost.rend());
  ByCost.resize(std::min(ByCost.size(), MaxServedGroups));
  std::map<GroupName, double> Result;
  for (const auto &[Cost, Group] : ByCost)
    Result[Group] = std::round(Cost);
  return Result;
}

void DigestExchange::onDigest(const BoxName &Peer, const DigestFrame &Digest) {
  PeerState &State = m_Peers[Peer];
  State.m_Stopping = Digest.m_Stopping;
  State.m_AssignmentSeen = Digest.m_AssignmentSeen;
  State.m_TableCompleteTo = Digest.m_TableCompleteTo;
  State.m_AvoidsSelf = Digest.m_Shunned.count(m_Opts.m_Self) != 0;
  sendWhatItLacks(Peer, Digest);
  if (!isHere(Peer)) {
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
  const FencingToken Mine = m_Opts.m_Assignment().m_Version;
  if (Mine != 0 && Digest.m_AssignmentSeen >= Mine)
    m_Owners.writerMovedOn(Peer);
}

/// Places refer to one assignment. Loads that were sent under another one are
/// dropped; the next change of the load brings them up to date.
void DigestExchange::applyLoads(const DigestFrame &Digest) {
  const Assignment &Current = m_Opts.m_Assignment();
  if (Digest.m_AssignmentSeen != Current.m_Version)
    return;
  for (const LoadNote &Note : Digest.m_Loads) {
    const std::optional<UpstreamName> Name = Current.upstreamAt(Note.m_Place);
    const UpstreamDigest *Known = Name ? m_Directory.digestOf(*Name) : nullptr;
    if (Known == nullptr)
      continue;
    UpstreamLoad Load = Note.m_Load;
    Load.m_Slots = Known->m_Load.m_Slots;
    m_Directory.applyLoad(*Name, Load);
  }
}

void DigestExchange::sendWhatItLacks(const BoxName &Peer,
                                     const DigestFrame &Digest) {
  PeerState &State = m_Peers[Peer];
  const Assignment &Mine = m_Opts.m_Assignment();
  const bool OldTable = Digest.m_TableCompleteTo < m_Table.table().completeTo();
  const bool OldAssignment =
      isHere(Peer) && Digest.m_AssignmentSeen < Mine.m_Version;
  State.m_Behind = OldTable || OldAssignment ? State.m_Behind + 1 : 0;
  // The box that should send may be unable to reach the peer; then any box
  // sends.
  const bool Overdue = State.m_Behind % MaxDigestsBehind == 0;
  const auto KnowsTable = [&](const PeerState &Other) {
    return Other.m_TableCompleteTo > Digest.m_TableCompleteTo;
  };
  if (OldTable && (Overdue || isSenderTo(Peer, KnowsTable)))
    m_Opts.m_Send(Peer, m_Table.newerThan(Digest.m_TableCompleteTo));
  const auto KnowsAssignment = [&](const PeerState &Other) {
    return Other.m_AssignmentSeen > Digest.m_AssignmentSeen &&
           Other.m_DataCentre == m_Opts.m_DataCentre;
  };
  if (OldAssignment && (Overdue || isSenderTo(Peer, KnowsAssignment)))
    m_Opts.m_Send(Peer, AssignmentFrame{Mine});
}

/// Whether this box is the one, of all boxes that know more than \p Peer, that
/// sends it what it lacks.
bool DigestExchange::isSenderTo(const BoxName &Peer,
                                const Knows &Knowing) const {
  std::vector<BoxName> Senders{m_Opts.m_Self};
  for (const auto &[Other, State] : m_Peers)
    if (Other != Peer && Knowing(State))
      Senders.push_back(Other);
  return rendezvousPick(Senders, Peer.str()) == m_Opts.m_Self;
}

bool DigestExchange::allAvoidSelf() const {
  return std::all_of(m_Peers.begin(), m_Peers.end(), [](const auto &Item) {
    return Item.second.m_AvoidsSelf || Item.second.m_Stopping;
  });
}

bool DigestExchange::usable(const BoxName &Peer) const {
  if (Peer == m_Opts.m_Self)
    return !m_Stopping;
  const auto Found = m_Peers.find(Peer);
  if (Found == m_Peers.end() || Found->second.m_Stopping)
    return false;
  const Duration Silence = EventLoop::now() - Found->second.m_LastContact;
  return m_Opts.m_Linked(Peer) &&
         Silence < MaxMissingDigests * m_Opts.m_DigestEvery;
}

bool DigestExchange::isHere(const BoxName &Peer) const {
  const auto Found = m_Peers.find(Peer);
  return Found != m_Peers.end() &&
         Found->second.m_DataCentre == m_Opts.m_DataCentre;
}

std::vector<BoxName> DigestExchange::usableHere() const {
  std::vector<BoxName> Result;
  for (const auto &[Peer, State] : m_Peers)
    if (State.m_DataCentre == m_Opts.m_DataCentre && usable(Peer))
      Result.push_back(Peer);
  return Result;
}

std::optional<BoxName> DigestExchange::plannerBox() const {
  for (const BoxName &Box : m_Opts.m_Assignment().m_Boxes)
    if (Box == m_Opts.m_Self || usable(Box))
      return Box;
  return std::nullopt;
}

std::vector<BoxName>
DigestExchange::ableElsewhere(const ForwardedRequest &Request) const {
  std::vector<BoxName> Able;
  for (const auto &[Peer, State] : m_Peers) {
    const bool Serves = std::any_of(
        State.m_Remote.begin(), State.m_Remote.end(),
        [&](const auto &Item) { return serves(Item.second, Request); });
    if (Serves && usable(Peer))
      Able.push_back(Peer);
  }
  return Able;
}

std::vector<BoxName> DigestExchange::silentFor(Duration Limit) const {
  const TimePoint Now = EventLoop::now();
  std::vector<BoxName> Result;
  for (const auto &[Peer, State] : m_Peers)
    if (Now - State.m_LastContact > Limit)
      Result.push_back(Peer);
  return Result;
}

} // namespace havenstair
