#include "support/Names.h"
#include "wire/common/Deflate.h"
#include "wire/common/Json.h"
#include "wire/connection/PeerFrames.h"
#include "wire/connection/WebSocketSession.h"
#include "wire/process/PeerMesh.h"

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;
const std::string Secret = "the-secret-of-all";

/// A process that reaches a box's port for links and does not know the secret.
class Stranger {
public:
  Stranger(EventLoop &Loop, const Endpoint &To) : Stranger(Loop) {
    sockaddr_storage Address{};
    const int Length = toSockaddr(To, Address);
    bufferevent_socket_connect(m_Stream, reinterpret_cast<sockaddr *>(&Address),
                               Length);
  }
  /// Over a socket that is connected.
  Stranger(EventLoop &Loop, int Socket) : Stranger(Loop) {
    bufferevent_setfd(m_Stream, Socket);
    bufferevent_enable(m_Stream, EV_READ | EV_WRITE);
    m_Session->start();
  }
  ~Stranger() { bufferevent_free(m_Stream); }
  Stranger(const Stranger &) = delete;
  Stranger &operator=(const Stranger &) = delete;

  void write(const std::string &Bytes) {
    bufferevent_write(m_Stream, Bytes.data(), Bytes.size());
  }
  void send(const std::string &Message) { m_Session->send(Message); }
  bool open() const { return m_Open; }
  bool closed() const { return m_Closed; }

private:
  explicit Stranger(EventLoop &Loop)
      : m_Stream(
            bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    WebSocketSession::Hooks Callbacks;
    Callbacks.m_Write = [this](const char *Bytes, std::size_t Count) {
      write({Bytes, Count});
    };
    Callbacks.m_Open = [this] { m_Open = true; };
    Callbacks.m_Message = [](const std::string &) {};
    Callbacks.m_Closed = [this] { m_Closed = true; };
    m_Session = WebSocketSession::dial("ws://peer/havenstair", 1 << 20,
                                       std::move(Callbacks));
    bufferevent_setcb(
        m_Stream,
        [](bufferevent *, void *Arg) {
          static_cast<Stranger *>(Arg)->onReadable();
        },
        nullptr,
        [](bufferevent *, short What, void *Arg) {
          static_cast<Stranger *>(Arg)->onEvent(What);
        },
        this);
    bufferevent_enable(m_Stream, EV_READ | EV_WRITE);
  }

  void onEvent(short What) {
    if ((What & BEV_EVENT_CONNECTED) != 0)
      m_Session->start();
    else
      m_Closed = true;
  }
  void onReadable() {
    evbuffer *Input = bufferevent_get_input(m_Stream);
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    m_Session->feed(Bytes.data(), Bytes.size());
  }

  bufferevent *m_Stream;
  std::unique_ptr<WebSocketSession> m_Session;
  bool m_Open = false;
  bool m_Closed = false;
};

PeerMesh::Options options(const std::string &Name) {
  return {.m_Listen = {"127.0.0.1", 0},
          .m_Link = {.m_Self = BoxName(Name),
                     .m_DataCentre = DataCentreName("kl"),
                     .m_Secret = Secret},
          .m_RedialFirst = 5ms,
          .m_RedialCap = 20ms,
          .m_Random = [] { return 0.5; }};
}

PeerMesh::Hooks counting(int &Ups) {
  return {.m_Up = [&Ups](const BoxName &, const DataCentreName &) { ++Ups; },
          .m_Frame = [](const BoxName &, const PeerFrame &) {},
          .m_Down = [](const BoxName &) {}};
}

/// Another box links to \p Mesh, which counts its links in \p Ups.
void requireLinkFromBox(EventLoop &Loop, const PeerMesh &Mesh, const int &Ups) {
  int OtherUps = 0;
  PeerMesh Other(Loop, options("b"), counting(OtherUps));
  Other.learnSeeds({Mesh.endpoint()});
  REQUIRE(Loop.runUntil([&] { return Ups == 1 && OtherUps == 1; }, Limit));
}

std::string repeated(std::size_t Count, const std::string &Bytes) {
  std::string Result;
  while (Result.size() < Count * Bytes.size())
    Result += Bytes;
  return Result;
}

constexpr std::size_t Deep = 1'000'000;

} // namespace

// Each overflows the stack of a reader that calls itself for what is inside.
TEST_CASE("A frame that is nested without end is refused and ends nobody",
          "[peers][stranger]") {
  const std::string Bytes =
      GENERATE(repeated(Deep, "\x81"),                     // Lists.
               repeated(Deep, std::string("\xa1\x60", 2)), // Objects.
               repeated(Deep, "\x9f"),          // Lists without a count.
               repeated(Deep, "\x5f"),          // Bytes in pieces.
               repeated(Deep, "\x7f"),          // Text in pieces.
               "\xa1" + repeated(Deep, "\x7f"), // The same as a field's name.
               repeated(Deep, "\xd8\x18"));     // Tags.
  REQUIRE_THROWS_AS(decodeFrame(Bytes), DecodeError);
  const std::string Packed = encodeFrame(
      PackedFrame{.m_Size = Bytes.size(), .m_Bytes = deflateBytes(Bytes)});
  REQUIRE_THROWS_AS(decodeFrame(Packed), DecodeError);
}

TEST_CASE("A frame whose counts exceed its bytes is refused",
          "[peers][stranger]") {
  const std::string Count(8, '\xff');
  const std::string Kind = GENERATE("\x9b", "\xbb", "\x5b", "\x7b");
  REQUIRE_THROWS_AS(decodeFrame(Kind + Count), DecodeError);
  REQUIRE_THROWS_AS(decodeFrame("\x82" + Kind + Count + "\x01"), DecodeError);
}

TEST_CASE("A stranger's frame that is nested without end leaves a box linked",
          "[peers][stranger]") {
  EventLoop Loop;
  int Ups = 0;
  PeerMesh Mesh(Loop, options("a"), counting(Ups));
  Stranger Sender(Loop, Mesh.endpoint());
  REQUIRE(Loop.runUntil([&] { return Sender.open(); }, Limit));
  Sender.send(repeated(Deep, "\x81"));
  REQUIRE(Loop.runUntil([&] { return Sender.closed(); }, Limit));
  requireLinkFromBox(Loop, Mesh, Ups);
}

// The link stands alone: nobody closes it for its silence.
TEST_CASE("Before its proof a link takes no message larger than a greeting",
          "[peers][stranger]") {
  EventLoop Loop;
  int Ends[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends) == 0);
  bool Down = false;
  PeerLink Link(
      Loop, bufferevent_socket_new(Loop.base(), Ends[0], BEV_OPT_CLOSE_ON_FREE),
      false, options("a").m_Link,
      {.m_Up = [](PeerLink &) {},
       .m_Frame = [](PeerLink &, const PeerFrame &) {},
       .m_Skipped = {},
       .m_Down = [&](PeerLink &) { Down = true; }});
  Stranger Sender(Loop, Ends[1]);
  REQUIRE(Loop.runUntil([&] { return Sender.open(); }, Limit));
  // The head of a masked binary frame of 1 MB, without its payload.
  Sender.write(std::string("\x82\xff\x00\x00\x00\x00\x00\x10\x00\x00", 10) +
               std::string(4, '\0'));
  REQUIRE(Loop.runUntil([&] { return Down; }, Limit));
}

TEST_CASE("Before its proof a link does not unpack a compressed frame",
          "[peers][stranger]") {
  const HelloFrame Hello{.m_Box = BoxName("stranger"),
                         .m_DataCentre = DataCentreName("kl"),
                         .m_Nonce = std::string(32, 'a'),
                         .m_Protocol = OwnProtocol};
  const std::string Plain = encodeFrame(Hello);
  REQUIRE(std::holds_alternative<HelloFrame>(decodeGreeting(Plain)));
  const std::string Packed = encodeFrame(
      PackedFrame{.m_Size = Plain.size(), .m_Bytes = deflateBytes(Plain)});
  REQUIRE(std::holds_alternative<HelloFrame>(decodeFrame(Packed)));
  REQUIRE_THROWS_AS(decodeGreeting(Packed), DecodeError);
  REQUIRE_THROWS_AS(decodeGreeting(encodeFrame(CancelFrame{7})), DecodeError);
}

TEST_CASE("A link that does not prove itself is closed however often it sends",
          "[peers][stranger]") {
  EventLoop Loop;
  int Ups = 0;
  PeerMesh Mesh(Loop, options("a"), counting(Ups));
  Stranger Sender(Loop, Mesh.endpoint());
  REQUIRE(Loop.runUntil([&] { return Sender.open(); }, Limit));
  // Pings, each a frame of its own.
  const std::string Ping = std::string("\x89\x80\x00\x00\x00\x00", 6);
  const Timer Pings = Loop.every(50ms, [&] { Sender.write(Ping); });
  REQUIRE(Loop.runUntil([&] { return Sender.closed(); }, Limit));
}

TEST_CASE("Strangers' links are bounded in number and keep no box out",
          "[peers][stranger]") {
  EventLoop Loop;
  int Ups = 0;
  PeerMesh::Options Opts = options("a");
  Opts.m_MaxUnproven = 20;
  PeerMesh Mesh(Loop, Opts, counting(Ups));
  std::vector<std::unique_ptr<Stranger>> Strangers;
  for (std::size_t Number = 0; Number <= Opts.m_MaxUnproven; ++Number) {
    Strangers.push_back(std::make_unique<Stranger>(Loop, Mesh.endpoint()));
    REQUIRE(Loop.runUntil([&] { return Strangers.back()->open(); }, Limit));
  }
  const auto Open = [&] {
    std::size_t Result = 0;
    for (const auto &Each : Strangers)
      Result += Each->closed() ? 0 : 1;
    return Result;
  };
  REQUIRE(Loop.runUntil([&] { return Strangers.front()->closed(); }, Limit));
  REQUIRE(Open() == Opts.m_MaxUnproven);
  requireLinkFromBox(Loop, Mesh, Ups);
}
