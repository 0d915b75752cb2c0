#include "gateway/GatewayTest.h"

#include <arpa/inet.h>
#include <cerrno>
#include <optional>
#include <sys/socket.h>

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

/// Bytes of an answer, more than the system takes for a caller that does not
/// read.
constexpr std::size_t AnswerBytes = 12 << 20;

/// Longer than a stop takes with nothing to wait for.
constexpr Duration StopTime = 5s;

/// A caller that reads only when it is told to.
class Reader {
public:
  explicit Reader(const Gateway &Box)
      : m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    const int Buffer = 16 << 10;
    setsockopt(m_Socket, SOL_SOCKET, SO_RCVBUF, &Buffer, sizeof(Buffer));
    sockaddr_in To{.sin_family = AF_INET,
                   .sin_port =
                       htons(static_cast<std::uint16_t>(Box.callers().m_Port))};
    To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(m_Socket, reinterpret_cast<const sockaddr *>(&To),
                    sizeof(To)) == 0);
    fcntl(m_Socket, F_SETFL, O_NONBLOCK);
  }
  ~Reader() { leave(); }
  Reader(const Reader &) = delete;
  Reader &operator=(const Reader &) = delete;

  void ask(const std::string &Path) const {
    const std::string Text = "POST " + Path +
                             " HTTP/1.1\r\nHost: test.example\r\n"
                             "X-Attempt-Id: id-1\r\nContent-Length: 0\r\n"
                             "X-Deadline-Remaining-Ms: 30000\r\n\r\n";
    REQUIRE(write(m_Socket, Text.data(), Text.size()) ==
            static_cast<ssize_t>(Text.size()));
  }

  /// Reads what has come. \returns whether the connection has ended.
  bool read() {
    std::string Piece(256 << 10, '\0');
    ssize_t Count = 0;
    while ((Count = ::read(m_Socket, Piece.data(), Piece.size())) > 0)
      m_Text.append(Piece.data(), static_cast<std::size_t>(Count));
    return Count == 0 || errno != EAGAIN;
  }

  void leave() {
    if (m_Socket >= 0)
      close(std::exchange(m_Socket, -1));
  }

  /// How many bytes have come behind the head.
  std::size_t bodyBytes() const {
    const std::size_t Head = m_Text.find("\r\n\r\n");
    return Head == std::string::npos ? 0 : m_Text.size() - Head - 4;
  }

private:
  int m_Socket;
  std::string m_Text;
};

/// A box that is killed some time after it was told to stop.
class GraceTest : public GatewayTest {
protected:
  void startWith(Duration GracePeriod) {
    m_TimeoutMs = 30000;
    configure(1);
    GatewayOptions Options = options();
    Options.m_Bounds.m_GracePeriod = GracePeriod;
    m_Gateway = makeGateway(Options, [this] { m_Stopped = true; });
    REQUIRE(until([&] { return m_Gateway->state().ready(); }));
  }
};

/// A box whose runner answers with more than the system buffers.
class StopTest : public GraceTest {
public:
  explicit StopTest(Duration GracePeriod) {
    addRunner("i-1", [](const Request &Of, const ConnectionPtr &On) {
      On->write(StandinRunner::answer(Of, 200, std::string(AnswerBytes, 'x')));
    });
    startWith(GracePeriod);
  }

  /// Waits until the answer to the request of \p Caller is ready.
  void ask(const Reader &Caller) {
    Caller.ask("/unsafe/x");
    REQUIRE(until([&] { return m_Gateway->openRequests() == 1; }));
    REQUIRE(until([&] { return m_Gateway->openRequests() == 0; }));
  }

  /// Ends the process if it has stopped.
  bool ended() {
    if (m_Stopped)
      m_Gateway.reset();
    return m_Stopped;
  }
};

} // namespace

TEST_CASE(
    "A box that stops waits for a caller that reads a ready answer slowly",
    "[gateway][stop][restart]") {
  StopTest Test(15s);
  Reader Caller(*Test.m_Gateway);
  Test.ask(Caller);
  Test.m_Gateway->stop();
  Test.m_Loop.runUntil([&] { return Test.ended(); }, StopTime);
  REQUIRE(Test.until([&] {
    Test.ended();
    return Caller.read();
  }));
  REQUIRE(Caller.bodyBytes() == AnswerBytes);
  REQUIRE(Test.until([&] { return Test.ended(); }));
}

TEST_CASE("A box that stops does not wait for callers that expect nothing",
          "[gateway][stop][restart]") {
  StopTest Test(60s);
  Reader Caller(*Test.m_Gateway);
  SECTION("a caller without a request") {}
  SECTION("a caller that left before it had read its answer") {
    Test.ask(Caller);
    Caller.leave();
  }
  SECTION("a caller that leaves during the stop") {
    Test.ask(Caller);
    Test.m_Gateway->stop();
    Caller.leave();
  }
  Test.m_Gateway->stop();
  REQUIRE(Test.until([&] { return Test.ended(); }));
}

namespace {

/// A box whose upstream answers after a time, or never.
class LateTest : public GraceTest {
public:
  explicit LateTest(Duration GracePeriod) {
    addRunner("i-1", [this](const Request &Of, const ConnectionPtr &On) {
      if (!m_AnswersAfter)
        return;
      m_Timers.push_back(m_Loop.after(*m_AnswersAfter, [Of, On] {
        On->write(StandinRunner::answer(Of, 200, "late"));
      }));
    });
    startWith(GracePeriod);
  }

  /// Waits until the process has ended, and until all callers know how their
  /// requests did.
  void end() {
    REQUIRE(until([&] { return m_Stopped; }));
    m_Gateway.reset();
    REQUIRE(until([&] { return m_Answers.size() == m_Asked; }));
  }

  void ask(const std::string &Path, const std::string &Id) {
    ++m_Asked;
    m_Http.fetch(call(Path, Id), [this, Id](HttpAnswer Answer) {
      m_Answers[Id] = std::move(Answer);
    });
  }

  std::optional<Duration> m_AnswersAfter;
  std::map<std::string, HttpAnswer> m_Answers;

private:
  std::vector<Timer> m_Timers;
  std::size_t m_Asked = 0;
};

} // namespace

TEST_CASE("Callers whose requests are under way as a box ends are told that "
          "these may have run",
          "[gateway][stop][restart]") {
  LateTest Test(2s);
  Test.ask("/unsafe/x", "unsafe");
  Test.ask("/safe/x", "safe");
  REQUIRE(Test.until([&] { return Test.m_Gateway->openRequests() == 2; }));
  Test.m_Gateway->stop();
  Test.end();
  for (const char *Id : {"unsafe", "safe"}) {
    INFO(Id);
    CHECK(Test.m_Answers[Id].received());
    CHECK(Test.m_Answers[Id].m_Status == 502);
  }
}

TEST_CASE("A box that stops refuses at once what it expects to outlast it",
          "[gateway][stop][restart]") {
  LateTest Test(1500ms);
  Test.m_AnswersAfter = 1s;
  constexpr int Before = 20;
  for (int Each = 0; Each < Before; ++Each)
    Test.ask("/unsafe/x", "before-" + std::to_string(Each));
  REQUIRE(Test.until([&] { return Test.m_Answers.size() == Before; }));
  Test.m_Gateway->stop();
  Test.ask("/unsafe/x", "late");
  REQUIRE(Test.until([&] { return Test.m_Answers.contains("late"); }));
  CHECK(Test.m_Answers["late"].m_Status == 503);
  CHECK_FALSE(
      findHeader(Test.m_Answers["late"].m_Headers, "Retry-After").empty());
  CHECK(Test.arrivals("late") == 0);
  Test.end();
}

TEST_CASE("A box that stops still takes what it expects to end in time",
          "[gateway][stop][restart]") {
  LateTest Test(8s);
  Test.m_AnswersAfter = 100ms;
  Test.ask("/unsafe/x", "before");
  REQUIRE(Test.until([&] { return Test.m_Answers.contains("before"); }));
  Test.m_Gateway->stop();
  Test.ask("/unsafe/x", "late");
  REQUIRE(Test.until([&] { return Test.m_Answers.contains("late"); }));
  CHECK(Test.m_Answers["late"].m_Status == 200);
  Test.end();
}
