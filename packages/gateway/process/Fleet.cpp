#include "gateway/process/Fleet.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/Json.h"
#include <algorithm>

namespace havenstair {

namespace {

constexpr Duration TickEvery = 100ms;
constexpr const char *BoxKeys = "box/";

} // namespace

Fleet::Fleet(EventLoop &Loop, CoordinationStore &Store, DecisionLog &Log,
             Options Opts, Hooks Callbacks)
    : m_Log(Log), m_Opts(std::move(Opts)), m_Hooks(std::move(Callbacks)),
      m_Entry(
          Store,
          {.m_TimeToLive = m_Opts.m_Lease, .m_RenewEvery = m_Opts.m_RenewEvery},
          {.m_Claim = [this](LeaseId Lease) { return entry(Lease); },
           .m_Claimed = [](StoreRevision) {},
           .m_Lost = [] {},
           .m_Answered = [this](bool Reached) { storeAnswered(Reached); }}),
      m_Mesh(Loop, meshOptions(), meshHooks()) {
  m_Mesh.learnSeeds(m_Opts.m_Seeds);
  m_TickTimer = Loop.every(TickEvery, [this] { tick(); });
  m_DigestTimer =
      Loop.every(m_Opts.m_DigestEvery, [this] { sendAll(m_Hooks.m_Digest()); });
}

Fleet::~Fleet() = default;

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
                m_Log.write("peer_up", {{"peer", Box.str()}});
                m_Hooks.m_Up(Box);
              },
          .m_Frame =
              [this](const BoxName &Box, PeerFrame Frame) {
                m_Hooks.m_Frame(Box, std::move(Frame));
              },
          .m_Down =
              [this](const BoxName &Box) {
                m_Linked.erase(Box);
                m_Log.write("peer_down", {{"peer", Box.str()}});
                m_Hooks.m_Down(Box);
              }};
}

StoreTransaction Fleet::entry(LeaseId Lease) const {
  const Json Value{{"peers", m_Mesh.endpoint().str()},
                   {"zone", m_Opts.m_DataCentre.str()}};
  return {.m_Conditions = {},
          .m_Puts = {{.m_Key = m_Opts.m_Prefix + BoxKeys + m_Opts.m_Box.str(),
                      .m_Value = dumpJson(Value),
                      .m_Lease = Lease}},
          .m_Removals = {}};
}

void Fleet::tick() {
  if (!m_Left)
    m_Entry.tick(EventLoop::now());
}

void Fleet::storeAnswered(bool Reached) {
  if (Reached)
    m_ReachedAt = EventLoop::now();
  if (Reached == m_Reached)
    return;
  m_Reached = Reached;
  m_Log.write(Reached ? "store_back" : "store_lost", {});
  if (Reached)
    m_Hooks.m_StoreBack();
}

bool Fleet::storeReached(Duration Within, TimePoint Now) const {
  return Now - m_ReachedAt <= Within;
}

void Fleet::entriesChanged(const std::map<std::string, StoreItem> &Items) {
  const std::string Start = m_Opts.m_Prefix + BoxKeys;
  std::set<BoxName> Listed;
  std::vector<PeerAddress> Peers;
  for (const auto &[Key, Item] : Items) {
    if (!Key.starts_with(Start))
      continue;
    const BoxName Box(Key.substr(Start.size()));
    try {
      const Json Value = parseJson(Item.m_Value);
      const auto Address = Endpoint::parse(field<std::string>(Value, "peers"));
      if (!Address || Box == m_Opts.m_Box)
        continue;
      Listed.insert(Box);
      Peers.push_back(
          {.m_Box = Box,
           .m_DataCentre = DataCentreName(field<std::string>(Value, "zone")),
           .m_Endpoint = *Address});
    } catch (const DecodeError &Error) {
      m_Log.write("bad_box", {{"key", Key}, {"why", Error.what()}});
    }
  }
  for (const BoxName &Gone : m_Listed)
    if (!Listed.contains(Gone))
      m_Mesh.forget(Gone);
  m_Listed = std::move(Listed);
  m_Mesh.learn(Peers);
}

void Fleet::send(const BoxName &To, const PeerFrame &Frame) {
  m_Mesh.send(To, Frame);
}

void Fleet::sendAll(const PeerFrame &Frame) {
  // A link that fails while it is written to leaves the set.
  const std::set<BoxName> To = m_Linked;
  for (const BoxName &Box : To)
    m_Mesh.send(Box, Frame);
}

std::size_t Fleet::size() const {
  std::set<BoxName> Others = m_Listed;
  Others.insert(m_Linked.begin(), m_Linked.end());
  return Others.size() + 1;
}

void Fleet::leave() {
  m_Left = true;
  m_Entry.release();
}

} // namespace havenstair
