/// \file
/// Servers and callers that stop in the middle of a head or of its framing.
#include "gateway/GatewayTest.h"
#include "gateway/PartitionTest.h"
#include "standin/RawAnswer.h"
#include "standin/RawCall.h"

#include <array>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <vector>

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

enum class Ending { Fin, Reset, HalfClose };

void end(const ConnectionPtr &To, Ending How) {
  switch (How) {
  case Ending::Fin:
    return To->closeFully();
  case Ending::Reset:
    return To->reset();
  case Ending::HalfClose:
    return To->close();
  }
}

constexpr std::string_view Events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

enum class Framing { Length, Chunks, Connection };

/// A whole head of an answer to \p Of.
std::string headOf(const Request &Of, Framing How) {
  const std::string Start =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Of.header("x-attempt-id") +
      "\r\nX-Server-Signature: signed\r\nContent-Type: text/event-stream\r\n";
  switch (How) {
  case Framing::Length:
    return Start + "Content-Length: 30\r\n\r\n";
  case Framing::Chunks:
    return Start + "Transfer-Encoding: chunked\r\n\r\n";
  case Framing::Connection:
    return Start + "\r\n";
  }
  return {};
}

/// Answers well but for requests whose target ends with `cut`, which get what
/// \p Bytes gives and an end.
StandinRunner::Behaviour
cutAnswers(const std::function<std::string(const Request &)> &Bytes,
           Ending How) {
  return [=](const Request &Received, const ConnectionPtr &To) {
    if (!Received.m_Target.ends_with("cut"))
      return To->write(StandinRunner::answer(Received, 200, "whole"));
    To->write(Bytes(Received));
    end(To, How);
  };
}

/// The answer to \p Call as its bytes tell it.
RawAnswer rawAnswer(GatewayTest &Test, const HttpCall &Call) {
  std::optional<RawAnswer> Got;
  const RawCall Running(Test.m_Loop, Call,
                        [&](const RawAnswer &Answer) { Got = Answer; });
  REQUIRE(Test.until([&] { return Got.has_value(); }));
  return *Got;
}

/// Servers of which each answers what a test gives, and ends so, for targets
/// that end with `cut`.
class CutServers : public GatewayTest {
public:
  explicit CutServers(Ending How) {
    for (const std::string Id : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"})
      addRunner(
          Id,
          cutAnswers([this](const Request &Of) { return m_Bytes(Of); }, How));
    start();
  }

  RawAnswer answerTo(const std::string &Route, int Id) {
    return rawAnswer(*this,
                     call("/" + Route + "/cut", "cut-" + std::to_string(Id)));
  }
  /// Sound answers between cut ones are whole; with them servers are used on.
  void requireSound(int Id) {
    for (int Each = 0; Each < SoundBetween; ++Each) {
      const RawAnswer Got =
          rawAnswer(*this, call("/unsafe/x", "id-" + std::to_string(Id) + "-" +
                                                 std::to_string(Each)));
      REQUIRE(Got.status() == 200);
      REQUIRE(Got.framedAsWhole());
      REQUIRE(Got.body() == "whole");
    }
  }

  std::function<std::string(const Request &)> m_Bytes;

private:
  static constexpr int SoundBetween = 2;
};

/// A caller of which the test gives each byte.
class ByteCaller {
public:
  explicit ByteCaller(GatewayTest &Test)
      : m_Test(Test), m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_storage Address{};
    const int Length = toSockaddr(Test.m_Gateway->callers(), Address);
    REQUIRE(connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
                    static_cast<socklen_t>(Length)) == 0);
    sendWithoutDelay(m_Socket);
  }
  ~ByteCaller() { close(m_Socket); }
  ByteCaller(const ByteCaller &) = delete;
  ByteCaller &operator=(const ByteCaller &) = delete;

  void send(const std::string &Bytes) const {
    ::send(m_Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }
  void end(Ending How) {
    if (How == Ending::HalfClose) {
      shutdown(m_Socket, SHUT_WR);
      return;
    }
    const linger Now{.l_onoff = How == Ending::Reset, .l_linger = 0};
    setsockopt(m_Socket, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    close(std::exchange(m_Socket, -1));
  }
  /// The answer that has come once it, or its connection, has ended.
  RawAnswer answer() const {
    RawAnswer Result;
    REQUIRE(m_Test.until([&] {
      std::array<char, 4096> Buffer{};
      const ssize_t Got =
          recv(m_Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Got > 0)
        Result.feed({Buffer.data(), static_cast<std::size_t>(Got)});
      else if (Got == 0 || errno != EAGAIN)
        Result.ended(Got < 0);
      return Result.over();
    }));
    return Result;
  }

private:
  GatewayTest &m_Test;
  int m_Socket;
};

std::string requestHead(const std::string &Id, const std::string &Fields) {
  return "POST /safe/x HTTP/1.1\r\nHost: test.example\r\nX-Attempt-Id: " + Id +
         "\r\nX-Deadline-Remaining-Ms: 8000\r\n" + Fields + "\r\n";
}

void answerAll(const Request &Received, const ConnectionPtr &To) {
  To->write(StandinRunner::answer(Received, 200, "whole"));
}

} // namespace

TEST_CASE("A server's answer that stops in its head is no answer to a caller",
          "[gateway][heads]") {
  const Ending How = GENERATE(Ending::Fin, Ending::Reset, Ending::HalfClose);
  CutServers Test(How);
  int Id = 0;
  for (const std::string Route : {"stream", "resumable", "safe", "unsafe"})
    for (const Framing Framed :
         {Framing::Length, Framing::Chunks, Framing::Connection})
      // From the empty line over fields into the status line.
      for (const std::size_t Left : {1U, 2U, 3U, 4U, 9U, 30U, 60U, 90U}) {
        CAPTURE(Route, static_cast<int>(Framed), static_cast<int>(How), Left);
        Test.m_Bytes = [Framed, Left](const Request &Of) {
          const std::string Head = headOf(Of, Framed);
          return Head.substr(0, Head.size() - Left);
        };
        REQUIRE(Test.answerTo(Route, ++Id).status() == 502);
        Test.requireSound(Id);
      }
}

TEST_CASE("An answer that stops in the line of a chunk never looks whole",
          "[gateway][heads]") {
  const Ending How = GENERATE(Ending::Fin, Ending::Reset, Ending::HalfClose);
  CutServers Test(How);
  const std::string Chunks = "f\r\nid: 1\ndata: a\n\n\r\n"
                             "f\r\nid: 2\ndata: b\n\n\r\n"
                             "0\r\nX-Trailer: c\r\n\r\n";
  int Id = 0;
  for (const std::string Route : {"stream", "resumable", "safe", "unsafe"})
    for (std::size_t At = 0; At < Chunks.size(); ++At) {
      CAPTURE(Route, At, static_cast<int>(How));
      Test.m_Bytes = [&](const Request &Of) {
        return headOf(Of, Framing::Chunks) + Chunks.substr(0, At);
      };
      const RawAnswer Got = Test.answerTo(Route, ++Id);
      REQUIRE((Got.status() == 502 || !Got.framedAsWhole()));
      Test.requireSound(Id);
    }
}

TEST_CASE("An answer whose head holds a NUL byte reaches no caller",
          "[gateway][heads]") {
  const std::string Nul(1, '\0');
  CutServers Test(Ending::Fin);
  int Id = 0;
  for (const std::string Route : {"stream", "resumable", "safe", "unsafe"})
    for (const std::string &Rest : {Nul + "\r\nContent-Length: 30\r\n\r\n",
                                    "Content-Length: 3" + Nul + "0\r\n\r\n"}) {
      CAPTURE(Route, Rest);
      Test.m_Bytes = [&](const Request &Of) {
        std::string Head = headOf(Of, Framing::Connection);
        Head.resize(Head.size() - 2);
        return Head + Rest + std::string(Events);
      };
      REQUIRE(Test.answerTo(Route, ++Id).status() == 502);
      Test.requireSound(Id);
    }
}

TEST_CASE("An answer that stops in its head behind another box is none",
          "[gateway][heads]") {
  const Framing Framed =
      GENERATE(Framing::Length, Framing::Chunks, Framing::Connection);
  PartitionTest Test;
  for (auto &[Id, Runner] : Test.m_Runners)
    Runner->setBehaviour(cutAnswers(
        [Framed](const Request &Of) {
          const std::string Head = headOf(Of, Framed);
          return Head.substr(0, Head.size() - 2);
        },
        Ending::Fin));
  Test.cut(PartitionTest::Way::Refused);
  for (int Try = 0; !Test.m_Gateway->state().m_Reach.partitioned(); ++Try) {
    REQUIRE(Try < 20);
    Test.fetch("/safe/x", "learn" + std::to_string(Try));
  }
  const std::string Route = GENERATE("stream", "safe", "unsafe");
  CAPTURE(Route);
  REQUIRE(rawAnswer(Test, Test.call("/" + Route + "/cut", "id")).status() >=
          502);
  REQUIRE(Test.arrivals("id") >= 1);
}

TEST_CASE("A request that stops midway reaches no server", "[gateway][heads]") {
  GatewayTest Test;
  Test.addRunner("i-1", answerAll);
  Test.start();
  const std::string Chunks = "5;a=b\r\nhello\r\n0\r\nX-Trailer: c\r\n\r\n";
  int Sound = 0;
  for (const std::string &Whole :
       {requestHead("id", "Content-Length: 5\r\n") + "hello",
        requestHead("id", "Transfer-Encoding: chunked\r\n") + Chunks})
    for (const Ending How : {Ending::Fin, Ending::Reset, Ending::HalfClose})
      for (std::size_t At = 1; At < Whole.size(); At += 2) {
        ByteCaller Caller(Test);
        Caller.send(Whole.substr(0, At));
        Caller.end(How);
        // The cut one has been read when this one has its answer.
        const std::string Id = "sound-" + std::to_string(++Sound);
        REQUIRE(Test.fetch("/safe/x", Id).m_Status == 200);
      }
  REQUIRE(Test.arrivals("id") == 0);
}

TEST_CASE("A request that comes byte by byte reaches a server whole",
          "[gateway][heads]") {
  const std::string Whole =
      GENERATE(requestHead("id", "Content-Length: 5\r\n") + "hello",
               requestHead("id", "Transfer-Encoding: chunked\r\n") +
                   "5;a=b\r\nhello\r\n0\r\nX-Trailer: c\r\n\r\n");
  GatewayTest Test;
  StandinRunner &Runner = Test.addRunner("i-1", answerAll);
  Test.start();
  const ByteCaller Caller(Test);
  for (const char Each : Whole)
    Caller.send({Each});
  REQUIRE(Caller.answer().status() == 200);
  REQUIRE(Runner.requests().back().m_Body == "hello");
}

TEST_CASE("A folded line goes on as a part of the field before it",
          "[gateway][heads]") {
  GatewayTest Test;
  StandinRunner &Runner = Test.addRunner("i-1", answerAll);
  Test.start();
  for (const std::string Hidden :
       {"Transfer-Encoding: chunked", "Content-Length: 0"})
    for (const std::string Blank : {" ", "\t", " \t "}) {
      CAPTURE(Hidden, Blank);
      const ByteCaller Caller(Test);
      Caller.send(requestHead("id", "X-Folded: y\r\n" + Blank + Hidden +
                                        "\r\nContent-Length: 5\r\n") +
                  "hello");
      REQUIRE(Caller.answer().status() == 200);
      const Request &Came = Runner.requests().back();
      REQUIRE(Came.header("x-folded") == "y " + Hidden);
      REQUIRE(Came.header("transfer-encoding").empty());
      REQUIRE(Came.header("content-length") == "5");
      REQUIRE(Came.m_Body == "hello");
    }
}

TEST_CASE("A head with a return inside a line is refused", "[gateway][heads]") {
  GatewayTest Test;
  Test.addRunner("i-1", answerAll);
  Test.start();
  for (const std::string &Sent :
       {requestHead("id", "X: y\r Transfer-Encoding: chunked\r\n"),
        requestHead("id", "X: y\rTransfer-Encoding: chunked\r\n"),
        requestHead("id", "X: y\r\n z\r w\r\n")}) {
    CAPTURE(Sent);
    const ByteCaller Caller(Test);
    Caller.send(Sent);
    CHECK(Caller.answer().status() == 400);
  }
  REQUIRE(Test.arrivals("id") == 0);
}

TEST_CASE("A caller that half closes behind a whole request has left",
          "[gateway][heads]") {
  GatewayTest Test;
  std::vector<ConnectionPtr> Open;
  StandinRunner &Runner =
      Test.addRunner("i-1", [&](const Request &, const ConnectionPtr &To) {
        Open.push_back(To);
      });
  Test.start();
  ByteCaller Caller(Test);
  Caller.send(requestHead("id", "Content-Length: 0\r\n"));
  REQUIRE(Test.until([&] { return Test.arrivals("id") == 1; }));
  Caller.end(Ending::HalfClose);
  REQUIRE(Caller.answer().status() == 0);
  REQUIRE(Test.until([&] { return Runner.closedByCaller() == 1; }));
}

TEST_CASE("A body in chunks is refused of HTTP/1.0", "[gateway][heads]") {
  GatewayTest Test;
  Test.addRunner("i-1", answerAll);
  Test.start();
  std::string Sent = requestHead("id", "Transfer-Encoding: chunked\r\n"
                                       "Connection: keep-alive\r\n");
  Sent.replace(Sent.find("HTTP/1.1"), 8, "HTTP/1.0");
  const ByteCaller Caller(Test);
  Caller.send(Sent + "0\r\n\r\n");
  REQUIRE(Caller.answer().status() == 400);
  REQUIRE(Test.arrivals("id") == 0);
}
