#include "wire/common/EventLoop.h"
#include "wire/common/HttpServer.h"
#include "wire/common/InboundConnection.h"

#include <array>
#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fcntl.h>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;
constexpr std::size_t MaxBody = 100000;

std::string post(std::size_t Length) {
  return "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(Length) + "\r\n\r\n";
}

/// A connection whose bytes the test gives, and whose heads it takes as evhttp
/// would.
class GivenConnection {
public:
  explicit GivenConnection(const MemoryBudget &Memory,
                           InboundConnection::MakeRoom MakeRoom = noRoom)
      : m_Stream(bufferevent_socket_new(m_Loop.base(), -1, 0)),
        m_Connection(m_Loop, m_Stream, m_Limits, Memory, std::move(MakeRoom),
                     [](const TimedOutConnection &) {}) {
    evbuffer_unfreeze(input(), 0);
  }
  ~GivenConnection() {
    m_Connection.close(nullptr);
    bufferevent_free(m_Stream);
  }
  GivenConnection(const GivenConnection &) = delete;
  GivenConnection &operator=(const GivenConnection &) = delete;

  static bool noRoom(TimePoint) { return false; }

  void feed(const std::string &Bytes) {
    evbuffer_add(input(), Bytes.data(), Bytes.size());
  }
  std::size_t waiting() { return evbuffer_get_length(input()); }
  /// Takes one head off the input; empty if there is none.
  std::string takeHead() {
    std::string Head;
    while (char *Line = evbuffer_readln(input(), nullptr, EVBUFFER_EOL_CRLF)) {
      const std::string Text = Line;
      free(Line);
      if (Text.empty())
        break;
      Head += Text + "\n";
    }
    return Head;
  }

  InboundConnection &connection() { return m_Connection; }

private:
  evbuffer *input() { return bufferevent_get_input(m_Stream); }

  EventLoop m_Loop;
  InboundConnection::Limits m_Limits{.m_MaxHeaders = 1000,
                                     .m_MaxBody = MaxBody};
  bufferevent *m_Stream;
  InboundConnection m_Connection;
};

/// A caller that writes bytes of its own to a server.
class RawCaller {
public:
  explicit RawCaller(const Endpoint &To)
      : m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_storage Address{};
    const int Length = toSockaddr(To, Address);
    connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
            static_cast<socklen_t>(Length));
    fcntl(m_Socket, F_SETFL, O_NONBLOCK);
  }
  ~RawCaller() { close(m_Socket); }
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;

  /// Sends \p Bytes as the server reads them.
  void send(EventLoop &Loop, const std::string &Bytes) {
    std::size_t Sent = 0;
    const Timer Wake = Loop.every(1ms, [] {});
    REQUIRE(Loop.runUntil(
        [&] {
          const ssize_t Put = ::send(m_Socket, Bytes.data() + Sent,
                                     Bytes.size() - Sent, MSG_NOSIGNAL);
          Sent += Put > 0 ? static_cast<std::size_t>(Put) : 0;
          return Sent == Bytes.size();
        },
        Limit));
  }
  /// Waits until the server has sent \p Text.
  void awaitText(EventLoop &Loop, const std::string &Text) {
    const Timer Wake = Loop.every(1ms, [] {});
    REQUIRE(Loop.runUntil(
        [&] {
          std::array<char, 4096> Buffer{};
          const ssize_t Got = read(m_Socket, Buffer.data(), Buffer.size());
          m_Got.append(Buffer.data(), Got > 0 ? std::size_t(Got) : 0);
          return m_Got.find(Text) != std::string::npos;
        },
        Limit));
    m_Got.erase(0, m_Got.find(Text) + Text.size());
  }

private:
  int m_Socket;
  std::string m_Got;
};

MemoryBudget smallBudget() {
  return MemoryBudget(
      {.m_Limit = 50000, .m_LargeBodyPart = 1, .m_SmallBodyPart = 1});
}

HttpServer::Options options(const MemoryBudget &Memory) {
  return {.m_Listen = {"127.0.0.1", 0},
          .m_Limits = {.m_MaxBody = MaxBody},
          .m_Memory = Memory};
}

} // namespace

TEST_CASE("Requests on one connection come out whole wherever they are split",
          "[http][memory]") {
  rc::check("heads, bodies and their order are as sent", [] {
    const MemoryBudget Memory;
    GivenConnection Given(Memory);
    const auto Sizes = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, 300));
    const auto Step = *rc::gen::inRange<std::size_t>(1, 400);
    std::string Sent;
    for (const std::size_t Size : Sizes)
      Sent += post(Size) + std::string(Size, char('a' + Size % 26));
    std::vector<std::string> Bodies;
    for (std::size_t At = 0; At < Sent.size(); At += Step) {
      Given.feed(Sent.substr(At, Step));
      for (std::string Head = Given.takeHead(); !Head.empty();
           Head = Given.takeHead()) {
        RC_ASSERT(Head == "POST /a HTTP/1.1\nHost: a\n");
        Bodies.push_back(Given.connection().takeBody().str());
        Given.connection().onAnswered();
      }
    }
    RC_ASSERT(Bodies.size() == Sizes.size());
    for (std::size_t At = 0; At < Sizes.size(); ++At)
      RC_ASSERT(Bodies[At] ==
                std::string(Sizes[At], char('a' + Sizes[At] % 26)));
    RC_ASSERT(Memory.held() == 0u);
  });
}

TEST_CASE("A body without room is refused before it comes, and its connection "
          "goes on",
          "[http][memory]") {
  EventLoop Loop;
  const MemoryBudget Memory = smallBudget();
  std::vector<TurnedAway> Refused;
  HttpServer Server(
      Loop, options(Memory),
      [](const HttpExchangePtr &Exchange) {
        Exchange->reply(200, {}, Exchange->path().c_str());
      },
      [&](const HttpExchangePtr &Exchange, TurnedAway Why) {
        Refused.push_back(Why);
        Exchange->reply(503, {}, "refused");
      });
  RawCaller Caller(Server.endpoint());
  const std::size_t Length =
      GENERATE(as<std::size_t>(), 60000, MaxBody + 1, 20 * MaxBody);
  Caller.send(Loop, post(Length));
  Caller.awaitText(Loop, "refused");
  Caller.send(Loop, std::string(Length, 'x'));
  REQUIRE(Memory.held() == 0);
  Caller.send(Loop, "GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
  Caller.awaitText(Loop, "/next");
  REQUIRE(Refused == std::vector{Length > MaxBody ? TurnedAway::BodyTooLarge
                                                  : TurnedAway::NoMemory});
}

TEST_CASE("A body in chunks is refused once there is no room for more of it",
          "[http][memory]") {
  EventLoop Loop;
  const MemoryBudget Memory = smallBudget();
  HttpServer Server(
      Loop, options(Memory),
      [](const HttpExchangePtr &Exchange) {
        Exchange->reply(200, {}, Exchange->path().c_str());
      },
      [](const HttpExchangePtr &Exchange, TurnedAway) {
        Exchange->reply(503, {}, "refused");
      });
  RawCaller Caller(Server.endpoint());
  Caller.send(Loop, "POST /a HTTP/1.1\r\nHost: a\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
  const std::string Chunk = "2710\r\n" + std::string(10000, 'x') + "\r\n";
  for (int Each = 0; Each < 6; ++Each)
    Caller.send(Loop, Chunk);
  Caller.awaitText(Loop, "refused");
  REQUIRE(Memory.held() == 0);
  Caller.send(Loop, Chunk + "0\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\n\r\n");
  Caller.awaitText(Loop, "/next");
}

TEST_CASE("A body is held once, until its last owner lets go of it",
          "[http][memory]") {
  EventLoop Loop;
  const MemoryBudget Memory = smallBudget();
  HttpExchangePtr Held;
  HttpServer Server(Loop, options(Memory),
                    [&](const HttpExchangePtr &Exchange) { Held = Exchange; });
  RawCaller Caller(Server.endpoint());
  Caller.send(Loop, post(40000) + std::string(40000, 'x'));
  REQUIRE(Loop.runUntil([&] { return Held != nullptr; }, Limit));
  SharedBytes Sent = Held->sharedBody();
  REQUIRE(Sent.str().data() == Held->body().data());
  Held->dropBody();
  REQUIRE(Memory.held() >= 40000);
  REQUIRE(Memory.held() < 41000);
  Sent = {};
  REQUIRE(Memory.held() == 0);
  Held->reply(200, {}, "");
}

TEST_CASE("A caller that leaves in the middle of a body gives its memory back",
          "[http][memory]") {
  EventLoop Loop;
  const MemoryBudget Memory = smallBudget();
  HttpServer Server(Loop, options(Memory), [](const HttpExchangePtr &) {});
  {
    RawCaller Caller(Server.endpoint());
    Caller.send(Loop, post(40000) + std::string(100, 'x'));
    REQUIRE(Loop.runUntil([&] { return Memory.held() >= 40000; }, Limit));
  }
  REQUIRE(Loop.runUntil([&] { return Memory.held() == 0; }, Limit));
}

TEST_CASE("Bodies that are announced and do not come keep no room from others",
          "[http][memory]") {
  const MemoryBudget Memory = smallBudget();
  GivenConnection Slow(Memory);
  Slow.feed(post(40000) + "xy");
  REQUIRE(Memory.held() == 40000);
  GivenConnection Next(Memory, [&](TimePoint Now) {
    REQUIRE_FALSE(Slow.connection().releaseStalled(Now));
    return Slow.connection().releaseStalled(Now + 2s);
  });
  Next.feed(post(40000) + std::string(40000, 'n'));
  REQUIRE_FALSE(Next.takeHead().empty());
  REQUIRE_FALSE(Next.connection().refusal());
  const SharedBytes Body = Next.connection().takeBody();
  REQUIRE(Body.size() == 40000);
  Slow.feed(std::string(39998, 'x'));
  REQUIRE_FALSE(Slow.takeHead().empty());
  REQUIRE(Slow.connection().refusal() == TurnedAway::NoMemory);
}

TEST_CASE("Nothing that follows a request with two readings is read",
          "[http][unsafe]") {
  const MemoryBudget Memory;
  GivenConnection Given(Memory);
  Given.feed("POST /a HTTP/1.1\r\nContent-Length: 5\r\n"
             "Content-Length: 6\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
  REQUIRE(Given.takeHead() == "POST /a HTTP/1.1\n");
  REQUIRE(Given.connection().takeBody().empty());
  REQUIRE_FALSE(Given.connection().unambiguous());
  Given.connection().onAnswered();
  Given.feed("GET /c HTTP/1.1\r\n\r\n");
  REQUIRE(Given.waiting() == 0);
}
