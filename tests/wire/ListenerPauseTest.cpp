#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"
#include "wire/common/HttpServer.h"

#include <catch2/catch.hpp>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;
constexpr Duration Forever = 86400s;

/// A server that refuses connections for a while after each one.
class PausingServer {
public:
  explicit PausingServer(Duration Pause)
      : m_Server(m_Loop, options(Pause),
                 [this](const HttpExchangePtr &Exchange) {
                   ++m_Requests;
                   Exchange->reply(200, {}, "");
                 }) {}

  HttpAnswer fetch(ConnectionUse Use = ConnectionUse::Fresh) {
    HttpCall Call;
    Call.m_To = m_Server.endpoint();
    Call.m_Target = "/";
    Call.m_Use = Use;
    std::optional<HttpAnswer> Got;
    m_Client.fetch(std::move(Call),
                   [&](HttpAnswer Answer) { Got = std::move(Answer); });
    m_Loop.runUntil([&] { return Got.has_value(); }, Limit);
    return Got.value_or(HttpAnswer());
  }

  EventLoop m_Loop;
  HttpClient m_Client{m_Loop};
  int m_Requests = 0;
  int m_FurtherRequests = 0;
  HttpServer m_Server;

private:
  HttpServer::Options options(Duration Pause) {
    HttpServer::Options Result;
    Result.m_Listen = {"127.0.0.1", 0};
    Result.m_OnConnection = [Pause](TimePoint) { return Pause; };
    Result.m_OnFurtherRequest = [this](TimePoint) { ++m_FurtherRequests; };
    return Result;
  }
};

/// A caller that has sent its request before the server accepts.
class WaitingCaller {
public:
  explicit WaitingCaller(const Endpoint &To)
      : m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_storage Address{};
    const int Length = toSockaddr(To, Address);
    m_Connected = connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
                          static_cast<socklen_t>(Length)) == 0;
    const std::string Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    send(m_Socket, Request.data(), Request.size(), MSG_NOSIGNAL);
  }
  ~WaitingCaller() { close(m_Socket); }
  bool connected() const { return m_Connected; }
  /// Whether the connection has been reset without a byte.
  bool reset() const {
    char Byte = 0;
    return recv(m_Socket, &Byte, 1, MSG_DONTWAIT) < 0 && errno == ECONNRESET;
  }

private:
  int m_Socket;
  bool m_Connected = false;
};

} // namespace

TEST_CASE("A server that pauses closes new connections unread",
          "[http][pause]") {
  PausingServer Of(Forever);
  REQUIRE(Of.fetch().ok());
  REQUIRE_FALSE(Of.fetch().received());
  REQUIRE(Of.m_Requests == 1);
  REQUIRE(Of.m_Server.closedUnread() == 1);
}

TEST_CASE("A server that pauses closes connections that wait, unread",
          "[http][pause]") {
  PausingServer Of(Forever);
  const WaitingCaller First(Of.m_Server.endpoint());
  const WaitingCaller Second(Of.m_Server.endpoint());
  const WaitingCaller Third(Of.m_Server.endpoint());
  REQUIRE(Third.connected());
  REQUIRE(Of.m_Server.waiting() == 3);
  Of.m_Loop.runUntil([&] { return Of.m_Requests == 1 && Third.reset(); },
                     Limit);
  CHECK(Of.m_Requests == 1);
  CHECK(Of.m_Server.accepted() == 1);
}

TEST_CASE("A server takes connections at its address again after a pause",
          "[http][pause]") {
  PausingServer Of(1ms);
  constexpr int Tries = 100000;
  for (int Number = 1; Number <= 5; ++Number) {
    bool Taken = false;
    for (int Try = 0; Try < Tries && !Taken; ++Try)
      Taken = Of.fetch().ok();
    REQUIRE(Of.m_Requests == Number);
  }
}

TEST_CASE("A server that pauses serves the connections that it has",
          "[http][pause]") {
  PausingServer Of(Forever);
  REQUIRE(Of.fetch(ConnectionUse::Reused).ok());
  REQUIRE(Of.fetch(ConnectionUse::Reused).ok());
  CHECK(Of.m_Server.accepted() == 1);
  CHECK(Of.m_FurtherRequests == 1);
}

TEST_CASE("A server that stops to accept does so within a pause, too",
          "[http][pause]") {
  PausingServer Of(Forever);
  REQUIRE(Of.fetch().ok());
  REQUIRE_FALSE(Of.fetch().received());
  Of.m_Server.stopAccepting();
  REQUIRE(Of.fetch().m_End == HttpEnd::NotWritten);
  CHECK(Of.m_Server.closedUnread() == 1);
}
