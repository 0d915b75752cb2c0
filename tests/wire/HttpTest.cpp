#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include "wire/common/HttpServer.h"

#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace havenstair;

namespace {

const Endpoint Loopback{"127.0.0.1", 0};
constexpr Duration Limit = 20s;

HttpCall callTo(const Endpoint &To, const std::string &Target) {
  HttpCall Call;
  Call.m_To = To;
  Call.m_Target = Target;
  return Call;
}

/// A socket that listens at a free port; its queue holds \p Backlog.
int listenOnLoopback(int Backlog, sockaddr_in &Address) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  Address = {};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Address);
  bind(Socket, reinterpret_cast<sockaddr *>(&Address), Length);
  listen(Socket, Backlog);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
  return Socket;
}

/// A listener that answers each connection with fixed bytes and closes it.
class RawServer {
public:
  explicit RawServer(std::string Bytes) : m_Bytes(std::move(Bytes)) {
    sockaddr_in Address{};
    m_Socket = listenOnLoopback(1, Address);
    m_Endpoint = {"127.0.0.1", ntohs(Address.sin_port)};
  }
  ~RawServer() { close(m_Socket); }

  /// Takes one step without waiting. \returns whether the request was read,
  /// answered and its connection closed.
  bool tryServe() {
    if (m_Accepted < 0)
      m_Accepted = accept4(m_Socket, nullptr, nullptr, SOCK_NONBLOCK);
    char Buffer[4096];
    if (m_Accepted < 0 || read(m_Accepted, Buffer, sizeof(Buffer)) <= 0)
      return false;
    const ssize_t Put = write(m_Accepted, m_Bytes.data(), m_Bytes.size());
    close(m_Accepted);
    return Put == static_cast<ssize_t>(m_Bytes.size());
  }

  Endpoint m_Endpoint;

private:
  int m_Socket;
  int m_Accepted = -1;
  std::string m_Bytes;
};

/// What a client makes of the server's bytes.
HttpAnswer answerOf(RawServer &Server) {
  EventLoop Loop;
  HttpClient Client(Loop);
  std::optional<HttpAnswer> Got;
  Client.fetch(callTo(Server.m_Endpoint, "/"),
               [&](HttpAnswer Answer) { Got = std::move(Answer); });
  const Timer Wake = Loop.every(1ms, [] {});
  REQUIRE(Loop.runUntil([&] { return Server.tryServe(); }, Limit));
  REQUIRE(Loop.runUntil([&] { return Got.has_value(); }, Limit));
  return *Got;
}

/// A listener whose queue is full: connections to it come up only after others
/// were taken from the queue, when their opening packet is sent again.
class FullListener {
public:
  FullListener() {
    sockaddr_in Address{};
    m_Socket = listenOnLoopback(0, Address);
    m_Endpoint = {"127.0.0.1", ntohs(Address.sin_port)};
    for (int &Filler : m_Fillers) {
      Filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      connect(Filler, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    }
  }
  ~FullListener() {
    for (int Filler : m_Fillers)
      close(Filler);
    for (int Each : m_Accepted)
      close(Each);
    close(m_Socket);
  }

  /// Takes what waits, and counts the bytes that came on all connections.
  std::size_t takeBytes() {
    for (int Next = accept4(m_Socket, nullptr, nullptr, SOCK_NONBLOCK);
         Next >= 0; Next = accept4(m_Socket, nullptr, nullptr, SOCK_NONBLOCK))
      m_Accepted.push_back(Next);
    std::size_t Sum = 0;
    for (int Each : m_Accepted) {
      char Buffer[4096];
      const ssize_t Got = read(Each, Buffer, sizeof(Buffer));
      Sum += Got > 0 ? static_cast<std::size_t>(Got) : 0;
    }
    return Sum;
  }
  /// Waits for a connection in the queue, as a process does that stands still.
  void waitForConnection(std::chrono::milliseconds AtMost) const {
    pollfd Waiting{.fd = m_Socket, .events = POLLIN, .revents = 0};
    poll(&Waiting, 1, static_cast<int>(AtMost.count()));
  }

  Endpoint m_Endpoint;

private:
  int m_Socket;
  std::array<int, 2> m_Fillers{};
  std::vector<int> m_Accepted;
};

/// A caller that sends one request and closes its connection with a reset.
class ResettingCaller {
public:
  ResettingCaller(const Endpoint &To, std::string_view Request)
      : m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_storage Address{};
    const int Length = toSockaddr(To, Address);
    connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
            static_cast<socklen_t>(Length));
    send(m_Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
  }
  ~ResettingCaller() { reset(); }
  ResettingCaller(const ResettingCaller &) = delete;
  ResettingCaller &operator=(const ResettingCaller &) = delete;

  void reset() {
    const int Socket = std::exchange(m_Socket, -1);
    if (Socket < 0)
      return;
    const linger Now{.l_onoff = 1, .l_linger = 0};
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    close(Socket);
  }

private:
  int m_Socket;
};

} // namespace

TEST_CASE("A call reaches a server and its answer comes back", "[http]") {
  EventLoop Loop;
  HttpServer Server(Loop, {.m_Listen = Loopback},
                    [](const HttpExchangePtr &Exchange) {
                      Exchange->reply(201, {{"X-Test", Exchange->path()}},
                                      Exchange->queryValue("a"));
                    });
  HttpClient Client(Loop);
  HttpAnswer Got;
  Client.fetch(callTo(Server.endpoint(), "/p?a=b"),
               [&](HttpAnswer Answer) { Got = std::move(Answer); });
  REQUIRE(Loop.runUntil([&] { return Got.m_Status != 0; }, Limit));
  REQUIRE(Got.m_End == HttpEnd::Complete);
  REQUIRE(Got.m_Status == 201);
  REQUIRE(Got.m_Body == "b");
  REQUIRE(findHeader(Got.m_Headers, "x-test") == "/p");
}

TEST_CASE("What follows two slashes at the start of a target is a path",
          "[http]") {
  struct Reading {
    std::string m_Target;
    std::string m_Path;
    std::string m_Query;
  };
  const Reading Expected = GENERATE(values<Reading>({
      {"//desk/rooms/7", "//desk/rooms/7", ""},
      {"//desk/rooms/7?a=b", "//desk/rooms/7", "a=b"},
      {"//desk", "//desk", ""},
      {"//", "//", ""},
      {"///rooms/7?a=//b/c?d", "///rooms/7", "a=//b/c?d"},
      {"//user@desk:80/rooms/7", "//user@desk:80/rooms/7", ""},
      {"//desk?a=b/rooms/", "//desk", "a=b/rooms/"},
      {"/rooms//7", "/rooms//7", ""},
      {"/rooms/7?", "/rooms/7", ""},
      {"/rooms/7?a#b", "/rooms/7", "a"},
      {"/rooms/7#a?b", "/rooms/7", ""},
      {"http://desk/rooms/7?a=b", "/rooms/7", "a=b"},
      {"http://desk//rooms/7?a=b", "//rooms/7", "a=b"},
  }));
  EventLoop Loop;
  HttpServer Server(Loop, {.m_Listen = Loopback},
                    [](const HttpExchangePtr &Exchange) {
                      Exchange->reply(200,
                                      {{"X-Path", Exchange->path()},
                                       {"X-Target", Exchange->target()}},
                                      Exchange->query());
                    });
  HttpClient Client(Loop);
  HttpAnswer Got;
  Client.fetch(callTo(Server.endpoint(), Expected.m_Target),
               [&](HttpAnswer Answer) { Got = std::move(Answer); });
  REQUIRE(Loop.runUntil([&] { return Got.m_End == HttpEnd::Complete; }, Limit));
  CAPTURE(Expected.m_Target);
  REQUIRE(Got.m_Status == 200);
  REQUIRE(findHeader(Got.m_Headers, "x-path") == Expected.m_Path);
  REQUIRE(findHeader(Got.m_Headers, "x-target") == Expected.m_Target);
  REQUIRE(Got.m_Body == Expected.m_Query);
}

TEST_CASE("A client may end right after an answer has come", "[http]") {
  EventLoop Loop;
  HttpServer Server(Loop, {.m_Listen = Loopback},
                    [](const HttpExchangePtr &Exchange) {
                      Exchange->reply(200, {}, "body");
                    });
  auto Client = std::make_unique<HttpClient>(Loop);
  bool Done = false;
  Client->fetch(callTo(Server.endpoint(), "/x"),
                [&](const HttpAnswer &) { Done = true; });
  REQUIRE(Loop.runUntil([&] { return Done; }, Limit));
  Client.reset();
  // What the client put off until now has nothing left to work on.
  bool Passed = false;
  Loop.defer([&] { Passed = true; });
  REQUIRE(Loop.runUntil([&] { return Passed; }, Limit));
}

TEST_CASE("A loop that runs for a while does not wait for later timers",
          "[loop]") {
  EventLoop Loop;
  bool Later = false;
  const Timer Far = Loop.after(10s, [&] { Later = true; });
  // libevent's clock steps by some milliseconds, so that a timer may fire a
  // little before its time; the tries begin at all places within a step.
  for (int Try = 0; Try < 300; ++Try) {
    const TimePoint Begin = EventLoop::now() + Try % 20 * 200us;
    while (EventLoop::now() < Begin)
      continue;
    Loop.runUntil([] { return false; }, 5ms);
  }
  REQUIRE_FALSE(Later);
}

TEST_CASE("A call to a closed port was not written", "[http][unsafe]") {
  EventLoop Loop;
  Endpoint Closed;
  {
    HttpServer Server(Loop, {.m_Listen = Loopback},
                      [](const HttpExchangePtr &) {});
    Closed = Server.endpoint();
  }
  HttpClient Client(Loop);
  std::optional<HttpAnswer> Got;
  Client.fetch(callTo(Closed, "/"),
               [&](HttpAnswer Answer) { Got = std::move(Answer); });
  REQUIRE(Loop.runUntil([&] { return Got.has_value(); }, Limit));
  REQUIRE(Got->m_End == HttpEnd::NotWritten);
}

TEST_CASE("A call that fails before it connects ends as failed", "[http]") {
  const ConnectionUse Use =
      GENERATE(ConnectionUse::Fresh, ConnectionUse::Reused);
  EventLoop Loop;
  HttpClient Client(Loop);
  std::optional<HttpAnswer> Got;
  const auto Fetch = [&](const Endpoint &To) {
    HttpCall Call = callTo(To, "/");
    Call.m_Use = Use;
    Call.m_ConnectTimeout = 1s;
    Client.fetch(std::move(Call),
                 [&](const HttpAnswer &Answer) { Got = Answer; });
    REQUIRE(Loop.runUntil([&] { return Got.has_value(); }, Limit));
  };
  SECTION("what is no address gets nothing") {
    Fetch(GENERATE(Endpoint{}, Endpoint{"nowhere", 80}));
    REQUIRE(Got->m_End == HttpEnd::NotWritten);
  }
  SECTION("connect() refuses a broadcast address at once") {
    Fetch({"127.255.255.255", 9});
    REQUIRE(Got->m_End != HttpEnd::Complete);
  }
}

TEST_CASE("An answer that is cut anywhere is broken, never whole",
          "[http][unsafe]") {
  const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  const auto Cut = GENERATE(0U, 1U, 9U, 20U, 38U, 40U, 42U);
  REQUIRE(Cut < Whole.size());
  RawServer Server(Whole.substr(0, Cut));
  const HttpAnswer Got = answerOf(Server);
  REQUIRE(Got.m_End == HttpEnd::Broken);
}

TEST_CASE("A chunked answer without its last chunk is broken", "[http]") {
  RawServer Server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "5\r\nhello\r\n");
  const HttpAnswer Got = answerOf(Server);
  REQUIRE(Got.m_End == HttpEnd::Broken);
  REQUIRE(Got.m_Body == "hello");
}

TEST_CASE(
    "An answer without a length or chunks is known to be whole by nothing "
    "but its content",
    "[http]") {
  const std::string Connection =
      GENERATE("", "Connection: close\r\n", "Connection: keep-alive\r\n");
  const std::string Version = GENERATE("1.0", "1.1");
  RawServer Server("HTTP/" + Version + " 200 OK\r\n" + Connection +
                   "\r\nthe body");
  const HttpAnswer Answer = answerOf(Server);
  REQUIRE(Answer.m_End == HttpEnd::Closed);
  REQUIRE(Answer.m_Body == "the body");
}

TEST_CASE("An answer that can be read in two ways is broken", "[http]") {
  const std::string Fields = GENERATE(
      "Content-Length: 3\r\nContent-Length: 8\r\n",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: gzip, chunked\r\n", "Content-Length: -2\r\n");
  CAPTURE(Fields);
  RawServer Server("HTTP/1.1 200 OK\r\n" + Fields +
                   "\r\n3\r\nbod\r\n0\r\n\r\n");
  REQUIRE(answerOf(Server).m_End == HttpEnd::Broken);
}

TEST_CASE("An answer that is cut by a reset during an upload is broken",
          "[http][unsafe][early]") {
  const std::size_t Bytes = GENERATE(20U << 10, 200U << 10, 4U << 20);
  // The server closes with bytes of the upload unread, which resets.
  RawServer Server("HTTP/1.1 200 OK\r\n\r\na part of the body");
  EventLoop Loop;
  HttpClient Client(Loop);
  HttpCall Call = callTo(Server.m_Endpoint, "/");
  Call.m_Method = HttpMethod::Post;
  Call.m_Body = std::string(Bytes, 'x');
  std::optional<HttpAnswer> Got;
  Client.fetch(std::move(Call),
               [&](HttpAnswer Answer) { Got = std::move(Answer); });
  bool Served = false;
  const Timer Wake =
      Loop.every(1ms, [&] { Served = Served || Server.tryServe(); });
  REQUIRE(Loop.runUntil([&] { return Got.has_value(); }, Limit));
  REQUIRE(Got->m_End == HttpEnd::Broken);
}

TEST_CASE("An answer with an odd status is broken, never passed on",
          "[http][status]") {
  const std::string Status =
      GENERATE("000", "0", "099", "600", "700", "999", "1000", "2000", "0200",
               "+200", "2x0", "20", "-20");
  const std::string Before = GENERATE("", "HTTP/1.1 100 Continue\r\n\r\n");
  CAPTURE(Status, Before);
  RawServer Server(Before + "HTTP/1.1 " + Status +
                   " Text\r\nContent-Length: 4\r\n\r\nbody");
  REQUIRE(answerOf(Server).m_End == HttpEnd::Broken);
}

TEST_CASE("An interim answer with an odd status is broken", "[http][status]") {
  const std::string Status = GENERATE("0100", "+100");
  CAPTURE(Status);
  RawServer Server("HTTP/1.1 " + Status +
                   " Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                   "Content-Length: 4\r\n\r\nbody");
  REQUIRE(answerOf(Server).m_End == HttpEnd::Broken);
}

TEST_CASE("A final answer behind an interim one is read", "[http][status]") {
  RawServer Server("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                   "Content-Length: 4\r\n\r\nbody");
  const HttpAnswer Answer = answerOf(Server);
  REQUIRE(Answer.m_End == HttpEnd::Complete);
  REQUIRE(Answer.m_Body == "body");
}

TEST_CASE("An informational answer is not taken for the final one", "[http]") {
  RawServer Server("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  REQUIRE(answerOf(Server).m_End == HttpEnd::Broken);
}

TEST_CASE("The fields of an interim answer are not those of the final one",
          "[http]") {
  RawServer Server("HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  const HttpAnswer Answer = answerOf(Server);
  REQUIRE(Answer.m_Body != "bo");
}

const std::string SmallPiece = "data: a\n\n";

/// Starts an answer without a length and ends it as \p End says. \returns
/// whether the caller saw a reset.
bool endsByReset(const std::function<void(HttpExchangePtr &,
                                          std::unique_ptr<HttpServer> &)> &End,
                 Duration IdleTimeout, const std::string &Piece) {
  EventLoop Loop;
  HttpExchangePtr Held;
  bool TimedOut = false;
  auto Server = std::make_unique<HttpServer>(
      Loop,
      HttpServer::Options{
          .m_Listen = Loopback,
          .m_Limits = {.m_Timeouts = {.m_Idle = IdleTimeout}},
          .m_MaxBuffered = 2 * Piece.size() + (1 << 20),
          .m_OnTimeout = [&](const TimedOutConnection &) { TimedOut = true; }},
      [&](const HttpExchangePtr &Exchange) { Held = Exchange; });
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_storage Address{};
  const int Length = toSockaddr(Server->endpoint(), Address);
  connect(Socket, reinterpret_cast<sockaddr *>(&Address),
          static_cast<socklen_t>(Length));
  const std::string Request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
  REQUIRE(Loop.runUntil([&] { return Held != nullptr; }, Limit));
  Held->startStream(200, {}, AnswerFraming::Connection);
  REQUIRE(Held->sendChunk(Piece));
  End(Held, Server);
  // A caller that reads would not be idle.
  if (IdleTimeout < Limit)
    REQUIRE(Loop.runUntil([&] { return TimedOut; }, Limit));
  ssize_t Got = 1;
  const Timer Wake = Loop.every(1ms, [] {});
  REQUIRE(Loop.runUntil(
      [&] {
        char Buffer[4096];
        while (Got > 0)
          Got = recv(Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT);
        const bool Ended = Got == 0 || errno != EAGAIN;
        Got = Ended ? Got : 1;
        return Ended;
      },
      Limit));
  const bool Reset = Got < 0 && errno == ECONNRESET;
  close(Socket);
  return Reset;
}

TEST_CASE("An answer without a length that is cut does not end in order",
          "[http]") {
  SECTION("by abort and the end of the server") {
    REQUIRE(endsByReset(
        [](HttpExchangePtr &Exchange, std::unique_ptr<HttpServer> &Server) {
          Exchange->abort();
          Server.reset();
        },
        60s, SmallPiece));
  }
  SECTION("by the end of the server") {
    REQUIRE(
        endsByReset([](HttpExchangePtr &,
                       std::unique_ptr<HttpServer> &Server) { Server.reset(); },
                    60s, SmallPiece));
  }
  SECTION("by a caller that does not read it") {
    REQUIRE(endsByReset([](HttpExchangePtr &, std::unique_ptr<HttpServer> &) {},
                        200ms, std::string(16 << 20, 'a')));
  }
}

TEST_CASE("The server sees a caller that leaves", "[http]") {
  EventLoop Loop;
  bool Left = false;
  HttpExchangePtr Held;
  HttpServer Server(Loop, {.m_Listen = Loopback},
                    [&](const HttpExchangePtr &Exchange) {
                      Held = Exchange;
                      Exchange->onCallerLeft([&] { Left = true; });
                    });
  HttpClient Client(Loop);
  {
    const HttpCallHandle Call =
        Client.start(callTo(Server.endpoint(), "/wait"));
    REQUIRE(Loop.runUntil([&] { return Held != nullptr; }, Limit));
    REQUIRE(Server.openExchanges() == 1);
  }
  REQUIRE(Loop.runUntil([&] { return Left; }, Limit));
  REQUIRE_FALSE(Held->open());
  REQUIRE(Server.openExchanges() == 0);
}

TEST_CASE("The server sees a caller that resets its connection", "[http]") {
  EventLoop Loop;
  bool Left = false;
  HttpExchangePtr Held;
  HttpServer Server(Loop, {.m_Listen = Loopback},
                    [&](const HttpExchangePtr &Exchange) {
                      Held = Exchange;
                      Exchange->onCallerLeft([&] { Left = true; });
                    });
  ResettingCaller Caller(Server.endpoint(),
                         "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Loop.runUntil([&] { return Held != nullptr; }, Limit));
  SECTION("before the answer") {}
  SECTION("within the answer") {
    Held->startStream(200, {});
    REQUIRE(Held->sendChunk("data: a\n\n"));
    const Timer Wake = Loop.every(1ms, [] {});
    int Passes = 0;
    REQUIRE(Loop.runUntil([&] { return ++Passes > 10; }, Limit));
  }
  Caller.reset();
  REQUIRE(Loop.runUntil([&] { return Left; }, Limit));
  REQUIRE_FALSE(Held->open());
  REQUIRE(Server.openExchanges() == 0);
}

TEST_CASE("A request behind an open one waits, and a reset behind it is seen",
          "[http]") {
  EventLoop Loop;
  int Left = 0;
  std::vector<HttpExchangePtr> Held;
  HttpServer Server(Loop, {.m_Listen = Loopback},
                    [&](const HttpExchangePtr &Exchange) {
                      Held.push_back(Exchange);
                      Exchange->onCallerLeft([&] { ++Left; });
                    });
  ResettingCaller Caller(Server.endpoint(),
                         "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                         "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Loop.runUntil([&] { return Held.size() == 1; }, Limit));
  SECTION("after the first answer") {
    Held.front()->reply(200, {}, "");
    REQUIRE(Loop.runUntil([&] { return Held.size() == 2; }, Limit));
    REQUIRE(Held.back()->path() == "/2");
  }
  Caller.reset();
  REQUIRE(Loop.runUntil([&] { return Left == 1; }, Limit));
  REQUIRE_FALSE(Held.back()->open());
}

TEST_CASE("A body over the limit is turned away", "[http]") {
  EventLoop Loop;
  HttpServer Server(
      Loop, {.m_Listen = Loopback, .m_Limits = {.m_MaxBody = 100}},
      [](const HttpExchangePtr &Exchange) { Exchange->reply(200, {}, ""); },
      [](const HttpExchangePtr &Exchange, HttpServer::Turned) {
        Exchange->reply(413, {}, "ours");
      });
  HttpClient Client(Loop);
  HttpCall Call = callTo(Server.endpoint(), "/");
  Call.m_Method = HttpMethod::Post;
  Call.m_Body = std::string(150, 'x');
  HttpAnswer Got;
  Client.fetch(std::move(Call),
               [&](HttpAnswer Answer) { Got = std::move(Answer); });
  REQUIRE(Loop.runUntil([&] { return Got.m_Status != 0; }, Limit));
  REQUIRE(Got.m_Status == 413);
  REQUIRE(Got.m_Body == "ours");
}

TEST_CASE("A reader that is too slow is noticed", "[http]") {
  EventLoop Loop;
  HttpExchangePtr Held;
  HttpServer Server(Loop, {.m_Listen = Loopback, .m_MaxBuffered = 1000},
                    [&](const HttpExchangePtr &Exchange) { Held = Exchange; });
  HttpClient Client(Loop);
  const HttpCallHandle Call = Client.start(callTo(Server.endpoint(), "/"));
  REQUIRE(Loop.runUntil([&] { return Held != nullptr; }, Limit));
  Held->startStream(200, {});
  REQUIRE(Held->sendChunk(std::string(500, 'a')));
  REQUIRE_FALSE(Held->sendChunk(std::string(600, 'a')));
  Held->abort();
}

TEST_CASE("A call that was given up before it was sent is never sent",
          "[http]") {
  // The connection comes up while the process handles the end of the call.
  FullListener Server;
  EventLoop Loop;
  HttpClient Client(Loop);
  HttpCall Call = callTo(Server.m_Endpoint, "/once");
  Call.m_ConnectTimeout = 200ms;
  std::optional<HttpEnd> End;
  Call.m_OnEnd = [&](HttpEnd How) {
    End = How;
    Server.takeBytes();
    Server.waitForConnection(4000ms);
  };
  const HttpCallHandle Running = Client.start(std::move(Call));
  REQUIRE(Loop.runUntil([&] { return End.has_value(); }, Limit));
  REQUIRE(*End == HttpEnd::NotWritten);
  std::size_t Bytes = 0;
  int Looks = 0;
  const Timer Look = Loop.every(10ms, [&] {
    Bytes += Server.takeBytes();
    ++Looks;
  });
  REQUIRE(Loop.runUntil([&] { return Looks > 20; }, Limit));
  REQUIRE(Bytes == 0);
}
