#include "wire/common/EventLoop.h"
#include "wire/common/HttpServer.h"

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <fcntl.h>
#include <memory>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;
constexpr Duration Idle = 400ms;
constexpr Duration Header = 200ms;
constexpr Duration Long = 60s;
const std::string Get = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

/// A caller that reads only when it is told to, into little room.
class SlowCaller {
public:
  SlowCaller(EventLoop &Loop, const Endpoint &To)
      : m_Loop(Loop), m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    constexpr int Room = 16 << 10;
    setsockopt(m_Socket, SOL_SOCKET, SO_RCVBUF, &Room, sizeof(Room));
    sockaddr_storage Address{};
    const int Length = toSockaddr(To, Address);
    connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
            static_cast<socklen_t>(Length));
    fcntl(m_Socket, F_SETFL, O_NONBLOCK);
  }
  ~SlowCaller() { ::close(m_Socket); }
  SlowCaller(const SlowCaller &) = delete;
  SlowCaller &operator=(const SlowCaller &) = delete;

  void send(const std::string &Bytes) {
    REQUIRE(::send(m_Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  /// Reads \p Most bytes at most. \returns whether the connection has ended.
  bool read(std::size_t Most = 1 << 20) {
    std::string Buffer(Most, '\0');
    const ssize_t Got = ::read(m_Socket, Buffer.data(), Buffer.size());
    if (Got > 0)
      m_Got.append(Buffer, 0, static_cast<std::size_t>(Got));
    return Got == 0 || (Got < 0 && errno != EAGAIN);
  }
  const std::string &got() const { return m_Got; }
  /// Reads until \p Done.
  bool readUntil(const std::function<bool()> &Done) {
    const Timer Wake = m_Loop.every(1ms, [] {});
    return m_Loop.runUntil([&] { return read() || Done(); }, Limit) && Done();
  }

private:
  EventLoop &m_Loop;
  int m_Socket;
  std::string m_Got;
};

/// A server of one handler that keeps its exchanges.
struct Serving {
  EventLoop m_Loop;
  std::vector<HttpExchangePtr> m_Open;
  std::vector<TimedOutConnection> m_TimedOut;
  HttpServer m_Server;

  explicit Serving(CallerTimeouts Timeouts = {.m_Header = Header,
                                              .m_Idle = Idle})
      : m_Server(m_Loop,
                 {.m_Listen = {"127.0.0.1", 0},
                  .m_Limits = {.m_Timeouts = Timeouts},
                  .m_MaxBuffered = 64 << 20,
                  .m_OnTimeout =
                      [this](const TimedOutConnection &Which) {
                        m_TimedOut.push_back(Which);
                      }},
                 [this](const HttpExchangePtr &Exchange) {
                   m_Open.push_back(Exchange);
                 }) {}

  HttpExchangePtr next() {
    REQUIRE(m_Loop.runUntil([this] { return !m_Open.empty(); }, Limit));
    HttpExchangePtr Result = m_Open.front();
    m_Open.clear();
    return Result;
  }
  void pass(Duration Time) {
    bool Over = false;
    const Timer End = m_Loop.after(Time, [&] { Over = true; });
    m_Loop.runUntil([&] { return Over; }, Limit);
  }
  ConnectionStage awaitTimeout() {
    REQUIRE(m_Loop.runUntil([this] { return !m_TimedOut.empty(); }, Limit));
    return m_TimedOut.front().m_Stage;
  }
};

} // namespace

TEST_CASE("A stream that is silent for longer than the idle timeout goes on",
          "[caller-timeout]") {
  Serving On;
  SlowCaller Caller(On.m_Loop, On.m_Server.endpoint());
  Caller.send(Get);
  const HttpExchangePtr Exchange = On.next();
  const auto Framing =
      GENERATE(AnswerFraming::Chunks, AnswerFraming::Connection);
  SECTION("before its first event") {
    On.pass(3 * Idle);
    Exchange->startStream(200, {}, Framing);
  }
  SECTION("after its head") {
    Exchange->startStream(200, {}, Framing);
    On.pass(3 * Idle);
  }
  SECTION("between two events") {
    Exchange->startStream(200, {}, Framing);
    REQUIRE(Exchange->sendChunk("data: a\n\n"));
    On.pass(3 * Idle);
  }
  SECTION("with a further request behind it") {
    Caller.send(Get);
    Exchange->startStream(200, {}, Framing);
    On.pass(3 * Idle);
  }
  REQUIRE(Exchange->sendChunk("data: b\n\n"));
  Exchange->endStream();
  REQUIRE(Caller.readUntil(
      [&] { return Caller.got().find("data: b") != std::string::npos; }));
  REQUIRE(On.m_TimedOut.empty());
}

TEST_CASE("A caller that reads steadily but slowly gets its whole answer",
          "[caller-timeout]") {
  Serving On;
  SlowCaller Caller(On.m_Loop, On.m_Server.endpoint());
  Caller.send(Get);
  const HttpExchangePtr Exchange = On.next();
  const std::string Body(3 << 20, 'x');
  SECTION("of a length") { Exchange->reply(200, {}, Body); }
  SECTION("that is a stream") {
    Exchange->startStream(200, {});
    REQUIRE(Exchange->sendChunk(Body));
    Exchange->endStream();
  }
  SECTION("that ends with its connection") {
    Exchange->reply(200, {}, Body, AnswerFraming::Connection);
  }
  // Some five times the idle timeout for the whole.
  const Timer Reading = On.m_Loop.every(10ms, [&] { Caller.read(80 << 10); });
  REQUIRE(On.m_Loop.runUntil(
      [&] {
        return Caller.got().size() >= Body.size() || !On.m_TimedOut.empty();
      },
      Limit));
  REQUIRE(On.m_TimedOut.empty());
}

TEST_CASE("A caller that does not read its answer is let go",
          "[caller-timeout]") {
  Serving On;
  SlowCaller Caller(On.m_Loop, On.m_Server.endpoint());
  Caller.send(Get);
  const HttpExchangePtr Exchange = On.next();
  SECTION("while the answer is open") {
    Exchange->startStream(200, {});
    REQUIRE(Exchange->sendChunk(std::string(16 << 20, 'x')));
    bool Left = false;
    Exchange->onCallerLeft([&] { Left = true; });
    REQUIRE(On.awaitTimeout() == ConnectionStage::Answering);
    REQUIRE(Left);
  }
  SECTION("after the whole was handed over") {
    Exchange->reply(200, {}, std::string(16 << 20, 'x'));
    REQUIRE(On.awaitTimeout() == ConnectionStage::Delivering);
    REQUIRE(On.m_TimedOut.front().m_Unsent > 0);
  }
  SECTION("though it sends bytes") {
    Exchange->reply(200, {}, std::string(16 << 20, 'x'));
    const Timer Sending =
        On.m_Loop.every(Idle / 4, [&] { Caller.send("\r\n"); });
    On.awaitTimeout();
  }
}

TEST_CASE("A caller that rests is let go, counted from the end of its answer",
          "[caller-timeout]") {
  Serving On;
  SlowCaller Caller(On.m_Loop, On.m_Server.endpoint());
  SECTION("before its first request") {}
  SECTION("after an answer that took longer than the idle timeout") {
    Caller.send(Get);
    const HttpExchangePtr Exchange = On.next();
    On.pass(2 * Idle);
    const TimePoint Answered = EventLoop::now();
    Exchange->reply(200, {}, "small");
    REQUIRE(Caller.readUntil(
        [&] { return Caller.got().find("small") != std::string::npos; }));
    On.awaitTimeout();
    REQUIRE(EventLoop::now() - Answered >= Idle);
  }
  REQUIRE(On.awaitTimeout() == ConnectionStage::AwaitingHead);
  REQUIRE(Caller.readUntil([&] { return Caller.read(); }));
}

TEST_CASE("A caller that stops inside its request is let go",
          "[caller-timeout]") {
  Serving On;
  SlowCaller Caller(On.m_Loop, On.m_Server.endpoint());
  const std::string Post =
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n";
  SECTION("in its head") {
    Caller.send(Get.substr(0, 10));
    REQUIRE(On.awaitTimeout() == ConnectionStage::InHead);
    REQUIRE(On.m_TimedOut.front().m_Limit == Header);
  }
  SECTION("in its head, sending a byte at a time") {
    int Sent = 0;
    const Timer Sending = On.m_Loop.every(
        Header / 4, [&] { Caller.send(Get.substr(Sent++, 1)); });
    REQUIRE(On.awaitTimeout() == ConnectionStage::InHead);
  }
  SECTION("in its body") {
    Caller.send(Post + "half");
    REQUIRE(On.awaitTimeout() == ConnectionStage::InBody);
  }
  REQUIRE(On.m_Open.empty());
}

TEST_CASE("A body that comes slowly is not cut by the idle timeout",
          "[caller-timeout]") {
  Serving On;
  SlowCaller Caller(On.m_Loop, On.m_Server.endpoint());
  Caller.send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n");
  int Sent = 0;
  const Timer Sending = On.m_Loop.every(Idle / 4, [&] {
    if (Sent++ < 12)
      Caller.send("x");
  });
  REQUIRE(On.next()->body().size() == 12);
  REQUIRE(On.m_TimedOut.empty());
}

TEST_CASE("A changed idle timeout holds for connections that are open",
          "[caller-timeout]") {
  SECTION("a lower one") {
    Serving On({.m_Header = Long, .m_Idle = Long});
    SlowCaller Caller(On.m_Loop, On.m_Server.endpoint());
    REQUIRE(
        On.m_Loop.runUntil([&] { return On.m_Server.accepted() == 1; }, Limit));
    On.m_Server.setLimits({.m_Timeouts = {.m_Header = Header, .m_Idle = Idle}});
    REQUIRE(On.awaitTimeout() == ConnectionStage::AwaitingHead);
  }
  SECTION("a higher one") {
    Serving On;
    SlowCaller Caller(On.m_Loop, On.m_Server.endpoint());
    REQUIRE(
        On.m_Loop.runUntil([&] { return On.m_Server.accepted() == 1; }, Limit));
    On.m_Server.setLimits({.m_Timeouts = {.m_Header = Long, .m_Idle = Long}});
    On.pass(3 * Idle);
    Caller.send(Get);
    On.next()->reply(200, {}, "small");
    REQUIRE(On.m_TimedOut.empty());
  }
}

TEST_CASE("A changed limit of heads holds for connections that are open",
          "[caller-timeout]") {
  Serving On({.m_Header = Long, .m_Idle = Long});
  SlowCaller Caller(On.m_Loop, On.m_Server.endpoint());
  REQUIRE(
      On.m_Loop.runUntil([&] { return On.m_Server.accepted() == 1; }, Limit));
  On.m_Server.setLimits({.m_MaxHeaders = 65536});
  Caller.send("GET /a HTTP/1.1\r\nHost: a\r\nX-Long: " +
              std::string(34000, 'x') + "\r\n\r\n");
  REQUIRE(On.next()->header("X-Long").size() == 34000);
}

TEST_CASE("A head that is too long is refused, however short its lines are",
          "[caller-timeout]") {
  Serving On;
  SlowCaller Caller(On.m_Loop, On.m_Server.endpoint());
  std::string Lines = "GET /a HTTP/1.1\r\n";
  while (Lines.size() <= InboundConnection::Limits{}.m_MaxHeaders)
    Lines += "a:b\r\n";
  Caller.send(Lines);
  REQUIRE(Caller.readUntil(
      [&] { return Caller.got().starts_with("HTTP/1.1 400"); }));
  REQUIRE(On.m_Open.empty());
}
