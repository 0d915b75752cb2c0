#include "standin/LoopbackProxy.h"
#include "standin/StandinRunner.h"
#include "support/SocketOwner.h"
#include "wire/common/HttpClient.h"

#include <catch2/catch.hpp>
#include <cerrno>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace havenstair;

namespace {

/// A server behind a proxy, and a client before it.
class ProxyTest {
public:
  std::optional<HttpAnswer> m_Answer;
  EventLoop m_Loop;
  StandinRunner m_Server{m_Loop, [](const auto &Asked, const auto &To) {
                           To->write(
                               StandinRunner::answer(Asked, 200, Asked.m_Body));
                         }};
  LoopbackProxy m_Proxy{m_Loop, {"127.0.0.1", 0}, m_Server.endpoint()};
  HttpClient m_Http{m_Loop};

  void send(const std::string &Body) {
    m_Answer.reset();
    HttpCall Call;
    Call.m_To = m_Proxy.endpoint();
    Call.m_Method = HttpMethod::Post;
    Call.m_Target = "/x";
    Call.m_Body = Body;
    Call.m_Use = ConnectionUse::Reused;
    m_Http.fetch(std::move(Call),
                 [&](HttpAnswer Answer) { m_Answer = std::move(Answer); });
  }
  bool until(const std::function<bool()> &Done) {
    return m_Loop.runUntil(Done, 20s);
  }
  bool answered() {
    return until([&] { return m_Answer.has_value(); });
  }
};

} // namespace

TEST_CASE_METHOD(ProxyTest, "A proxy passes bytes both ways", "[soak][proxy]") {
  for (const std::string &Body : {std::string(200000, 'x'), std::string("y")}) {
    send(Body);
    REQUIRE(answered());
    REQUIRE(m_Answer->ok());
    REQUIRE(m_Answer->m_Body == Body);
  }
  REQUIRE(m_Server.accepted() == 1);
}

TEST_CASE_METHOD(ProxyTest, "A cut holds one way up until it heals",
                 "[soak][proxy]") {
  using Direction = LoopbackProxy::Direction;
  send("first");
  REQUIRE(answered());
  SECTION("to the server") {
    m_Proxy.setCut(Direction::ToServer, true);
    send("second");
    REQUIRE_FALSE(
        m_Loop.runUntil([&] { return m_Server.requests().size() > 1; }, 100ms));
    m_Proxy.setCut(Direction::ToServer, false);
  }
  SECTION("to the client") {
    m_Proxy.setCut(Direction::ToClient, true);
    send("second");
    REQUIRE(until([&] { return m_Server.requests().size() == 2; }));
    REQUIRE_FALSE(m_Loop.runUntil([&] { return m_Answer.has_value(); }, 100ms));
    m_Proxy.setCut(Direction::ToClient, false);
  }
  REQUIRE(answered());
  CAPTURE(static_cast<int>(m_Answer->m_End), m_Answer->m_Status,
          m_Server.accepted(), m_Server.requests().size());
  REQUIRE(m_Answer->m_Body == "second");
}

TEST_CASE_METHOD(ProxyTest, "A silenced connection is lost, a new one works",
                 "[soak][proxy]") {
  send("first");
  REQUIRE(answered());
  m_Proxy.silenceOpen();
  send("second");
  REQUIRE_FALSE(m_Loop.runUntil([&] { return m_Answer.has_value(); }, 100ms));
  send("third");
  REQUIRE(answered());
  REQUIRE(m_Answer->m_Body == "third");
}

TEST_CASE_METHOD(ProxyTest, "Resets and refusals reach the client",
                 "[soak][proxy]") {
  m_Proxy.setRefusing(true);
  send("first");
  REQUIRE(answered());
  REQUIRE_FALSE(m_Answer->ok());
  m_Proxy.setRefusing(false);
  send("second");
  REQUIRE(answered());
  REQUIRE(m_Answer->ok());
  m_Server.setBehaviour([](const auto &, const auto &) {});
  send("third");
  REQUIRE(until([&] { return m_Server.requests().size() == 2; }));
  m_Proxy.resetOpen();
  REQUIRE(answered());
  REQUIRE(m_Answer->m_End == HttpEnd::Broken);
}

TEST_CASE_METHOD(ProxyTest, "A partition holds for one client alone",
                 "[soak][proxy][partition]") {
  using Partition = LoopbackProxy::Partition;
  std::string Name = "cut";
  m_Proxy.setNaming([&](const Endpoint &) { return Name; });
  send("first");
  REQUIRE(answered());
  const auto Way =
      GENERATE(Partition::Hangs, Partition::Resets, Partition::RefusesNew);
  m_Proxy.setPartition("cut", Way);

  SECTION("its open connection hangs, ends or lives on") {
    // A client that has noticed the reset connects anew.
    send("second");
    if (Way == Partition::Hangs)
      REQUIRE_FALSE(
          m_Loop.runUntil([&] { return m_Answer.has_value(); }, 100ms));
    else
      REQUIRE(answered());
    if (Way != Partition::Hangs)
      REQUIRE(m_Answer->ok() == (Way == Partition::RefusesNew));
    m_Proxy.setPartition("cut", Partition::None);
    REQUIRE(answered());
    REQUIRE(m_Answer->ok() == (Way != Partition::Resets));
  }
  SECTION("its new ones hang or are reset") {
    m_Http.forget(m_Proxy.endpoint());
    send("second");
    REQUIRE(m_Loop.runUntil([&] { return m_Answer.has_value(); }, 100ms) ==
            (Way != Partition::Hangs));
    REQUIRE(m_Server.requests().size() == 1);
    m_Proxy.setPartition("cut", Partition::None);
    REQUIRE(answered());
    REQUIRE(m_Answer->ok() == (Way == Partition::Hangs));
  }
  SECTION("another client is served") {
    Name = "other";
    m_Http.forget(m_Proxy.endpoint());
    send("second");
    REQUIRE(answered());
    REQUIRE(m_Answer->ok());
  }
}

TEST_CASE_METHOD(ProxyTest, "A client is known by the process that connects",
                 "[soak][proxy][partition]") {
  bool Own = false;
  bool Parent = true;
  m_Proxy.setNaming([&](const Endpoint &Client) {
    const auto Inode = socketInode(Client, m_Proxy.endpoint());
    Own = Inode != 0 && holdsSocket(getpid(), Inode);
    Parent = holdsSocket(getppid(), Inode);
    return std::string();
  });
  send("first");
  REQUIRE(answered());
  REQUIRE(Own);
  REQUIRE_FALSE(Parent);
  REQUIRE(socketInode({"127.0.0.1", 1}, m_Proxy.endpoint()) == 0);
}

TEST_CASE_METHOD(ProxyTest, "Delayed bytes keep their order", "[soak][proxy]") {
  m_Proxy.setDelay(50ms);
  const std::string Body(200000, 'x');
  send(Body + "end");
  m_Loop.runUntil([&] { return !m_Server.requests().empty(); }, 30ms);
  m_Proxy.setDelay(0us);
  REQUIRE(answered());
  REQUIRE(m_Answer->m_Body == Body + "end");
}

TEST_CASE_METHOD(ProxyTest, "A proxy that doubles sends a request twice",
                 "[soak][proxy]") {
  m_Proxy.setDoubled(
      [](const std::string &Bytes) { return Bytes.starts_with("POST /x"); });
  send("first");
  REQUIRE(answered());
  REQUIRE(m_Answer->m_Body == "first");
  REQUIRE(until([&] { return m_Server.requests().size() == 2; }));
  REQUIRE(m_Server.accepted() == 2);
}

TEST_CASE_METHOD(ProxyTest, "A proxy keeps its port while it does not listen",
                 "[soak][proxy]") {
  m_Proxy.setListening(false);
  sockaddr_storage Address{};
  const auto Size =
      static_cast<socklen_t>(toSockaddr(m_Proxy.endpoint(), Address));
  const int Other = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(bind(Other, reinterpret_cast<sockaddr *>(&Address), Size) != 0);
  REQUIRE(errno == EADDRINUSE);
  close(Other);
  send("refused");
  REQUIRE(answered());
  REQUIRE_FALSE(m_Answer->ok());
  m_Proxy.setListening(true);
  send("taken");
  REQUIRE(answered());
  REQUIRE(m_Answer->m_Body == "taken");
}
