/// \file
/// Answers that stop in the middle of their head or of their framing.
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;

const std::string Body = "id: 1\ndata: a\n\n";
const std::string Chunks = "8\r\nid: 1\nda\r\n7\r\nta: a\n\n\r\n0\r\n\r\n";
const std::string Head = "HTTP/1.1 200 OK\r\nX-Server: one\r\n";
const std::string LengthHead = Head + "Content-Length: 15\r\n\r\n";
const std::string ChunksHead = Head + "Transfer-Encoding: chunked\r\n\r\n";

enum class Ending { Fin, HalfClose, Reset, Open };

/// Answers each request with given bytes, at once or one at a time.
class ScriptedServer {
public:
  explicit ScriptedServer(EventLoop &Loop) : m_Client(Loop), m_Loop(Loop) {
    m_Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    bind(m_Socket, reinterpret_cast<sockaddr *>(&Address), Length);
    listen(m_Socket, 8);
    getsockname(m_Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
    m_Endpoint = {"127.0.0.1", ntohs(Address.sin_port)};
  }
  ~ScriptedServer() {
    for (const int Each : m_Accepted)
      close(Each);
    close(m_Socket);
  }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  /// What the client makes of \p Bytes, after which its connection ends.
  HttpAnswer answerOf(const std::string &Bytes, Ending How = Ending::Fin,
                      ConnectionUse Use = ConnectionUse::Fresh) {
    m_Bytes = Bytes;
    m_Ending = How;
    std::optional<HttpAnswer> Got;
    HttpCall Call;
    Call.m_To = m_Endpoint;
    Call.m_Target = "/";
    Call.m_Use = Use;
    m_Client.fetch(std::move(Call),
                   [&](HttpAnswer Answer) { Got = std::move(Answer); });
    const Timer Wake = m_Loop.every(1ms, [] {});
    REQUIRE(m_Loop.runUntil(
        [&] {
          step();
          return Got.has_value();
        },
        Limit));
    return *Got;
  }

  /// Writes \p Bytes on the connection that came last, without a request.
  void write(const std::string &Bytes) const {
    REQUIRE(::send(m_Accepted.back(), Bytes.data(), Bytes.size(),
                   MSG_NOSIGNAL) == static_cast<ssize_t>(Bytes.size()));
  }
  std::size_t accepted() const { return m_Accepted.size(); }

  bool m_OneByOne = false;

private:
  void step() {
    const int Next = accept4(m_Socket, nullptr, nullptr, SOCK_NONBLOCK);
    if (Next >= 0) {
      sendWithoutDelay(Next);
      m_Accepted.push_back(Next);
    }
    for (const int Each : m_Accepted) {
      char Buffer[4096];
      if (recv(Each, Buffer, sizeof(Buffer), MSG_DONTWAIT) > 0)
        m_Answering = Each;
    }
    if (m_Answering < 0)
      return;
    const std::string Piece =
        m_Bytes.substr(0, m_OneByOne ? 1 : m_Bytes.size());
    m_Bytes.erase(0, Piece.size());
    ::send(m_Answering, Piece.data(), Piece.size(), MSG_NOSIGNAL);
    if (m_Bytes.empty())
      end(std::exchange(m_Answering, -1));
  }

  void end(int Connection) {
    if (m_Ending == Ending::Open)
      return;
    if (m_Ending == Ending::HalfClose) {
      shutdown(Connection, SHUT_WR);
      return;
    }
    const linger Now{.l_onoff = m_Ending == Ending::Reset, .l_linger = 0};
    setsockopt(Connection, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    std::erase(m_Accepted, Connection);
    close(Connection);
  }

  HttpClient m_Client;
  EventLoop &m_Loop;
  Endpoint m_Endpoint;
  int m_Socket;
  std::vector<int> m_Accepted;
  int m_Answering = -1;
  std::string m_Bytes;
  Ending m_Ending = Ending::Fin;
};

} // namespace

TEST_CASE("An answer whose head stops midway is never given out as whole",
          "[http][heads]") {
  const std::string Whole = GENERATE_COPY(
      as<std::string>(), LengthHead, ChunksHead, Head + "\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 15\r\nX-Server: one\r\n\r\n",
      "HTTP/1.0 200 OK\r\nContent-Length: 15\r\nX-Server: one\r\n\r\n",
      "HTTP/1.0 200 OK\r\nX-Server: one\r\n\r\n",
      "HTTP/1.1 204 No Content\r\nX-Server: one\r\n\r\n");
  const Ending How = GENERATE(Ending::Fin, Ending::HalfClose, Ending::Reset);
  EventLoop Loop;
  ScriptedServer Server(Loop);
  Server.m_OneByOne = GENERATE(false, true);
  for (std::size_t At = 1; At < Whole.size(); ++At) {
    CAPTURE(Whole, At, static_cast<int>(How), Server.m_OneByOne);
    REQUIRE(Server.answerOf(Whole.substr(0, At), How).m_End == HttpEnd::Broken);
  }
}

TEST_CASE("An answer that stops behind an interim one is never whole",
          "[http][heads]") {
  const std::string Whole =
      GENERATE_COPY(as<std::string>(),
                    "HTTP/1.1 100 Continue\r\nX-Interim: one\r\n\r\n",
                    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n") +
      LengthHead;
  const Ending How = GENERATE(Ending::Fin, Ending::HalfClose, Ending::Reset);
  EventLoop Loop;
  ScriptedServer Server(Loop);
  for (std::size_t At = 1; At < Whole.size(); ++At) {
    CAPTURE(Whole, At, static_cast<int>(How));
    REQUIRE(Server.answerOf(Whole.substr(0, At), How).m_End == HttpEnd::Broken);
  }
}

TEST_CASE("An answer that stops in the line of a chunk is never whole",
          "[http][heads]") {
  const std::string Sent =
      GENERATE_COPY(as<std::string>(), Chunks,
                    "f\r\n" + Body + "\r\n0\r\nX-Trailer: one\r\n\r\n",
                    "00000f\r\n" + Body + "\r\n000\r\n\r\n");
  const Ending How = GENERATE(Ending::Fin, Ending::HalfClose, Ending::Reset);
  EventLoop Loop;
  ScriptedServer Server(Loop);
  Server.m_OneByOne = GENERATE(false, true);
  REQUIRE(Server.answerOf(ChunksHead + Sent).m_End == HttpEnd::Complete);
  for (std::size_t At = 0; At < Sent.size(); ++At) {
    CAPTURE(Sent, At, static_cast<int>(How), Server.m_OneByOne);
    REQUIRE(Server.answerOf(ChunksHead + Sent.substr(0, At), How).m_End ==
            HttpEnd::Broken);
  }
}

TEST_CASE("A sound answer is whole also when it comes byte by byte",
          "[http][heads]") {
  const auto [Sent, End] = GENERATE_COPY(table<std::string, HttpEnd>(
      {{LengthHead + Body, HttpEnd::Complete},
       {ChunksHead + Chunks, HttpEnd::Complete},
       {Head + "\r\n" + Body, HttpEnd::Closed},
       {"HTTP/1.0 200 OK\r\n\r\n" + Body, HttpEnd::Closed},
       {"HTTP/1.0 200 OK\r\nContent-Length: 15\r\n\r\n" + Body,
        HttpEnd::Complete},
       {"HTTP/1.1 100 Continue\r\n\r\n" + LengthHead + Body,
        HttpEnd::Complete}}));
  EventLoop Loop;
  ScriptedServer Server(Loop);
  Server.m_OneByOne = GENERATE(false, true);
  const HttpAnswer Got = Server.answerOf(Sent);
  CAPTURE(Sent, Server.m_OneByOne);
  REQUIRE(Got.m_End == End);
  REQUIRE(Got.m_Body == Body);
}

TEST_CASE("An answer is not read from bytes that an earlier one left behind",
          "[http][heads]") {
  const std::string Stale =
      GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale",
               "HTTP/1.1 200 OK\r\nContent-Le", "\r\n", "x");
  const bool WithAnswer = GENERATE(true, false);
  EventLoop Loop;
  ScriptedServer Server(Loop);
  const HttpAnswer First =
      Server.answerOf(LengthHead + Body + (WithAnswer ? Stale : ""),
                      Ending::Open, ConnectionUse::Reused);
  REQUIRE(First.m_End == HttpEnd::Complete);
  if (!WithAnswer)
    Server.write(Stale);
  const HttpAnswer Next =
      Server.answerOf(LengthHead + Body, Ending::Open, ConnectionUse::Reused);
  CAPTURE(Stale, WithAnswer);
  REQUIRE(Next.m_End == HttpEnd::Complete);
  REQUIRE(Next.m_Body == Body);
  REQUIRE(Server.accepted() == 2);
}

TEST_CASE("A connection whose other side has closed it is not used again",
          "[http][heads]") {
  const Ending How = GENERATE(Ending::Fin, Ending::HalfClose);
  EventLoop Loop;
  ScriptedServer Server(Loop);
  REQUIRE(
      Server.answerOf(LengthHead + Body, How, ConnectionUse::Reused).m_End ==
      HttpEnd::Complete);
  REQUIRE(
      Server.answerOf(LengthHead + Body, Ending::Open, ConnectionUse::Reused)
          .m_End == HttpEnd::Complete);
}

TEST_CASE("A head that holds a NUL byte is broken", "[http][heads]") {
  const std::string Nul(1, '\0');
  const std::string Sent = GENERATE_COPY(
      Head + Nul + Nul + "\r\nContent-Length: 15\r\n\r\n" + Body,
      Head + "Content-Length: 1" + Nul + "5\r\n\r\n" + Body,
      Head + "Content-Length: 15\r\nX-" + Nul + "Other: two\r\n\r\n" + Body,
      "HTTP/1.1 200 " + Nul + "OK\r\nContent-Length: 15\r\n\r\n" + Body,
      "HTTP/1.1 100 Continue\r\n\r\n" + Head + "Content-Length: 1" + Nul +
          "5\r\n\r\n" + Body);
  EventLoop Loop;
  ScriptedServer Server(Loop);
  Server.m_OneByOne = GENERATE(false, true);
  CAPTURE(Sent, Server.m_OneByOne);
  REQUIRE(Server.answerOf(Sent).m_End == HttpEnd::Broken);
}

TEST_CASE("A body may hold NUL bytes", "[http][heads]") {
  const std::string Binary =
      "a" + std::string(3, '\0') + "\n" + std::string(1, '\0') + "b\r\n\r\n";
  EventLoop Loop;
  ScriptedServer Server(Loop);
  Server.m_OneByOne = GENERATE(false, true);
  const HttpAnswer Got = Server.answerOf(
      "HTTP/1.1 100 Continue\r\n\r\n" + Head +
      "Content-Length: " + std::to_string(Binary.size()) + "\r\n\r\n" + Binary);
  REQUIRE(Got.m_End == HttpEnd::Complete);
  REQUIRE(Got.m_Body == Binary);
}

TEST_CASE("A framing field with blanks before its colon is not passed over",
          "[http][heads]") {
  const std::string Field =
      GENERATE("Content-Length : 15", "Content-Length\t: 15",
               "Transfer-Encoding : chunked");
  EventLoop Loop;
  ScriptedServer Server(Loop);
  CAPTURE(Field);
  REQUIRE(Server.answerOf(Head + Field + "\r\n\r\nid: 1\n").m_End ==
          HttpEnd::Broken);
}

TEST_CASE("A connection of HTTP/1.0 is kept only where its answer says so",
          "[http][heads]") {
  const auto [Start, Connections] = GENERATE(table<std::string, std::size_t>(
      {{"HTTP/1.0 200 OK\r\n", 2},
       {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n", 1},
       {"HTTP/1.1 200 OK\r\n", 1},
       {"HTTP/1.1 200 OK\r\nConnection: close\r\n", 2}}));
  const std::string Sent = Start + "Content-Length: 15\r\n\r\n" + Body;
  EventLoop Loop;
  ScriptedServer Server(Loop);
  for (int Each = 0; Each < 2; ++Each)
    REQUIRE(Server.answerOf(Sent, Ending::Open, ConnectionUse::Reused).m_End ==
            HttpEnd::Complete);
  CAPTURE(Start);
  REQUIRE(Server.accepted() == Connections);
}
