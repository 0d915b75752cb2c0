#include "gateway/GatewayTest.h"

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

/// Two boxes that share one store.
class FleetTest : public GatewayTest {
public:
  FleetTest() {
    addRunner("i-1", [](const Request &Received, const ConnectionPtr &To) {
      To->write(StandinRunner::answer(Received, 200, "body"));
    });
    configure(1);
    startGateway();
    GatewayOptions Options = options();
    Options.m_Box = BoxName("other");
    m_Other = makeGateway(Options, [this] { m_OtherStopped = true; });
    REQUIRE(until([&] {
      return m_Gateway->peers() == 1 && m_Other->peers() == 1 &&
             m_Gateway->state().ready() && m_Other->state().ready();
    }));
  }

  int leaders() const {
    return (m_Gateway->leading() ? 1 : 0) + (m_Other->leading() ? 1 : 0);
  }

  std::unique_ptr<Gateway> m_Other;
  bool m_OtherStopped = false;
};

} // namespace

TEST_CASE("One box leads, and the other takes over when that one leaves",
          "[gateway][fleet]") {
  FleetTest Test;
  REQUIRE(Test.until([&] { return Test.leaders() == 1; }));
  const bool First = Test.m_Gateway->leading();
  (First ? Test.m_Gateway : Test.m_Other)->stop();
  REQUIRE(Test.until(
      [&] { return (First ? Test.m_Other : Test.m_Gateway)->leading(); }));
  REQUIRE(Test.leaders() == 1);
}

namespace {

/// Entries of processes that ended with their boxes, whose leases still stand.
void listFormerProcesses(StandinStore &Store) {
  for (const std::string Name : {"box.000001", "box.000002", "other.000001",
                                 "other.000002", "other.000003"})
    Store.put("havenstair/box/" + Name, dumpJson({{"peers", "127.0.0.1:1"},
                                                  {"zone", "a"},
                                                  {"capacity", 8},
                                                  {"protocol", OwnProtocol}}));
}

} // namespace

// Dead processes were counted as voters for as long as their leases stood.
TEST_CASE("Boxes that return elect a leader beside entries of their former "
          "processes",
          "[gateway][fleet][recover]") {
  GatewayTest Test;
  listFormerProcesses(Test.m_Store);
  Test.configure(1);
  Test.startGateway();
  GatewayOptions Options = Test.options();
  Options.m_Box = BoxName("other");
  const auto Other = Test.makeGateway(Options, [] {});
  REQUIRE(Test.until(
      [&] { return Test.m_Gateway->leading() || Other->leading(); }));
}

// The strongest boxes are relays, so that one such entry took a data centre's
// lists away.
TEST_CASE("An entry under the boxes' keys that no box writes is no voter",
          "[gateway][fleet][entries]") {
  const std::string Capacity = GENERATE("1e300", "1025", "0", "-1", "\"8\"");
  GatewayTest Test;
  for (const std::string Name : {"x.1", "y.1", "z.1"})
    Test.m_Store.put("havenstair/box/" + Name,
                     R"({"peers":"127.0.0.1:1","zone":"a","capacity":)" +
                         Capacity + "}");
  Test.configure(1);
  Test.startGateway();
  REQUIRE(Test.until([&] { return Test.m_Gateway->leading(); }));
}

TEST_CASE("The leader goes on while the store is unreachable",
          "[gateway][fleet]") {
  FleetTest Test;
  REQUIRE(Test.until([&] { return Test.leaders() == 1; }));
  const std::size_t Calls = Test.m_Store.calls();
  Test.m_Store.setFault(StandinStore::Fault::Refuses);
  REQUIRE(Test.until([&] { return Test.m_Store.calls() > Calls + 20; }));
  REQUIRE(Test.leaders() == 1);
}

TEST_CASE("A box that does not watch the list learns of new upstreams",
          "[gateway][fleet]") {
  FleetTest Test;
  REQUIRE(Test.until([&] { return Test.leaders() == 1; }));
  const auto Relayed = [&] {
    return Test.m_Gateway->watchesList() != Test.m_Other->watchesList();
  };
  REQUIRE(Test.until(Relayed));
  Test.addRunner("i-2", [](const Request &, const ConnectionPtr &) {});
  const auto Known = [](const Gateway &Box) {
    return Box.state().m_Upstreams.current().contains("i-2");
  };
  REQUIRE(Test.until(
      [&] { return Known(*Test.m_Gateway) && Known(*Test.m_Other); }));
  SECTION("and reads the store when the box that watches is gone") {
    const bool First = Test.m_Gateway->leading();
    auto &Left = First ? Test.m_Other : Test.m_Gateway;
    (First ? Test.m_Gateway : Test.m_Other).reset();
    REQUIRE(Test.until([&] { return Left->watchesList(); }));
  }
}

TEST_CASE("A box with a dead watch learns the configuration from others",
          "[gateway][fleet]") {
  FleetTest Test;
  REQUIRE(Test.until([&] { return Test.m_Store.silenceWatch("op/config"); }));
  Test.configure(2);
  const auto Version = [](const Gateway &Box) {
    return Box.state().m_Config->m_Version;
  };
  REQUIRE(Test.until([&] {
    return Version(*Test.m_Gateway) == 2 && Version(*Test.m_Other) == 2;
  }));
}

TEST_CASE("A box without peers detects a dead watch of the configuration",
          "[gateway][fleet]") {
  GatewayTest Test;
  Test.start();
  REQUIRE(Test.until([&] { return Test.m_Store.silenceWatch("op/config"); }));
  Test.configure(2);
  REQUIRE(Test.until(
      [&] { return Test.m_Gateway->state().m_Config->m_Version == 2; }));
}

TEST_CASE("A leader that was replaced stops though its watch is dead",
          "[gateway][fleet]") {
  FleetTest Test;
  REQUIRE(Test.until([&] { return Test.leaders() == 1; }));
  // Both boxes' watches are lost, while all links stay up.
  REQUIRE(Test.until([&] { return Test.m_Store.silenceWatch("havenstair/"); }));
  Test.m_Store.silenceWatch("havenstair/");
  Test.m_Store.put("havenstair/giver", "somebody else");
  REQUIRE(Test.until([&] { return Test.leaders() == 0; }));
}
