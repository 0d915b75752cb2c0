#include "gateway/GatewayTest.h"

#include "wire/process/PeerMesh.h"
#include <cstdint>
#include <map>
#include <string>
#include <variant>

using namespace havenstair;

namespace {

const std::string PeerSecret = "a-secret-for-peers-in-tests";
constexpr FencingToken Token = 1000;

/// Links to a gateway as another box, and takes it for its relay.
class LeafPeer {
public:
  LeafPeer(EventLoop &Loop, const std::string &Name)
      : m_Mesh(Loop,
               {.m_Listen = {"127.0.0.1", 0},
                .m_Link = {.m_Self = BoxName(Name),
                           .m_DataCentre = DataCentreName("a"),
                           .m_Secret = PeerSecret},
                .m_Random = [] { return 0.5; }},
               {.m_Up = [this](const BoxName &Box,
                               const DataCentreName &) { m_Gateway = Box; },
                .m_Frame = [this](const BoxName &,
                                  const PeerFrame &Frame) { receive(Frame); },
                .m_Down = [](const BoxName &) {}}),
        m_DigestTimer(Loop.every(100ms, [this] { sendDigest(); })) {}

  void sendContents(FencingToken Of) {
    const FleetContentsFrame Frame{.m_FencingToken = Of, .m_Engines = {}};
    REQUIRE(m_Mesh.send(m_Gateway, EncodedFrame(Frame)) > 0);
  }

  int received(FencingToken Of) const {
    const auto Found = m_Contents.find(Of);
    return Found == m_Contents.end() ? 0 : Found->second;
  }

  PeerMesh m_Mesh;

private:
  void sendDigest() {
    if (m_Gateway.empty())
      return;
    FleetDigestFrame Frame;
    Frame.m_Number = ++m_Digests;
    Frame.m_Leaf = true;
    m_Mesh.send(m_Gateway, EncodedFrame(Frame));
  }

  void receive(const PeerFrame &Frame) {
    if (const auto *Contents = std::get_if<FleetContentsFrame>(&Frame))
      ++m_Contents[Contents->m_FencingToken];
  }

  BoxName m_Gateway;
  std::uint64_t m_Digests = 0;
  std::map<FencingToken, int> m_Contents; ///< Frames received, by token.
  Timer m_DigestTimer;
};

/// A gateway with two boxes that take it for their relay.
class ContentsTest : public GatewayTest {
public:
  ContentsTest() {
    addRunner("i-1", [](const Request &, const ConnectionPtr &) {});
    configure(1);
    GatewayOptions Options = options();
    Options.m_PeerSecret = PeerSecret;
    Options.m_Seeds = {m_First.m_Mesh.endpoint(), m_Second.m_Mesh.endpoint()};
    m_Gateway = makeGateway(Options, [] {});
    REQUIRE(until([&] {
      return m_Gateway->state().ready() && m_Gateway->leaves() == 2;
    }));
  }

  LeafPeer m_First{m_Loop, "leaf-1"};
  LeafPeer m_Second{m_Loop, "leaf-2"};
};

} // namespace

TEST_CASE("Contents of engines do not circle between boxes that take each "
          "other for leaves",
          "[gateway][fleet][orders]") {
  ContentsTest Test;
  Test.m_First.sendContents(Token);
  REQUIRE(Test.until([&] { return Test.m_Second.received(Token) == 1; }));
  SECTION("of two boxes") {}
  SECTION("of three boxes") { Test.m_Second.sendContents(Token); }
  // Comes to the first box after whatever the frames before caused.
  Test.m_Second.sendContents(Token + 1);
  REQUIRE(Test.until([&] { return Test.m_First.received(Token + 1) == 1; }));
  REQUIRE(Test.m_First.received(Token) == 0);
}

TEST_CASE("A relay passes all contents of one term on to its leaves",
          "[gateway][fleet][orders]") {
  ContentsTest Test;
  for (int Sent = 1; Sent <= 3; ++Sent) {
    Test.m_First.sendContents(Token);
    REQUIRE(Test.until([&] { return Test.m_Second.received(Token) == Sent; }));
  }
}
