/// \file
/// Servers whose bytes come without end, in a head or in a body.
#include "wire/common/EventLoop.h"
#include "wire/common/HttpClient.h"

#include <algorithm>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;

/// Answers one connection with a beginning, and then with the same bytes again
/// and again for as long as they are taken.
class EndlessServer {
public:
  EndlessServer(std::string Beginning, std::string Repeated)
      : m_Beginning(std::move(Beginning)), m_Repeated(std::move(Repeated)) {
    m_Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Address);
    bind(m_Socket, reinterpret_cast<sockaddr *>(&Address), Length);
    listen(m_Socket, 1);
    getsockname(m_Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
    m_Endpoint = {"127.0.0.1", ntohs(Address.sin_port)};
  }
  ~EndlessServer() {
    close(m_Accepted);
    close(m_Socket);
  }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  /// Writes what the other side takes now.
  void write() {
    if (m_Accepted < 0) {
      m_Accepted = accept4(m_Socket, nullptr, nullptr, SOCK_NONBLOCK);
      m_Next = m_Beginning;
    }
    if (m_Accepted < 0)
      return;
    if (m_Next.empty())
      for (int Times = 0; Times < m_TimesAtOnce; ++Times)
        m_Next += m_Repeated;
    const ssize_t Put =
        send(m_Accepted, m_Next.data(), std::min(m_Next.size(), m_MostAtOnce),
             MSG_NOSIGNAL);
    if (Put > 0) {
      m_Next.erase(0, static_cast<std::size_t>(Put));
      m_Written += static_cast<std::size_t>(Put);
    }
    const bool AllWritten = m_Next.empty() && m_Repeated.empty();
    m_Closed = m_Closed || AllWritten || (Put < 0 && errno != EAGAIN);
  }

  Endpoint m_Endpoint;
  int m_TimesAtOnce = 500;
  std::size_t m_MostAtOnce = std::size_t{1} << 30; ///< Bytes of one write.
  std::size_t m_Written = 0;
  /// The other side has closed the connection, or all was written.
  bool m_Closed = false;

private:
  std::string m_Beginning;
  std::string m_Repeated;
  std::string m_Next;
  int m_Socket;
  int m_Accepted = -1;
};

/// The answer to a call to \p Server, which has seen that the connection
/// closed.
HttpAnswer answerOf(EndlessServer &Server, const HttpCall &With,
                    const HttpClient::Memory &Bounds = {}) {
  EventLoop Loop;
  HttpClient Client(Loop, Bounds);
  HttpCall Call = With;
  Call.m_To = Server.m_Endpoint;
  Call.m_Target = "/";
  std::optional<HttpAnswer> Got;
  Client.fetch(std::move(Call),
               [&](HttpAnswer Answer) { Got = std::move(Answer); });
  const Timer Wake = Loop.every(1ms, [&] { Server.write(); });
  REQUIRE(Loop.runUntil([&] { return Got && Server.m_Closed; }, Limit));
  return *Got;
}

HttpEnd endOf(EndlessServer &Server, const HttpCall &With) {
  return answerOf(Server, With).m_End;
}

} // namespace

TEST_CASE("An answer that is framing without end is given up after few bytes",
          "[http][endless]") {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  const auto [Name, Beginning, Repeated] =
      GENERATE_COPY(table<std::string, std::string, std::string>(
          {{"a status line", "HTTP/1.1 200 ", "O"},
           {"bytes that are none", "", std::string(8, '\0')},
           {"fields", Head, "Name: value\r\n"},
           {"one field", Head + "Name: ", "value"},
           {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
           {"the size of a chunk", Chunked, "0"},
           {"an extension of a chunk", Chunked + "1;", "name=value;"},
           {"empty lines", Chunked, "\r\n"},
           {"extensions", Chunked,
            "1;name=" + std::string(1000, 'v') + "\r\nx\r\n"},
           {"trailers", Chunked + "0\r\n", "Name: value\r\n"}}));
  INFO(Name);
  EndlessServer Server(Beginning, Repeated);
  REQUIRE(endOf(Server, {}) == HttpEnd::Broken);
  // What sockets hold comes on top.
  constexpr std::size_t Most = 16 << 20;
  REQUIRE(Server.m_Written < Most);
}

TEST_CASE("A body without end is given up at its bound", "[http][endless]") {
  constexpr std::size_t Bound = 1 << 20;
  const std::string Beginning =
      GENERATE("HTTP/1.1 200 OK\r\n\r\n",
               "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string Repeated =
      Beginning.find("chunked") == std::string::npos ? "bytes" : "1\r\nx\r\n";
  EndlessServer Server(Beginning, Repeated);
  HttpCall Call;
  Call.m_MaxBody = Bound;
  REQUIRE(endOf(Server, Call) == HttpEnd::Broken);
}

TEST_CASE("An answer that comes byte by byte ends at the total timeout",
          "[http][endless]") {
  EndlessServer Server("HTTP/1.1 200 OK\r\n\r\n", "x");
  Server.m_TimesAtOnce = 1;
  HttpCall Call;
  Call.m_TotalTimeout = 200ms;
  REQUIRE(endOf(Server, Call) == HttpEnd::Broken);
}

TEST_CASE("Small chunks are no framing without end", "[http][endless]") {
  constexpr std::size_t Bytes = 200000;
  std::string Beginning =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t Each = 0; Each < Bytes; ++Each)
    Beginning += "1\r\nx\r\n";
  EndlessServer Server(Beginning + "0\r\n\r\n", "");
  REQUIRE(endOf(Server, {}) == HttpEnd::Complete);
}

TEST_CASE("What comes of a chunk is passed on before the chunk is whole",
          "[http][endless]") {
  constexpr std::size_t Part = 1 << 20;
  EndlessServer Server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "f00000\r\n" +
                           std::string(Part, 'x'),
                       "");
  EventLoop Loop;
  HttpClient Client(Loop);
  HttpCall Call;
  Call.m_To = Server.m_Endpoint;
  Call.m_Target = "/";
  std::size_t Got = 0;
  Call.m_OnBytes = [&](std::string_view Bytes) { Got += Bytes.size(); };
  const HttpCallHandle Handle = Client.start(std::move(Call));
  const Timer Wake = Loop.every(1ms, [&] { Server.write(); });
  REQUIRE(Loop.runUntil([&] { return Got == Part; }, Limit));
}

TEST_CASE("Chunks are read alike however they come", "[http][endless]") {
  const std::size_t Most = GENERATE(1, 2, 3, 7, 1000);
  EndlessServer Server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "4\r\nwxyz\r\n10\r\n0123456789abcdef\r\n"
                       "1\r\n\n\r\n0\r\nName: value\r\n\r\n",
                       "");
  Server.m_MostAtOnce = Most;
  const HttpAnswer Answer = answerOf(Server, {});
  REQUIRE(Answer.m_End == HttpEnd::Complete);
  REQUIRE(Answer.m_Body == "wxyz0123456789abcdef\n");
}

TEST_CASE("An answer of very many fields is broken", "[http][endless]") {
  std::string Fields;
  for (int Each = 0; Each < 300; ++Each)
    Fields += "a: b\r\n";
  EndlessServer Server(
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + Fields + "\r\n", "");
  REQUIRE(endOf(Server, {}) == HttpEnd::Broken);
}

TEST_CASE("An answer for which there is no memory is broken",
          "[http][endless]") {
  const std::string Framing =
      GENERATE("Content-Length: 1000000", "Connection: close");
  EndlessServer Server("HTTP/1.1 200 OK\r\n" + Framing + "\r\n\r\n" +
                           std::string(1000000, 'x'),
                       "");
  const HttpAnswer Answer = answerOf(
      Server, {.m_IdleTimeout = 500ms},
      {.m_Started = {}, .m_Collected = MemoryBudget({.m_Limit = 100000})});
  REQUIRE(Answer.m_End == HttpEnd::Broken);
  REQUIRE(Answer.m_Body.empty());
}
