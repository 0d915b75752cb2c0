#include "gateway/GatewayTest.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

/// A caller that reads bytes by itself, so that it sees the framing of its
/// answer and how its connection ended.
class RawCaller {
public:
  RawCaller(GatewayTest &Test, const std::string &Target, const std::string &Id,
            const std::string &Version = "1.1")
      : m_Test(Test), m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port =
        htons(static_cast<std::uint16_t>(Test.m_Gateway->callers().m_Port));
    REQUIRE(connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0);
    const std::string Bytes =
        "POST " + Target + " HTTP/" + Version +
        "\r\nHost: test.example\r\nX-Attempt-Id: " + Id +
        "\r\nX-Deadline-Remaining-Ms: 8000\r\nContent-Length: 0\r\n\r\n";
    REQUIRE(write(m_Socket, Bytes.data(), Bytes.size()) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  ~RawCaller() { close(m_Socket); }
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;

  /// Reads what has come. \returns whether the connection has ended.
  bool readAll() {
    char Buffer[4096];
    while (!m_Ended) {
      const ssize_t Got = recv(m_Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT);
      if (Got > 0) {
        m_Bytes.append(Buffer, static_cast<std::size_t>(Got));
        continue;
      }
      m_Ended = Got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
      m_Reset = Got < 0 && m_Ended;
      break;
    }
    return m_Ended;
  }
  void halfClose() { shutdown(m_Socket, SHUT_WR); }
  std::string head() const { return m_Bytes.substr(0, headEnd()); }
  int status() const { return std::stoi(m_Bytes.substr(9, 3)); }
  bool chunked() const {
    return head().find("Transfer-Encoding: chunked") != std::string::npos;
  }
  bool hasLength() const {
    return head().find("Content-Length") != std::string::npos;
  }
  std::string body() const {
    const std::string Raw = m_Bytes.substr(headEnd());
    return chunked() ? dechunk(Raw) : Raw;
  }
  /// Whether the caller has to take its answer for a whole one.
  bool looksComplete() const {
    if (chunked())
      return m_Bytes.ends_with("\r\n0\r\n\r\n");
    if (hasLength())
      return body().size() >= length();
    return m_Ended && !m_Reset;
  }
  /// Runs the loop until the answer has ended.
  void finish() {
    REQUIRE(m_Test.until([&] {
      readAll();
      return m_Ended ||
             (headEnd() != 0 && (chunked() || hasLength()) && looksComplete());
    }));
  }

private:
  std::size_t headEnd() const {
    const std::size_t End = m_Bytes.find("\r\n\r\n");
    return End == std::string::npos ? 0 : End + 4;
  }
  std::size_t length() const {
    return std::stoul(m_Bytes.substr(m_Bytes.find("Content-Length: ") + 16));
  }
  static std::string dechunk(const std::string &Raw) {
    std::string Text;
    std::size_t At = 0;
    while (At < Raw.size()) {
      const std::size_t LineEnd = Raw.find("\r\n", At);
      if (LineEnd == std::string::npos)
        break;
      const std::size_t Size =
          std::stoul(Raw.substr(At, LineEnd - At), nullptr, 16);
      Text += Raw.substr(LineEnd + 2, Size);
      At = LineEnd + 2 + Size + 2;
    }
    return Text;
  }

  GatewayTest &m_Test;
  int m_Socket;
  std::string m_Bytes;
  bool m_Ended = false;
  bool m_Reset = false;
};

std::string piece(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: piece-" + std::to_string(Id) +
         "\n\n";
}

std::string pieces(int First, int Last) {
  std::string Text;
  for (int Id = First; Id <= Last; ++Id)
    Text += piece(Id);
  return Text;
}

enum class Framing { Length, Chunks, None };

/// Bytes of an upstream's stream that holds \p Text and is framed as a whole
/// one.
std::string framed(const Request &Of, Framing How, const std::string &Text) {
  std::string Head =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Of.header("x-attempt-id") +
      "\r\nX-Server-Signature: signed\r\n"
      "Content-Type: text/event-stream\r\n";
  if (How == Framing::None)
    return Head + "\r\n" + Text;
  if (How == Framing::Length)
    return Head + "Content-Length: " + std::to_string(Text.size()) +
           "\r\n\r\n" + Text;
  char Size[16];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
  return Head + "Transfer-Encoding: chunked\r\n\r\n" + Size + Text +
         "\r\n0\r\n\r\n";
}

/// Answers with \p Text and closes; health checks are answered well.
StandinRunner::Behaviour answerWith(Framing How, const std::string &Text) {
  return [=](const Request &Received, const ConnectionPtr &Connection) {
    if (Received.m_Method == "GET")
      return Connection->write(StandinRunner::answer(Received, 200, "healthy"));
    Connection->write(framed(Received, How, Text));
    Connection->close();
  };
}

} // namespace

TEST_CASE("A stream that breaks off inside an event does not look complete",
          "[gateway][streams]") {
  const Framing How = GENERATE(Framing::None, Framing::Length, Framing::Chunks);
  const std::string Part = GENERATE(
      "id: 3\ndata: pie", "id: 3\ndata: piece-3\n", "id", "id: 3\r", ": comm");
  CAPTURE(static_cast<int>(How), Part);
  GatewayTest Test;
  Test.addRunner("i-1", answerWith(How, pieces(1, 2) + Part));
  Test.start();
  RawCaller Caller(Test, "/stream/x", "id-1");
  Caller.finish();
  REQUIRE_FALSE(Caller.looksComplete());
  REQUIRE(Caller.body() == pieces(1, 2));
}

TEST_CASE("An answer without a length claims no more to its caller",
          "[gateway][streams]") {
  GatewayTest Test;
  const std::string Target =
      GENERATE("/stream/x", "/resumable/x", "/safe/x", "/unsafe/x");
  Test.addRunner("i-1", answerWith(Framing::None, pieces(1, 3)));
  Test.start();
  RawCaller Caller(Test, Target, "id-1");
  Caller.finish();
  REQUIRE(Caller.status() == 200);
  REQUIRE_FALSE(Caller.chunked());
  REQUIRE_FALSE(Caller.hasLength());
  REQUIRE(Caller.looksComplete());
  REQUIRE(Caller.body() == pieces(1, 3));
}

TEST_CASE(
    "A resumable stream that breaks off inside an event goes on elsewhere",
    "[gateway][streams]") {
  GatewayTest Test;
  const Framing How = GENERATE(Framing::None, Framing::Length, Framing::Chunks);
  int Streams = 0;
  const auto Behave = [&](const Request &Received,
                          const ConnectionPtr &Connection) {
    const std::string After = Received.header("last-event-id");
    const bool First = Received.m_Method == "POST" && ++Streams == 1;
    const std::string Text =
        First ? pieces(1, 2) + "id: 3\nda" : pieces(After.empty() ? 1 : 3, 4);
    answerWith(How, Text)(Received, Connection);
  };
  Test.addRunner("i-1", Behave);
  Test.addRunner("i-2", Behave);
  Test.start();
  RawCaller Caller(Test, "/resumable/x", "id-1");
  Caller.finish();
  REQUIRE(Caller.looksComplete());
  REQUIRE(Caller.body() == pieces(1, 4));
  REQUIRE(Streams == 2);
}

TEST_CASE("An answer that a box ends before its upstream did does not look "
          "complete",
          "[gateway][streams]") {
  GatewayTest Test;
  ConnectionPtr Open;
  Test.addRunner(
      "i-1", [&](const Request &Received, const ConnectionPtr &Connection) {
        Open = Connection;
        Connection->write(framed(Received, Framing::None, pieces(1, 2)));
      });
  Test.start();
  RawCaller Caller(Test, "/stream/x", "id-1");
  REQUIRE(Test.until([&] {
    Caller.readAll();
    return Caller.body() == pieces(1, 2);
  }));
  SECTION("by its end") { Test.m_Gateway.reset(); }
  SECTION("because the upstream's connection is reset") { Open->reset(); }
  Caller.finish();
  REQUIRE_FALSE(Caller.looksComplete());
}

TEST_CASE("A stream without a length that ends before its first event is "
          "unknown to have run",
          "[gateway][streams]") {
  GatewayTest Test;
  Test.addRunner("i-1", answerWith(Framing::None, ""));
  Test.start();
  REQUIRE(Test.fetch("/stream/x", "id-1").m_Status == 502);
  REQUIRE(Test.arrivals("id-1") == 1);
}

TEST_CASE("A stream that has gone out in chunks is not ended by a connection "
          "alone",
          "[gateway][streams]") {
  GatewayTest Test;
  int Streams = 0;
  const auto Behave = [&](const Request &Received,
                          const ConnectionPtr &Connection) {
    const bool First = Received.m_Method == "POST" && ++Streams == 1;
    answerWith(First ? Framing::Chunks : Framing::None,
               First ? pieces(1, 2) + "id" : pieces(3, 4))(Received,
                                                           Connection);
  };
  Test.addRunner("i-1", Behave);
  Test.addRunner("i-2", Behave);
  Test.start();
  RawCaller Caller(Test, "/resumable/x", "id-1");
  Caller.finish();
  REQUIRE(Caller.chunked());
  REQUIRE_FALSE(Caller.looksComplete());
}

TEST_CASE("Streams that end well are passed on byte for byte",
          "[gateway][streams]") {
  const Framing How = GENERATE(Framing::None, Framing::Length, Framing::Chunks);
  const std::string Text = GENERATE(
      "data: a\n\n", "id: 1\r\ndata: a\r\n\r\n: note\r\n", "data: a\r\r",
      ": hello\n\nid: 4\ndata: a\ndata: b\n\n\n: bye\n");
  CAPTURE(static_cast<int>(How), Text);
  GatewayTest Test;
  Test.addRunner("i-1", answerWith(How, Text));
  Test.start();
  const std::string Version = GENERATE("1.0", "1.1");
  RawCaller Caller(Test, "/stream/x", "id-1", Version);
  Caller.finish();
  REQUIRE(Caller.looksComplete());
  REQUIRE(Caller.body() == Text);
}

TEST_CASE("A caller that half closes does not see a cut answer end in order",
          "[gateway][streams]") {
  GatewayTest Test;
  Test.addRunner(
      "i-1", [&](const Request &Received, const ConnectionPtr &Connection) {
        Connection->write(framed(Received, Framing::None, pieces(1, 2)));
      });
  Test.start();
  RawCaller Caller(Test, "/stream/x", "id-1", GENERATE("1.0", "1.1"));
  REQUIRE(Test.until([&] {
    Caller.readAll();
    return Caller.body() == pieces(1, 2);
  }));
  Caller.halfClose();
  Caller.finish();
  REQUIRE_FALSE(Caller.looksComplete());
}

TEST_CASE("An empty rest does not complete a stream that broke off inside an "
          "event",
          "[gateway][streams]") {
  const Framing Rest =
      GENERATE(Framing::None, Framing::Length, Framing::Chunks);
  GatewayTest Test;
  int Streams = 0;
  const auto Behave = [&](const Request &Received,
                          const ConnectionPtr &Connection) {
    const bool First = Received.m_Method == "POST" && ++Streams == 1;
    answerWith(First ? Framing::None : Rest,
               First ? pieces(1, 2) + "id: 3\nda" : ": none\n")(Received,
                                                                Connection);
  };
  Test.addRunner("i-1", Behave);
  Test.addRunner("i-2", Behave);
  Test.start();
  RawCaller Caller(Test, "/resumable/x", "id-1");
  Caller.finish();
  REQUIRE_FALSE(Caller.looksComplete());
}

TEST_CASE(
    "A whole rest without a length that cannot be passed on as such is no "
    "failure of its upstream",
    "[gateway][streams]") {
  GatewayTest Test;
  int Streams = 0;
  InstanceId Second;
  const auto Behave = [&](const std::string &Name) {
    return [&, Name](const Request &Received, const ConnectionPtr &Connection) {
      const bool First = Received.m_Method == "POST" && ++Streams == 1;
      if (Received.m_Method == "POST" && !First)
        Second = Name;
      answerWith(First ? Framing::Chunks : Framing::None,
                 First ? pieces(1, 2) + "id" : pieces(3, 4))(Received,
                                                             Connection);
    };
  };
  Test.addRunner("i-1", Behave("i-1"));
  Test.addRunner("i-2", Behave("i-2"));
  Test.start();
  RawCaller Caller(Test, "/resumable/x", "id-1");
  Caller.finish();
  REQUIRE(Streams == 2);
  REQUIRE(Test.m_Gateway->state().m_Failures.rate(Second, EventLoop::now()) ==
          0);
}
