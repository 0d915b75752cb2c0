#include "gateway/GatewayTest.h"

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

void answerWell(const Request &Received, const ConnectionPtr &Connection) {
  Connection->write(
      StandinRunner::answer(Received, 200, "body of " + Received.m_Target));
}

void rejectIt(const Request &Received, const ConnectionPtr &Connection) {
  Connection->write(StandinRunner::answer(Received, 503, "",
                                          "X-Request-Not-Executed: 1\r\n"));
}

void resetIt(const Request &, const ConnectionPtr &Connection) {
  Connection->reset();
}

} // namespace

TEST_CASE(
    "A request reaches a runner unchanged, and its answer reaches the caller "
    "unchanged",
    "[gateway]") {
  GatewayTest Test;
  StandinRunner &Runner = Test.addRunner("i-1", answerWell);
  Test.start();
  HttpCall Call = Test.call("/safe/x?y=%20z", "id-1", "bytes");
  Call.m_Headers.push_back({"X-Custom", "kept"});
  Call.m_Headers.push_back({"X-Request-Priority", "0"});
  const HttpAnswer Answer = Test.fetch(std::move(Call));
  REQUIRE(Answer.m_Status == 200);
  REQUIRE(Answer.m_Body == "body of /safe/x?y=%20z");
  REQUIRE(findHeader(Answer.m_Headers, "X-Server-Signature") == "signed");
  const Request &Got = Runner.requests().front();
  REQUIRE(Got.m_Method == "POST");
  REQUIRE(Got.m_Body == "bytes");
  REQUIRE(Got.header("host") == "test.example");
  REQUIRE(Got.header("x-custom") == "kept");
  REQUIRE(Got.header("x-expected-instance") == "i-1");
  REQUIRE(Got.header("x-request-priority") != "0");
  const int Left = std::stoi(Got.header("x-deadline-remaining-ms"));
  REQUIRE(Left <= 8000);
  REQUIRE(Left > 0);
}

TEST_CASE("An unsafe request is not repeated once it may have run",
          "[gateway][unsafe]") {
  GatewayTest Test;
  Test.addRunner("i-1", resetIt);
  Test.addRunner("i-2", resetIt);
  Test.start();
  const std::string Target = GENERATE("/unsafe/x", "/stream/x");
  const HttpAnswer Answer = Test.fetch(Target, "id-1", "b");
  REQUIRE(Answer.m_Status == 502);
  REQUIRE(Test.arrivals("id-1") == 1);
}

TEST_CASE(
    "A safe request is repeated at another runner when its answer is lost",
    "[gateway]") {
  GatewayTest Test;
  int Resets = 0;
  const auto FirstLost = [&](const Request &Received,
                             const ConnectionPtr &Connection) {
    if (Resets++ == 0)
      return Connection->reset();
    answerWell(Received, Connection);
  };
  Test.addRunner("i-1", FirstLost);
  Test.addRunner("i-2", FirstLost);
  Test.start();
  REQUIRE(Test.fetch("/safe/x", "id-1").m_Status == 200);
  REQUIRE(Test.arrivals("id-1") == 2);
}

TEST_CASE(
    "A request that a runner states not to have run is sent to another one",
    "[gateway][unsafe]") {
  GatewayTest Test;
  Test.addRunner("i-1", rejectIt);
  Test.addRunner("i-2", rejectIt);
  Test.start();
  SECTION("and refused with a retry time when no runner runs it") {
    const HttpAnswer Answer = Test.fetch("/unsafe/x", "id-1");
    REQUIRE(Answer.m_Status == 503);
    REQUIRE_FALSE(findHeader(Answer.m_Headers, "Retry-After").empty());
    REQUIRE(findHeader(Answer.m_Headers, "X-Server-Signature").empty());
    REQUIRE(Test.arrivals("id-1") == 2);
  }
  SECTION("where another runs it") {
    Test.m_Runners.at("i-2")->setBehaviour(answerWell);
    REQUIRE(Test.fetch("/unsafe/x", "id-1").m_Status == 200);
  }
}

TEST_CASE(
    "A refusal that does not state that the request was not run is passed on "
    "as a failure",
    "[gateway][unsafe]") {
  GatewayTest Test;
  const int Status = GENERATE(503, 429, 408);
  Test.addRunner(
      "i-1", [&](const Request &Received, const ConnectionPtr &Connection) {
        Connection->write(StandinRunner::answer(Received, Status, ""));
      });
  Test.start();
  const HttpAnswer Answer = Test.fetch("/unsafe/x", "id-1");
  REQUIRE(Answer.m_Status == 502);
  REQUIRE(findHeader(Answer.m_Headers, "X-Server-Signature").empty());
}

TEST_CASE("A failure that a runner answers is passed on with its status and "
          "signature",
          "[gateway]") {
  GatewayTest Test;
  Test.addRunner(
      "i-1", [](const Request &Received, const ConnectionPtr &Connection) {
        Connection->write(StandinRunner::answer(Received, 500, "broken"));
      });
  Test.start();
  const HttpAnswer Answer = Test.fetch("/unsafe/x", "id-1");
  REQUIRE(Answer.m_Status == 500);
  REQUIRE(Answer.m_Body == "broken");
  REQUIRE(findHeader(Answer.m_Headers, "X-Server-Signature") == "signed");
}

TEST_CASE("An answer to another request reaches no caller",
          "[gateway][mixed]") {
  GatewayTest Test;
  Test.addRunner(
      "i-1", [](const Request &Received, const ConnectionPtr &Connection) {
        Request Other = Received;
        Other.m_Headers["x-attempt-id"] = "another";
        Connection->write(StandinRunner::answer(Other, 200, "not yours"));
      });
  Test.start();
  const HttpAnswer Answer = Test.fetch("/unsafe/x", "id-1");
  REQUIRE(Answer.m_Status == 502);
  REQUIRE(Answer.m_Body.find("not yours") == std::string::npos);
}

TEST_CASE("Bytes after a complete answer reach no caller", "[gateway][mixed]") {
  GatewayTest Test;
  StandinRunner &Runner = Test.addRunner(
      "i-1", [](const Request &Received, const ConnectionPtr &Connection) {
        Connection->write(StandinRunner::answer(Received, 200, "mine") +
                          StandinRunner::answer(Received, 200, "surplus"));
      });
  Test.start();
  for (int Number = 0; Number < 3; ++Number)
    REQUIRE(Test.fetch("/safe/x", "id-" + std::to_string(Number)).m_Body ==
            "mine");
  REQUIRE(Runner.accepted() == 3);
}

TEST_CASE("A connection is reused for the next request", "[gateway]") {
  GatewayTest Test;
  StandinRunner &Runner = Test.addRunner("i-1", answerWell);
  Test.start();
  for (int Number = 0; Number < 5; ++Number)
    REQUIRE(Test.fetch("/safe/x", "id-" + std::to_string(Number)).m_Status ==
            200);
  REQUIRE(Runner.accepted() == 1);
}

TEST_CASE(
    "An answer without a length is complete only if its connection is closed "
    "without a reset",
    "[gateway][mixed]") {
  GatewayTest Test;
  const bool Reset = GENERATE(false, true);
  Test.addRunner("i-1", [&](const Request &Received,
                            const ConnectionPtr &Connection) {
    Connection->write(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Received.header("x-attempt-id") +
        "\r\nX-Server-Signature: signed\r\n\r\nhalf");
    if (!Reset)
      return Connection->close();
    // The bytes must arrive before the reset.
    Test.m_Loop.defer([&Test, Connection] {
      Test.m_Loop.defer([Connection] { Connection->reset(); });
    });
  });
  Test.start();
  const HttpAnswer Answer = Test.fetch("/unsafe/x", "id-1");
  REQUIRE(Answer.m_Status == (Reset ? 502 : 200));
  REQUIRE((Answer.m_Body == "half") == !Reset);
}

TEST_CASE("Requests with ambiguous framing are rejected and their connection "
          "closed",
          "[gateway][mixed]") {
  GatewayTest Test;
  StandinRunner &Runner = Test.addRunner("i-1", answerWell);
  Test.start();
  const std::string Smuggled = "POST /safe/evil HTTP/1.1\r\nHost: "
                               "test.example\r\nX-Attempt-Id: evil\r\n\r\n";
  const std::string Fields = GENERATE(
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "Content-Length: 0\r\nContent-Length: 70\r\n\r\n",
      "Transfer-Encoding: gzip, chunked\r\n\r\n",
      "Content-Length : 90\r\n\r\n");
  bufferevent *Stream =
      bufferevent_socket_new(Test.m_Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  sockaddr_storage Address{};
  const int Length = toSockaddr(Test.m_Gateway->callers(), Address);
  std::string Answer;
  bool Closed = false;
  std::pair<std::string *, bool *> Arg{&Answer, &Closed};
  bufferevent_setcb(
      Stream,
      [](bufferevent *From, void *To) {
        char Bytes[4096];
        const std::size_t Size = bufferevent_read(From, Bytes, sizeof(Bytes));
        static_cast<decltype(Arg) *>(To)->first->append(Bytes, Size);
      },
      nullptr,
      [](bufferevent *, short What, void *To) {
        if ((What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
          *static_cast<decltype(Arg) *>(To)->second = true;
      },
      &Arg);
  bufferevent_enable(Stream, EV_READ | EV_WRITE);
  bufferevent_socket_connect(Stream, reinterpret_cast<sockaddr *>(&Address),
                             Length);
  const std::string Bytes = "POST /safe/x HTTP/1.1\r\nHost: "
                            "test.example\r\nX-Attempt-Id: id-1\r\n" +
                            Fields + Smuggled;
  bufferevent_write(Stream, Bytes.data(), Bytes.size());
  REQUIRE(Test.until([&] { return Closed; }));
  bufferevent_free(Stream);
  REQUIRE(Runner.arrivals("evil") == 0);
  REQUIRE(Answer.find("HTTP/1.1 200") == std::string::npos);
}

TEST_CASE("A caller that disconnects cancels its request", "[gateway][gone]") {
  GatewayTest Test;
  StandinRunner &Runner =
      Test.addRunner("i-1", [](const Request &, const ConnectionPtr &) {});
  Test.start();
  {
    const HttpCallHandle Running =
        Test.m_Http.start(Test.call("/safe/x", "id-1"));
    REQUIRE(Test.until([&] { return Runner.arrivals("id-1") == 1; }));
  }
  REQUIRE(Test.until([&] { return Runner.closedByCaller() == 1; }));
  REQUIRE(Test.until([&] { return Test.m_Gateway->openRequests() == 0; }));
}

TEST_CASE("A request is answered at the timeout of its route",
          "[gateway][timeout]") {
  GatewayTest Test;
  Test.m_TimeoutMs = 100;
  Test.addRunner("i-1", [](const Request &, const ConnectionPtr &) {});
  Test.start();
  REQUIRE(Test.fetch("/unsafe/x", "id-1").m_Status == 504);
}

TEST_CASE(
    "A runner that rejected a request gets the next one on a new connection",
    "[gateway]") {
  GatewayTest Test;
  std::vector<ConnectionPtr> Used;
  bool Full = false;
  Test.addRunner("i-1", [&](const Request &Received,
                            const ConnectionPtr &Connection) {
    Used.push_back(Connection);
    if (Full)
      Connection->write(StandinRunner::answer(Received, 503, "full",
                                              "X-Request-Not-Executed: 1\r\n"));
    else
      Connection->write(StandinRunner::answer(Received, 200, "body"));
  });
  Test.start();
  REQUIRE(Test.fetch("/safe/x", "id-1").m_Status == 200);
  REQUIRE(Test.fetch("/safe/x", "id-2").m_Status == 200);
  REQUIRE(Used.at(0) == Used.at(1));
  Full = true;
  REQUIRE(Test.fetch("/safe/x", "id-3").m_Status == 503);
  Full = false;
  Used.clear();
  REQUIRE(Test.fetch("/safe/x", "id-4").m_Status == 200);
  REQUIRE(Test.fetch("/safe/x", "id-5").m_Status == 200);
  REQUIRE(Used.at(0) != Used.at(1));
}

TEST_CASE("A path that begins with two slashes takes no other path's route",
          "[gateway]") {
  const std::string Target =
      GENERATE("//desk/safe/x", "///safe/x", "//desk:80/safe/x?a=/safe/x");
  GatewayTest Test;
  const StandinRunner &Runner = Test.addRunner("i-1", answerWell);
  Test.start();
  CAPTURE(Target);
  REQUIRE(Test.fetch(Target, "id-1").m_Status == 404);
  REQUIRE(Test.arrivals("id-1") == 0);
  HttpCall Ready;
  Ready.m_To = Test.m_Gateway->readiness();
  Ready.m_Target = "//box/v1/readiness";
  REQUIRE(Test.fetch(Ready).m_Status == 404);
  HttpCall Metrics;
  Metrics.m_To = Test.m_Gateway->metrics();
  Metrics.m_Target = "//box/metrics";
  REQUIRE(Test.fetch(Metrics).m_Status == 404);
  Json Route = Test.route("desk", "safe");
  Route["pathPrefix"] = "//desk/";
  Test.configure(2, Json::array({Route}));
  REQUIRE(
      Test.until([&] { return Test.m_Gateway->state().configVersion() == 2; }));
  REQUIRE(Test.fetch("//desk/safe/x", "id-2").m_Status == 200);
  REQUIRE(Runner.requests().back().m_Target == "//desk/safe/x");
}
