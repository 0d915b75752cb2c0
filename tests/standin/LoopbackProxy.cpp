#include "standin/LoopbackProxy.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace havenstair {

namespace {

void makeReset(int Socket) {
  const linger Now{.l_onoff = 1, .l_linger = 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
}

std::string take(bufferevent *From) {
  evbuffer *Input = bufferevent_get_input(From);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  return Bytes;
}

} // namespace

/// One connection with its other half; side 0 is the client's.
class LoopbackProxy::Link : public std::enable_shared_from_this<Link> {
public:
  Link(LoopbackProxy &Of, int Socket, std::string Client)
      : m_Of(Of), m_Client(std::move(Client)) {
    m_Sides[0].m_Stream = bufferevent_socket_new(m_Of.m_Loop.base(), Socket,
                                                 BEV_OPT_CLOSE_ON_FREE);
    m_Sides[1].m_Stream =
        bufferevent_socket_new(m_Of.m_Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  }
  ~Link() { close(); }

  void start() {
    for (Side &Each : m_Sides)
      bufferevent_setcb(Each.m_Stream, onReadable, onWritten, onEvent, this);
    sockaddr_storage To{};
    const int Size = toSockaddr(m_Of.m_To, To);
    bufferevent_socket_connect(m_Sides[1].m_Stream,
                               reinterpret_cast<sockaddr *>(&To), Size);
    sendWithoutDelay(bufferevent_getfd(m_Sides[0].m_Stream));
    sendWithoutDelay(bufferevent_getfd(m_Sides[1].m_Stream));
    for (Side &Each : m_Sides)
      bufferevent_enable(Each.m_Stream, EV_READ | EV_WRITE);
  }

  void reset() {
    for (Side &Each : m_Sides)
      if (Each.m_Stream != nullptr)
        makeReset(bufferevent_getfd(Each.m_Stream));
    m_Of.remove(this);
  }
  void silence() {
    m_Silent = true;
    for (Side &Each : m_Sides)
      Each.m_Timer = Timer();
  }
  const std::string &client() const { return m_Client; }
  /// What the client sent last, in one piece.
  const std::string &asked() const { return m_Asked; }
  /// Passes on what is due, of both directions.
  void flush() {
    flush(0);
    flush(1);
  }

private:
  struct Held {
    TimePoint m_Due;
    std::string m_Bytes;
  };
  /// What was read from this side and has not reached the other yet.
  struct Side {
    bufferevent *m_Stream = nullptr;
    std::deque<Held> m_Held;
    Timer m_Timer;
    bool m_Ended = false;
  };

  std::size_t sideOf(const bufferevent *Stream) const {
    return Stream == m_Sides[0].m_Stream ? 0 : 1;
  }
  bool cut(std::size_t From) const {
    return (From == 0 ? m_Of.m_CutToServer : m_Of.m_CutToClient) ||
           m_Of.partitionOf(m_Client) == Partition::Hangs;
  }

  static void onReadable(bufferevent *Stream, void *Arg) {
    const auto Self = static_cast<Link *>(Arg)->shared_from_this();
    Self->read(Self->sideOf(Stream));
  }
  static void onWritten(bufferevent *Stream, void *Arg) {
    const auto Self = static_cast<Link *>(Arg)->shared_from_this();
    Self->endIfWritten(1 - Self->sideOf(Stream));
  }
  static void onEvent(bufferevent *Stream, short What, void *Arg) {
    const auto Self = static_cast<Link *>(Arg)->shared_from_this();
    if (Self->m_Silent)
      return;
    if ((What & BEV_EVENT_ERROR) != 0)
      return Self->reset();
    if ((What & BEV_EVENT_EOF) == 0)
      return;
    const std::size_t From = Self->sideOf(Stream);
    Self->m_Sides[From].m_Ended = true;
    Self->endIfWritten(From);
  }

  void read(std::size_t From) {
    Side &Of = m_Sides[From];
    std::string Bytes = take(Of.m_Stream);
    if (m_Silent)
      return;
    if (From == 0)
      m_Asked = Bytes;
    if (From == 0 && m_Of.m_Doubled && m_Of.m_Doubled(Bytes))
      m_Of.sendAgain(Bytes);
    // A shorter delay must not let bytes overtake earlier ones.
    TimePoint Due = EventLoop::now() + m_Of.m_Delay;
    if (!Of.m_Held.empty())
      Due = std::max(Due, Of.m_Held.back().m_Due);
    Of.m_Held.push_back({Due, std::move(Bytes)});
    flush(From);
  }

  void flush(std::size_t From) {
    Side &Of = m_Sides[From];
    if (m_Silent || cut(From))
      return;
    const TimePoint Now = EventLoop::now();
    while (!Of.m_Held.empty() && Of.m_Held.front().m_Due <= Now) {
      const std::string &Bytes = Of.m_Held.front().m_Bytes;
      bufferevent_write(m_Sides[1 - From].m_Stream, Bytes.data(), Bytes.size());
      Of.m_Held.pop_front();
    }
    if (Of.m_Held.empty())
      return endIfWritten(From);
    Of.m_Timer = m_Of.m_Loop.after(Of.m_Held.front().m_Due - Now,
                                   [Self = weak_from_this(), From] {
                                     if (const auto Held = Self.lock())
                                       Held->flush(From);
                                   });
  }

  /// The end of a side is passed on behind its bytes.
  void endIfWritten(std::size_t From) {
    const Side &Of = m_Sides[From];
    if (!Of.m_Ended || !Of.m_Held.empty() || cut(From))
      return;
    bufferevent *To = m_Sides[1 - From].m_Stream;
    if (To == nullptr || evbuffer_get_length(bufferevent_get_output(To)) != 0)
      return;
    if (m_Of.m_PassingHalfCloses && !m_Sides[1 - From].m_Ended)
      shutdown(bufferevent_getfd(To), SHUT_WR);
    else
      m_Of.remove(this);
  }

  void close() {
    for (Side &Each : m_Sides)
      if (Each.m_Stream != nullptr)
        bufferevent_free(std::exchange(Each.m_Stream, nullptr));
  }

  LoopbackProxy &m_Of;
  const std::string m_Client;
  std::array<Side, 2> m_Sides;
  std::string m_Asked;
  bool m_Silent = false;
};

LoopbackProxy::LoopbackProxy(EventLoop &Loop, const Endpoint &Listen,
                             const Endpoint &To)
    : m_Loop(Loop), m_To(To), m_Endpoint(Listen) {
  reservePort();
  listen();
}

void LoopbackProxy::reservePort() {
  sockaddr_storage Address{};
  const auto Size = static_cast<socklen_t>(toSockaddr(m_Endpoint, Address));
  auto *Wanted = reinterpret_cast<sockaddr *>(&Address);
  const int Shared = 1;
  m_Reserved = socket(Address.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (setsockopt(m_Reserved, SOL_SOCKET, SO_REUSEADDR, &Shared,
                 sizeof(Shared)) != 0 ||
      bind(m_Reserved, Wanted, Size) != 0) {
    close(m_Reserved);
    throw std::runtime_error("a proxy cannot have " + m_Endpoint.str());
  }
  sockaddr_in Bound{};
  socklen_t Length = sizeof(Bound);
  getsockname(m_Reserved, reinterpret_cast<sockaddr *>(&Bound), &Length);
  m_Endpoint.m_Port = ntohs(Bound.sin_port);
}

void LoopbackProxy::listen() {
  sockaddr_storage Address{};
  const int Size = toSockaddr(m_Endpoint, Address);
  m_Listener = evconnlistener_new_bind(
      m_Loop.base(),
      [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int, void *Arg) {
        static_cast<LoopbackProxy *>(Arg)->accept(Socket);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      -1, reinterpret_cast<sockaddr *>(&Address), Size);
  if (m_Listener == nullptr)
    throw std::runtime_error("a proxy cannot listen at " + m_Endpoint.str());
}

LoopbackProxy::~LoopbackProxy() {
  m_Links.clear();
  for (bufferevent *Each : m_Repeats)
    bufferevent_free(Each);
  setListening(false);
  close(m_Reserved);
}

void LoopbackProxy::setListening(bool Listening) {
  if (Listening == (m_Listener != nullptr))
    return;
  if (Listening)
    return listen();
  evconnlistener_free(std::exchange(m_Listener, nullptr));
  resetOpen();
}

void LoopbackProxy::accept(int Socket) {
  const std::string Client = nameOf(Socket);
  const Partition Of = partitionOf(Client);
  if (m_Refusing || Of == Partition::Resets || Of == Partition::RefusesNew) {
    makeReset(Socket);
    close(Socket);
    return;
  }
  m_Links.push_back(std::make_shared<Link>(*this, Socket, Client));
  m_Links.back()->start();
}

void LoopbackProxy::remove(const Link *Gone) {
  m_Links.remove_if([&](const auto &Each) { return Each.get() == Gone; });
}

std::string LoopbackProxy::nameOf(int Socket) const {
  if (!m_Naming)
    return "";
  sockaddr_in Address{};
  socklen_t Length = sizeof(Address);
  getpeername(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
  char Text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &Address.sin_addr, Text, sizeof(Text));
  return m_Naming({Text, ntohs(Address.sin_port)});
}

LoopbackProxy::Partition
LoopbackProxy::partitionOf(const std::string &Client) const {
  const auto Found = m_Partitions.find(Client);
  return Found == m_Partitions.end() ? Partition::None : Found->second;
}

void LoopbackProxy::setPartition(const std::string &Client, Partition Of) {
  m_Partitions[Client] = Of;
  const auto Links = m_Links;
  for (const auto &Each : Links)
    if (Of == Partition::Resets && Each->client() == Client)
      Each->reset();
  flushAll();
}

void LoopbackProxy::flushAll() {
  const auto Links = m_Links;
  for (const auto &Each : Links)
    Each->flush();
}

void LoopbackProxy::setCut(Direction Of, bool Cut) {
  (Of == Direction::ToServer ? m_CutToServer : m_CutToClient) = Cut;
  flushAll();
}

void LoopbackProxy::setRefusing(bool Refusing) {
  m_Refusing = Refusing;
  if (Refusing)
    resetOpen();
}

void LoopbackProxy::resetOpen() {
  const auto Links = m_Links;
  for (const auto &Each : Links)
    Each->reset();
}

void LoopbackProxy::silenceOpen() {
  silenceOpen([](const std::string &) { return true; });
}

void LoopbackProxy::silenceOpen(
    const std::function<bool(const std::string &)> &Which) {
  for (const auto &Each : m_Links)
    if (Which(Each->asked()))
      Each->silence();
}

void LoopbackProxy::sendAgain(const std::string &Bytes) {
  bufferevent *Stream =
      bufferevent_socket_new(m_Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  sockaddr_storage To{};
  const int Size = toSockaddr(m_To, To);
  bufferevent_socket_connect(Stream, reinterpret_cast<sockaddr *>(&To), Size);
  bufferevent_write(Stream, Bytes.data(), Bytes.size());
  m_Repeats.push_back(Stream);
}

} // namespace havenstair
