#include "wire/process/PeerMesh.h"
#include "standin/LoopbackProxy.h"
#include "support/Names.h"

#include <catch2/catch.hpp>
#include <random>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;

/// The mesh of one box, and the events and frames that it has received.
struct MeshBox {
  MeshBox(EventLoop &Loop, const std::string &Name, const std::string &Secret,
          PeerProtocol Protocol = OwnProtocol)
      : m_Mesh(Loop,
               {.m_Listen = {"127.0.0.1", 0},
                .m_Link = {.m_Self = BoxName(Name),
                           .m_DataCentre = DataCentreName("kl"),
                           .m_Secret = Secret,
                           .m_Protocol = Protocol},
                .m_RedialFirst = 5ms,
                .m_RedialCap = 20ms,
                .m_Random = [] { return 0.5; }},
               {.m_Up = [this](const BoxName &,
                               const DataCentreName &) { ++m_Ups; },
                .m_Frame =
                    [this](const BoxName &, PeerFrame Frame) {
                      m_Received.push_back(std::move(Frame));
                    },
                .m_Down = [this](const BoxName &) { ++m_Downs; }}) {}

  PeerAddress address(const std::string &Name) const {
    return {BoxName(Name), DataCentreName("kl"), m_Mesh.endpoint()};
  }

  int m_Ups = 0;
  int m_Downs = 0;
  std::vector<PeerFrame> m_Received;
  PeerMesh m_Mesh;
};

} // namespace

TEST_CASE("Two boxes with the same secret link up and exchange frames",
          "[peers]") {
  EventLoop Loop;
  MeshBox A(Loop, "a", "the-secret-of-all");
  MeshBox B(Loop, "b", "the-secret-of-all");
  A.m_Mesh.learn({B.address("b")});
  B.m_Mesh.learn({A.address("a")});
  REQUIRE(Loop.runUntil([&] { return A.m_Ups == 1 && B.m_Ups == 1; }, Limit));
  // Random bytes, which compression does not make smaller.
  std::string Large;
  std::mt19937 Random(1);
  while (Large.size() < 100000)
    Large.push_back(static_cast<char>(Random()));
  REQUIRE(A.m_Mesh.send(BoxName("b"), BytesFrame{1, Large}) > Large.size());
  REQUIRE(B.m_Mesh.send(BoxName("a"), CancelFrame{7}) > 0);
  REQUIRE(Loop.runUntil(
      [&] { return !A.m_Received.empty() && !B.m_Received.empty(); }, Limit));
  REQUIRE(std::get<BytesFrame>(B.m_Received.at(0)).m_Bytes == Large);
  REQUIRE(std::get<CancelFrame>(A.m_Received.at(0)).m_Attempt == 7);

  SECTION("a link that drops comes back") {
    B.m_Mesh.drop(BoxName("a"));
    REQUIRE(Loop.runUntil([&] { return A.m_Ups == 2 && B.m_Ups == 2; }, Limit));
    REQUIRE(A.m_Downs == 1);
  }
}

TEST_CASE("A box with another secret is rejected", "[peers][access]") {
  EventLoop Loop;
  MeshBox A(Loop, "a", "the-secret-of-all");
  MeshBox B(Loop, "b", "another-secret-at-all");
  A.m_Mesh.learn({B.address("b")});
  // Long enough for several attempts.
  Loop.runUntil([] { return false; }, 200ms);
  REQUIRE(A.m_Ups == 0);
  REQUIRE(B.m_Ups == 0);
  REQUIRE(A.m_Mesh.send(BoxName("b"), CancelFrame{1}) == 0);
}

TEST_CASE("A box connects to a seed without knowing its name", "[peers]") {
  EventLoop Loop;
  MeshBox A(Loop, "a", "the-secret-of-all");
  MeshBox B(Loop, "b", "the-secret-of-all");
  B.m_Mesh.learnSeeds({A.m_Mesh.endpoint()});
  REQUIRE(Loop.runUntil([&] { return A.m_Ups == 1 && B.m_Ups == 1; }, Limit));
  REQUIRE(B.m_Mesh.reachable(BoxName("a")));
}

// Guards against links that both ends take for up after their connection has
// failed without a reset: one box then served by an old configuration for 20 s,
// as neither its watch nor its links brought the new one.
TEST_CASE("A link that falls silent without a reset is closed and made anew",
          "[peers]") {
  EventLoop Loop;
  MeshBox A(Loop, "a", "the-secret-of-all");
  MeshBox B(Loop, "b", "the-secret-of-all");
  LoopbackProxy Between(Loop, {"127.0.0.1", 0}, B.m_Mesh.endpoint());
  A.m_Mesh.learn(
      {{BoxName("b"), DataCentreName("kl"), Between.endpoint(), true}});
  REQUIRE(Loop.runUntil([&] { return A.m_Ups == 1 && B.m_Ups == 1; }, Limit));
  Between.silenceOpen();
  REQUIRE(Loop.runUntil([&] { return A.m_Ups == 2 && B.m_Ups == 2; }, Limit));
  A.m_Mesh.send(BoxName("b"), CancelFrame{7});
  REQUIRE(Loop.runUntil([&] { return !B.m_Received.empty(); }, Limit));
}

// Guards against links between two builds that are closed again and again: an
// old build closes the link on a kind of frame that it does not know, thousands
// of times in 20 s while boxes were replaced one after the other.
TEST_CASE("A box is sent only frames of the protocol that it has announced",
          "[peers]") {
  EventLoop Loop;
  MeshBox Old(Loop, "old", "the-secret-of-all", FirstProtocol);
  MeshBox New(Loop, "new", "the-secret-of-all");
  New.m_Mesh.learn(
      {{BoxName("old"), DataCentreName("kl"), Old.m_Mesh.endpoint(), true}});
  REQUIRE(
      Loop.runUntil([&] { return Old.m_Ups == 1 && New.m_Ups == 1; }, Limit));
  REQUIRE(New.m_Mesh.protocolOf(BoxName("old")) == FirstProtocol);
  REQUIRE(Old.m_Mesh.protocolOf(BoxName("new")) == OwnProtocol);
  const RequestClearedFrame Later{RequestDigest("d")};
  REQUIRE(New.m_Mesh.send(BoxName("old"), Later) == 0);
  REQUIRE(New.m_Mesh.send(BoxName("old"), CancelFrame{7}) > 0);
  REQUIRE(Old.m_Mesh.send(BoxName("new"), Later) > 0);
  REQUIRE(Loop.runUntil(
      [&] { return !Old.m_Received.empty() && !New.m_Received.empty(); },
      Limit));
  REQUIRE(std::get<CancelFrame>(Old.m_Received.at(0)).m_Attempt == 7);
  REQUIRE(Old.m_Downs + New.m_Downs == 0);
}
