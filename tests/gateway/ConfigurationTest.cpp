/// \file
/// How boxes learn of configurations while their connections are broken.
///
/// These tests guard against a version that the store has confirmed not coming
/// into force in time, so that requests on a route that it adds are refused as
/// unknown and others are treated by the version before.
///
/// Open connections stop delivering data without a reset, while new ones work.
/// A box's watch of the configuration waits on such a connection for up to 20
/// s. When the links between boxes are silent too, or the watches of all boxes
/// are, no box knows of the new version and can report it: each box relies on
/// others to report what its own watch misses, and none is sure to have asked
/// the store. Eight boxes whose watches were silenced at one moment all served
/// by the version before for 9 s, although other calls to the store were
/// answered all the time. A box that had a version reported did not request it
/// while still newer versions came.
#include "gateway/GatewayTest.h"
#include "platform/StoreClient.h"
#include "standin/LoopbackProxy.h"

#include <algorithm>
#include <array>

using namespace havenstair;

namespace {

constexpr const char *ConfigPrefix = "op/config";
constexpr const char *BoxPrefix = "havenstair/";

/// Some boxes that share one store.
class ConfigurationTest : public GatewayTest {
public:
  static constexpr std::size_t Boxes = 3;

  ConfigurationTest() {
    addRunner("i-1", [](const auto &, const auto &) {});
    configure(1);
    for (std::size_t Number = 0; Number < Boxes; ++Number) {
      GatewayOptions Options = options();
      Options.m_Box = BoxName("box-" + std::to_string(Number));
      m_Boxes.at(Number) = makeGateway(Options, [] {});
    }
    REQUIRE(until([this] {
      return count([](const Gateway &Box) {
               return Box.state().ready() && Box.peers() == Boxes - 1;
             }) == Boxes;
    }));
    // One box leads, and reads the list for all.
    REQUIRE(until([this] {
      return count([](const Gateway &Box) {
               return Box.leading() && Box.watchesList();
             }) == 1 &&
             count([](const Gateway &Box) { return Box.watchesList(); }) == 1 &&
             m_Store.watches(ConfigPrefix) == Boxes &&
             m_Store.waitedOut(BoxPrefix) > 0;
    }));
  }

  template <typename Predicate> std::size_t count(Predicate Holds) const {
    return static_cast<std::size_t>(
        std::count_if(m_Boxes.begin(), m_Boxes.end(),
                      [&](const auto &Each) { return Holds(*Each); }));
  }
  /// Number of boxes that serve by \p Version or a later one.
  std::size_t serving(ConfigVersion Version) const {
    return count([Version](const Gateway &Box) {
      return Box.state().configVersion() >= Version;
    });
  }

  std::array<std::unique_ptr<Gateway>, Boxes> m_Boxes;
};

} // namespace

TEST_CASE("Boxes learn of a configuration though all their watches are dead",
          "[gateway][configuration]") {
  ConfigurationTest Test;
  while (Test.m_Store.silenceWatch(ConfigPrefix)) {
  }
  Test.configure(2);
  // Operators give boxes 2 s: in that time a watch of 0.9 s without changes, as
  // the leader keeps it on the list of boxes, ends three times.
  constexpr std::size_t Watches = 3;
  const std::size_t Before = Test.m_Store.waitedOut(BoxPrefix);
  REQUIRE(Test.until([&] {
    return Test.m_Store.waitedOut(BoxPrefix) > Before + Watches ||
           Test.serving(2) == ConfigurationTest::Boxes;
  }));
  REQUIRE(Test.serving(2) == ConfigurationTest::Boxes);
}

TEST_CASE("Versions in quick succession do not keep a box from reading them",
          "[gateway][configuration]") {
  ConfigurationTest Test;
  REQUIRE(Test.m_Store.silenceWatch(ConfigPrefix));
  // As many versions in quick succession as fit into the 2 s that operators
  // give boxes.
  constexpr Duration Apart = 200ms;
  constexpr ConfigVersion Last = 11;
  ConfigVersion Written = 1;
  const Timer Series = Test.m_Loop.every(Apart, [&] {
    if (Written < Last)
      Test.configure(++Written);
  });
  REQUIRE(Test.until([&] {
    return Written == Last || Test.serving(2) == ConfigurationTest::Boxes;
  }));
  REQUIRE(Test.serving(2) == ConfigurationTest::Boxes);
}

// When all connections have fallen silent at one moment, a box must not wait
// for one time-out after the other.
TEST_CASE("A call after a lost answer takes a new connection to the store",
          "[gateway][configuration]") {
  GatewayTest Test;
  LoopbackProxy Link(Test.m_Loop, {"127.0.0.1", 0}, Test.m_Store.endpoint());
  StoreEraTracker Eras(
      {.m_Changed = [](const auto &) {}, .m_Ignored = [](const auto &) {}});
  platform::StoreClient Client(Test.m_Http, Link.endpoint(), Eras);
  // Two connections that stay idle for seconds.
  int Woken = 0;
  std::array<std::shared_ptr<void>, 2> Watches;
  for (auto &Each : Watches)
    Each = Client.watch(ConfigPrefix, {.m_Era = FirstEra, .m_Number = 1}, 5s,
                        [&](const StoreChanges &) { ++Woken; });
  REQUIRE(Test.until(
      [&] { return Test.m_Store.watches(ConfigPrefix) == Watches.size(); }));
  Test.configure(1);
  REQUIRE(Test.until([&] { return Woken == 2; }));
  Link.silenceOpen();
  std::vector<StoreStatus> Answers;
  const auto Read = [&] {
    Client.range(ConfigPrefix, ReadKind::Current, [&](const StoreItems &Read) {
      Answers.push_back(Read.m_Status);
    });
    const std::size_t Asked = Answers.size() + 1;
    REQUIRE(Test.until([&] { return Answers.size() == Asked; }));
  };
  Read();
  Read();
  REQUIRE(Answers == std::vector{StoreStatus::Lost, StoreStatus::Ok});
}

TEST_CASE("The delays until a configuration is in force add up to less than "
          "operators give",
          "[gateway][configuration]") {
  constexpr Duration Allowed = 2s;
  // Two calls and two messages between boxes, on a box with a slow event loop.
  constexpr Duration CallsAndMessages = 4 * 50ms;
  constexpr Duration DetectDead =
      WatchCache::ShortWait + platform::StoreClient::WatchTimeoutMargin;
  REQUIRE(DetectDead + ConfigFetchPolicy::WatchSilenceTimeout +
              CallsAndMessages <
          Allowed);
  // Links that fell silent: boxes must count as reachable again after 3 s.
  REQUIRE(PeerLink::MostQuietLooks * PeerLink::LookEvery <= 3s);
}
