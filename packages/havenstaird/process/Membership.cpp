#include "havenstaird/process/Membership.h"

#include "decisions/common/StableHash.h"
#include "havenstaird/common/Log.h"
#include "wire/version/TableJson.h"
#include <algorithm>

namespace havenstair {

namespace {

constexpr Duration TickEvery = 100ms;
/// The first box in the list writes the assignment. Each further box waits this
/// much longer, and writes it if those before it have failed.
constexpr Duration RankDelay = 400ms;
/// Interval at which the boxes of other data centres are read.
constexpr Duration RemotePollEvery = 120s;
/// The interval right after the start, when data centres may start together.
constexpr Duration FirstRemotePoll = 500ms;
/// Longest pause between tries to get a lease, so that the writes of a whole
/// fleet that waits for the platform stay within its rate.
constexpr Duration LeaseRetryCap = 10s;
/// Number of links to each other data centre.
constexpr int RemoteLinks = 2;
constexpr int MaxPort = 65535;

const std::string BoxPrefix = "havenstair/boxes/";

Json toJson(const BoxRecord &Record) {
  return {{"box", Record.m_Box.str()},
          {"dc", Record.m_DataCentre.str()},
          {"peers", Record.m_Peers.str()},
          {"callers", Record.m_Callers.str()},
          {"operators", Record.m_Operators.str()},
          {"stopping", Record.m_Stopping}};
}

Endpoint endpointField(const Json &From, const char *Name) {
  const auto Parsed = Endpoint::parse(field<std::string>(From, Name));
  if (!Parsed)
    throw DecodeError(std::string("field ") + Name +
                      " is not an IP address with a port");
  return *Parsed;
}

BoxRecord boxRecordFromJson(const Json &From) {
  return {.m_Box = BoxName(field<std::string>(From, "box")),
          .m_DataCentre = DataCentreName(field<std::string>(From, "dc")),
          .m_Peers = endpointField(From, "peers"),
          .m_Callers = endpointField(From, "callers"),
          .m_Operators = endpointField(From, "operators"),
          .m_Stopping = field<bool>(From, "stopping")};
}

std::map<BoxName, BoxRecord> recordsOf(const PlatformRead &Read) {
  std::map<BoxName, BoxRecord> Result;
  for (const PlatformEntry &Entry : Read.m_Entries) {
    try {
      BoxRecord Record = boxRecordFromJson(parseJson(Entry.m_Value));
      Result.emplace(Record.m_Box, std::move(Record));
    } catch (const DecodeError &Error) {
      logWarning(LogPart::Lease, Entry.m_Key + ": " + Error.what());
    }
  }
  return Result;
}

/// Returns a number that the platform stores as text.
int numberField(const Json &Meta, const char *Name, int Default) {
  const std::string Text = fieldOr<std::string>(Meta, Name, "");
  if (Text.empty())
    return Default;
  const bool IsNumber =
      Text.size() <= 9 &&
      Text.find_first_not_of("0123456789") == std::string::npos;
  if (!IsNumber)
    throw DecodeError(std::string("field ") + Name + " is not a number");
  return std::stoi(Text);
}

UpstreamSpec specFromJson(const Json &From) {
  const Json Service = field<Json>(From, "Service");
  const Json Meta = fieldOr<Json>(Service, "Meta", Json::object());
  UpstreamSpec Spec;
  Spec.m_Name = UpstreamName(field<std::string>(Service, "ID"));
  Spec.m_Address = field<std::string>(Service, "Address");
  Spec.m_Port = field<int>(Service, "Port");
  Spec.m_DataCentre = DataCentreName(
      field<std::string>(field<Json>(From, "Node"), "Datacenter"));
  Spec.m_Service = fieldOr<std::string>(Meta, "service", "");
  Spec.m_Kind =
      Spec.m_Service.empty() ? UpstreamKind::Engine : UpstreamKind::Service;
  Spec.m_Slots = std::max(1, numberField(Meta, "slots", 1));
  Spec.m_Capacity = numberField(Meta, "memory_mib", 0);
  Spec.m_KvReserve = numberField(Meta, "kv_reserve_mib", 0);
  Spec.m_ChecksTokens = fieldOr<std::string>(Meta, "checks_tokens", "") == "1";
  Spec.m_Leaving = fieldOr<std::string>(Meta, "state", "live") == "leaving";
  if (Spec.m_Port < 1 || Spec.m_Port > MaxPort)
    throw DecodeError("field Port is out of range");
  return Spec;
}

} // namespace

UpstreamList upstreamListFromJson(const Json &From, PlatformIndex Index) {
  if (!From.is_array())
    throw DecodeError("expected a list of upstreams");
  UpstreamList List{.m_Index = Index, .m_Upstreams = {}};
  for (const Json &Each : From)
    List.m_Upstreams.push_back(specFromJson(Each));
  return List;
}

Membership::Membership(EventLoop &Loop, Platform &Service, Options Opts)
    : m_Platform(Service), m_Opts(std::move(Opts)), m_Lease(m_Opts.m_Lease),
      m_LeaseBackoff({.m_First = 100ms,
                      .m_Cap = LeaseRetryCap,
                      .m_Random = m_Opts.m_Random}),
      m_BoxWatch(Loop, watchOptions([this](PlatformWait Wait,
                                           const PlatformWatch::Next &Next) {
                   m_Platform.list(
                       BoxPrefix + m_Opts.m_Self.m_DataCentre.str() + "/", Wait,
                       [this, Next](const PlatformRead &Read) {
                         boxesRead(Read);
                         Next(Read.m_Status, Read.m_Index);
                       });
                 })),
      m_RemoteBoxPoll(
          Loop,
          pollOptions([this](PlatformWait, const PlatformWatch::Next &Next) {
            m_Platform.list(BoxPrefix, PlatformWait{},
                            [this, Next](const PlatformRead &Read) {
                              remoteBoxesRead(Read);
                              Next(Read.m_Status, 0);
                            });
          })),
      m_AssignmentWatch(
          Loop, watchOptions([this](PlatformWait Wait,
                                    const PlatformWatch::Next &Next) {
            m_Platform.read("havenstair/assignment/" +
                                m_Opts.m_Self.m_DataCentre.str(),
                            Wait, [this, Next](const PlatformRead &Read) {
                              assignmentRead(Read);
                              Next(Read.m_Status, Read.m_Index);
                            });
          })),
      m_UpstreamWatch(
          Loop, watchOptions([this](PlatformWait Wait,
                                    const PlatformWatch::Next &Next) {
            m_Platform.services(
                "upstream", m_Opts.m_Self.m_DataCentre.str(), Wait,
                [this, Next](const PlatformServices &Read) {
                  try {
                    if (Read.m_Status == PlatformStatus::Ok)
                      m_Opts.m_OnUpstreams(
                          upstreamListFromJson(Read.m_List, Read.m_Index));
                  } catch (const DecodeError &Error) {
                    logError(LogPart::Lease,
                             std::string("Upstream list: ") + Error.what());
                  }
                  Next(Read.m_Status, Read.m_Index);
                });
          })),
      m_Tick(Loop.every(TickEvery, [this] { tick(); })) {}

PlatformWatch::Options
Membership::watchOptions(PlatformWatch::Read Read) const {
  return {.m_Read = std::move(Read), .m_Random = m_Opts.m_Random};
}

PlatformWatch::Options Membership::pollOptions(PlatformWatch::Read Read) const {
  PlatformWatch::Options Result = watchOptions(std::move(Read));
  Result.m_Gap = FirstRemotePoll;
  Result.m_MaxGap = RemotePollEvery;
  return Result;
}

std::string Membership::boxKey() const {
  return BoxPrefix + m_Opts.m_Self.m_DataCentre.str() + "/" +
         m_Opts.m_Self.m_Box.str();
}

void Membership::tick() {
  if (m_Left)
    return;
  keepLease();
  considerAssignment();
}

void Membership::keepLease() {
  const std::optional<LeaseAction> Action = m_Lease.tick(EventLoop::now());
  if (!Action)
    return;
  if (const auto *Renew = std::get_if<RenewLease>(&*Action))
    renewLease(Renew->m_LeaseId);
  else
    createLease();
}

void Membership::createLease() {
  const TimePoint SentAt = EventLoop::now();
  m_Platform.createSession(
      m_Opts.m_Lease.m_TimeToLive,
      [this, SentAt](PlatformStatus Status, const std::string &Id) {
        if (Status == PlatformStatus::Ok)
          publish(Id, SentAt);
        else
          m_Lease.onFailed(EventLoop::now() + m_LeaseBackoff.next());
      });
}

/// Writes the box's record under its session. The lease counts from the request
/// for the session.
void Membership::publish(const std::string &SessionId, TimePoint SentAt) {
  m_Platform.acquire(boxKey(), dumpJson(toJson(m_Opts.m_Self)), SessionId,
                     [this, SessionId, SentAt](PlatformStatus Status) {
                       if (Status != PlatformStatus::Ok) {
                         m_Lease.onFailed(EventLoop::now() +
                                          m_LeaseBackoff.next());
                         return;
                       }
                       m_LeaseBackoff.reset();
                       m_Lease.onGranted(SessionId, SentAt);
                       logInfo(LogPart::Lease, "Lease acquired.");
                     });
}

void Membership::renewLease(const std::string &SessionId) {
  const TimePoint SentAt = EventLoop::now();
  m_Platform.renewSession(
      SessionId, [this, SessionId, SentAt](PlatformStatus Status) {
        if (Status == PlatformStatus::Ok) {
          m_LeaseBackoff.reset();
          m_Lease.onGranted(SessionId, SentAt);
        } else if (Status == PlatformStatus::NotFound) {
          logWarning(LogPart::Lease, "Lease lost.");
          m_Lease.onLost(EventLoop::now());
        } else {
          m_Lease.onFailed(EventLoop::now() + m_LeaseBackoff.next());
        }
      });
}

void Membership::boxesRead(const PlatformRead &Read) {
  const bool Usable = Read.m_Status == PlatformStatus::Ok ||
                      Read.m_Status == PlatformStatus::NotFound;
  if (!Usable)
    return;
  std::map<BoxName, BoxRecord> Now = recordsOf(Read);
  std::vector<BoxName> Gone;
  for (const auto &[Box, Record] : m_Boxes)
    if (Record.m_DataCentre == m_Opts.m_Self.m_DataCentre &&
        Now.count(Box) == 0)
      Gone.push_back(Box);
  std::vector<PeerAddress> Addresses;
  for (const auto &[Box, Record] : Now) {
    m_Boxes[Box] = Record;
    Addresses.push_back({Box, Record.m_DataCentre, Record.m_Peers});
  }
  m_BoxesKnown = true;
  m_Opts.m_OnBoxes(Addresses);
  for (const BoxName &Box : Gone) {
    m_Boxes.erase(Box);
    m_Opts.m_OnBoxGone(Box);
  }
}

void Membership::remoteBoxesRead(const PlatformRead &Read) {
  if (Read.m_Status != PlatformStatus::Ok)
    return;
  const DataCentreName &Own = m_Opts.m_Self.m_DataCentre;
  std::map<BoxName, BoxRecord> Now = recordsOf(Read);
  std::vector<PeerAddress> Addresses;
  std::erase_if(m_Boxes, [&](const auto &Item) {
    const bool Gone =
        Item.second.m_DataCentre != Own && Now.count(Item.first) == 0;
    if (Gone)
      m_Opts.m_OnBoxGone(Item.first);
    return Gone;
  });
  for (const auto &[Box, Record] : Now) {
    if (Record.m_DataCentre == Own)
      continue;
    m_Boxes[Box] = Record;
  }
  for (const BoxRecord &Record : chosenRemote())
    Addresses.push_back({Record.m_Box, Record.m_DataCentre, Record.m_Peers});
  m_Opts.m_OnBoxes(Addresses);
}

/// Chooses some boxes of each other data centre by rendezvous hashing. The
/// number of links to all of them would grow with the square of the fleet.
std::vector<BoxRecord> Membership::chosenRemote() const {
  std::map<DataCentreName, std::vector<BoxName>> ByDataCentre;
  for (const auto &[Box, Record] : m_Boxes)
    if (Record.m_DataCentre != m_Opts.m_Self.m_DataCentre)
      ByDataCentre[Record.m_DataCentre].push_back(Box);
  std::vector<BoxRecord> Chosen;
  for (auto &[DataCentre, Boxes] : ByDataCentre)
    for (int Count = 0; Count < RemoteLinks && !Boxes.empty(); ++Count) {
      const BoxName Best = *rendezvousPick(Boxes, m_Opts.m_Self.m_Box.str());
      Chosen.push_back(m_Boxes.at(Best));
      std::erase(Boxes, Best);
    }
  return Chosen;
}

void Membership::assignmentRead(const PlatformRead &Read) {
  if (Read.m_Status == PlatformStatus::NotFound) {
    m_AssignmentKnown = true;
    m_AssignmentIndex = 0;
    return;
  }
  if (Read.m_Status != PlatformStatus::Ok || Read.m_Entries.empty())
    return;
  const PlatformEntry &Entry = Read.m_Entries.front();
  try {
    learnAssignment(assignmentFromJson(parseJson(Entry.m_Value)));
    m_AssignmentIndex = Entry.m_ModifyIndex;
    m_AssignmentKnown = true;
  } catch (const DecodeError &Error) {
    logError(LogPart::Lease, std::string("Assignment: ") + Error.what());
  }
}

void Membership::learnAssignment(const Assignment &Newer) {
  if (Newer.m_Version <= m_Assignment.m_Version)
    return;
  m_Assignment = Newer;
  m_Opts.m_OnAssignment(m_Assignment);
}

std::vector<BoxName> Membership::liveBoxes() const {
  std::vector<BoxName> Live;
  for (const auto &[Box, Record] : m_Boxes) {
    const bool Here = Record.m_DataCentre == m_Opts.m_Self.m_DataCentre;
    const bool SelfStops = Box == m_Opts.m_Self.m_Box && m_Stopping;
    if (Here && !Record.m_Stopping && !SelfStops)
      Live.push_back(Box);
  }
  return Live;
}

void Membership::considerAssignment() {
  const bool Informed = m_BoxesKnown && m_AssignmentKnown &&
                        m_BoxWatch.current() && m_AssignmentWatch.current() &&
                        m_UpstreamWatch.current();
  if (!Informed || m_WriteInFlight || !leaseHeld())
    return;
  const std::vector<BoxName> Live = liveBoxes();
  const std::optional<Assignment> Next =
      nextAssignment(m_Assignment, Live, m_Opts.m_Upstreams());
  if (!Next) {
    m_WantedSince.reset();
    return;
  }
  const TimePoint Now = EventLoop::now();
  if (!m_WantedSince)
    m_WantedSince = Now;
  // A stopping box is the first to know that it must be left out.
  const auto Rank = m_Stopping ? 0
                               : std::lower_bound(Live.begin(), Live.end(),
                                                  m_Opts.m_Self.m_Box) -
                                     Live.begin();
  if (Now >= *m_WantedSince + Rank * RankDelay)
    writeAssignment(*Next);
}

void Membership::writeAssignment(const Assignment &Next) {
  m_WriteInFlight = true;
  const std::string Key =
      "havenstair/assignment/" + m_Opts.m_Self.m_DataCentre.str();
  m_Platform.swap(
      {{Key, dumpJson(havenstair::toJson(Next)), m_AssignmentIndex}},
      [this, Next](PlatformStatus Status) {
        m_WriteInFlight = false;
        // The watch shows the result, also of a write whose answer was lost.
        m_WantedSince.reset();
        if (Status == PlatformStatus::Ok)
          logInfo(LogPart::Lease,
                  "Wrote assignment " + std::to_string(Next.m_Version) + ".");
      });
}

void Membership::beginStop() {
  m_Stopping = true;
  m_Opts.m_Self.m_Stopping = true;
  if (!m_Lease.leaseId().empty())
    m_Platform.acquire(boxKey(), dumpJson(toJson(m_Opts.m_Self)),
                       m_Lease.leaseId(), [](PlatformStatus) {});
}

bool Membership::handedOver() const {
  const BoxName &Self = m_Opts.m_Self.m_Box;
  for (const auto &[Upstream, Box] : m_Assignment.m_OwnerOf)
    if (Box == Self)
      return false;
  return std::find(m_Assignment.m_KeyOwners.begin(),
                   m_Assignment.m_KeyOwners.end(),
                   Self) == m_Assignment.m_KeyOwners.end();
}

void Membership::leave(std::function<void()> Done) {
  m_Left = true;
  if (m_Lease.leaseId().empty()) {
    Done();
    return;
  }
  m_Platform.destroySession(
      m_Lease.leaseId(), [Done = std::move(Done)](PlatformStatus) { Done(); });
}

} // namespace havenstair
