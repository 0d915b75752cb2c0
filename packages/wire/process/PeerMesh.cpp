#include "wire/process/PeerMesh.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

namespace havenstair {

PeerMesh::PeerMesh(EventLoop &Loop, Options Opts, Hooks Callbacks)
    : m_Loop(Loop), m_Opts(std::move(Opts)), m_Hooks(std::move(Callbacks)),
      m_Port(
          Loop, m_Opts.m_Listen,
          [this](evconnlistener *Listener) { onListening(Listener); },
          m_Hooks.m_Listening) {
  m_LookTimer = Loop.every(PeerLink::LookEvery, [this] { look(); });
}

void PeerMesh::onListening(evconnlistener *Listener) {
  m_Listener = Listener;
  evconnlistener_set_cb(
      Listener,
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int, void *Arg) {
        static_cast<PeerMesh *>(Arg)->accept(Socket);
      },
      this);
}

void PeerMesh::look() {
  for (const auto &[Key, Link] : m_Links)
    Link->look();
}

PeerMesh::~PeerMesh() {
  if (m_Listener != nullptr)
    evconnlistener_free(m_Listener);
}

void PeerMesh::accept(int Socket) {
  bufferevent *Stream =
      bufferevent_socket_new(m_Loop.base(), Socket, BEV_OPT_CLOSE_ON_FREE);
  adopt(Stream, false, BoxName());
}

void PeerMesh::learn(const std::vector<PeerAddress> &Peers) {
  for (const PeerAddress &Peer : Peers)
    if (Peer.m_Box != m_Opts.m_Link.m_Self)
      learnOne(Peer, false);
}

void PeerMesh::learnSeeds(const std::vector<Endpoint> &Seeds) {
  for (const Endpoint &Seed : Seeds)
    learnOne({.m_Box = BoxName("seed " + Seed.str()),
              .m_DataCentre = {},
              .m_Endpoint = Seed},
             true);
}

void PeerMesh::learnOne(const PeerAddress &Peer, bool Seed) {
  Backoff Redials({.m_First = m_Opts.m_RedialFirst,
                   .m_Cap = m_Opts.m_RedialCap,
                   .m_Random = m_Opts.m_Random});
  const auto [Place, New] =
      m_Known.try_emplace(Peer.m_Box, Known{.m_Address = Peer,
                                            .m_Seed = Seed,
                                            .m_Backoff = std::move(Redials),
                                            .m_Redial = {},
                                            .m_Dialling = false});
  if (!New && Place->second.m_Address == Peer)
    return;
  Place->second.m_Address = Peer;
  Place->second.m_Backoff.reset();
  dial(Peer.m_Box);
}

bool PeerMesh::reached(const Known &Peer) const {
  if (!Peer.m_Seed)
    return find(Peer.m_Address.m_Box) != nullptr;
  for (const auto &[Box, Link] : m_UpLinks) {
    const auto Found = m_Known.find(Box);
    const bool Same =
        Found != m_Known.end() &&
        Found->second.m_Address.m_Endpoint == Peer.m_Address.m_Endpoint;
    if (Same)
      return true;
  }
  return false;
}

void PeerMesh::forget(const BoxName &Box) { m_Known.erase(Box); }

bool PeerMesh::dialsTo(const Known &Peer) const {
  const PeerLink::Options &Own = m_Opts.m_Link;
  const bool Here = Peer.m_Address.m_DataCentre == Own.m_DataCentre;
  return Peer.m_Seed || Peer.m_Address.m_Dial || !Here ||
         Own.m_Self < Peer.m_Address.m_Box;
}

/// Whether \p Link stays when there are two links to its peer. Both sides reach
/// the same result.
bool PeerMesh::preferred(const PeerLink &Link) const {
  return Link.dialled() == (m_Opts.m_Link.m_Self < Link.peer());
}

void PeerMesh::drop(const BoxName &Box) {
  if (PeerLink *Link = find(Box))
    Link->close();
}

void PeerMesh::dial(const BoxName &Box) {
  const auto Found = m_Known.find(Box);
  if (Found == m_Known.end() || Found->second.m_Dialling)
    return;
  Known &Peer = Found->second;
  if (!dialsTo(Peer))
    return;
  if (reached(Peer))
    return redialLater(Peer);
  sockaddr_storage Address{};
  const int Length = toSockaddr(Peer.m_Address.m_Endpoint, Address);
  if (Length == 0)
    return;
  Peer.m_Dialling = true;
  bufferevent *Stream =
      bufferevent_socket_new(m_Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  adopt(Stream, true, Box);
  bufferevent_socket_connect(Stream, reinterpret_cast<sockaddr *>(&Address),
                             Length);
}

void PeerMesh::adopt(bufferevent *Stream, bool Dialled,
                     const BoxName &Dialing) {
  PeerLink::Hooks Callbacks;
  Callbacks.m_Up = [this](PeerLink &Link) { linkUp(Link); };
  Callbacks.m_Down = [this](PeerLink &Link) { linkDown(Link); };
  Callbacks.m_Frame = [this](PeerLink &Link, PeerFrame Frame) {
    m_Hooks.m_Frame(Link.peer(), std::move(Frame));
  };
  Callbacks.m_Skipped = m_Hooks.m_Skipped;
  auto Link = std::make_unique<PeerLink>(m_Loop, Stream, Dialled, m_Opts.m_Link,
                                         std::move(Callbacks));
  PeerLink *Key = Link.get();
  m_Links.emplace(Key, std::move(Link));
  if (Dialled) {
    m_DialledFor[Key] = Dialing;
    return;
  }
  m_Unproven.push_back(Key);
  boundUnproven();
}

void PeerMesh::boundUnproven() {
  while (m_Unproven.size() > m_Opts.m_MaxUnproven) {
    m_Unproven.front()->close();
    m_Unproven.pop_front();
  }
}

void PeerMesh::linkUp(PeerLink &Link) {
  m_Unproven.remove(&Link);
  if (PeerLink *Old = find(Link.peer()); Old != nullptr && Old != &Link) {
    if (preferred(*Old) && !preferred(Link))
      return Link.close();
    Old->close();
  }
  m_UpLinks[Link.peer()] = &Link;
  if (const auto Found = m_Known.find(Link.peer()); Found != m_Known.end())
    Found->second.m_Backoff.reset();
  m_Hooks.m_Up(Link.peer(), Link.peerDataCentre());
}

void PeerMesh::linkDown(PeerLink &Link) {
  const auto Owned = m_Links.find(&Link);
  if (Owned == m_Links.end())
    return;
  const std::unique_ptr<PeerLink> Keep = std::move(Owned->second);
  m_Links.erase(Owned);
  m_Unproven.remove(&Link);
  const BoxName Peer = Link.peer();
  if (const auto Dialled = m_DialledFor.find(&Link);
      Dialled != m_DialledFor.end()) {
    const BoxName For = Dialled->second;
    m_DialledFor.erase(Dialled);
    if (const auto Known = m_Known.find(For); Known != m_Known.end()) {
      Known->second.m_Dialling = false;
      redialLater(Known->second);
    }
  }
  const auto Up = m_UpLinks.find(Peer);
  if (Up == m_UpLinks.end() || Up->second != &Link)
    return;
  m_UpLinks.erase(Up);
  m_Hooks.m_Down(Peer);
}

void PeerMesh::redialLater(Known &Peer) {
  const BoxName Box = Peer.m_Address.m_Box;
  Peer.m_Redial =
      m_Loop.after(Peer.m_Backoff.next(), [this, Box] { dial(Box); });
}

PeerLink *PeerMesh::find(const BoxName &Box) const {
  const auto Found = m_UpLinks.find(Box);
  return Found == m_UpLinks.end() ? nullptr : Found->second;
}

std::size_t PeerMesh::send(const BoxName &To, const EncodedFrame &Frame) {
  PeerLink *Link = find(To);
  return Link == nullptr ? 0 : Link->send(Frame);
}

std::size_t PeerMesh::queued(const BoxName &To) const {
  const PeerLink *Link = find(To);
  return Link == nullptr ? 0 : Link->queued();
}

DataCentreName PeerMesh::dataCentreOf(const BoxName &Box) const {
  const PeerLink *Link = find(Box);
  return Link == nullptr ? DataCentreName() : Link->peerDataCentre();
}

PeerProtocol PeerMesh::protocolOf(const BoxName &Box) const {
  const PeerLink *Link = find(Box);
  return Link == nullptr ? FirstProtocol : Link->peerProtocol();
}

bool PeerMesh::reachable(const BoxName &Box) const {
  const PeerLink *Link = find(Box);
  return Link != nullptr && Link->up();
}

std::vector<BoxName>
PeerMesh::reachable(const DataCentreName &DataCentre) const {
  std::vector<BoxName> Result;
  for (const auto &[Box, Link] : m_UpLinks)
    if (Link->up() && Link->peerDataCentre() == DataCentre)
      Result.push_back(Box);
  return Result;
}

} // namespace havenstair
