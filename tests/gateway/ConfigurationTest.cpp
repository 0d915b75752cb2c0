/// \file
/// How boxes learn of configurations while the ways to them are harmed.
///
/// Users ran seven boxes as real processes. A version that their store had
/// confirmed was not in force in time, on most runs: requests on a route that
/// it added were refused as unknown, others ran as only the version before
/// allowed.
///
/// Order of events: open connections fell silent without a reset while new ones
/// worked. A box's watch of the configuration waited on such a connection for
/// up to 20 s. The links between boxes were as silent, or the watches of all
/// boxes were, so that nobody knew of the new version who could have told.
///
/// Cause: each box took it that others would tell it of what its own watch
/// missed, and none of them had to have asked. The evidence: in a soak of eight
/// boxes whose watches were silenced at one moment, all showed the version
/// before for 9 s; their logs told ages of their copies of many seconds and no
/// word of others, while other calls to the store were answered all the time. A
/// box that was told asked nobody while still newer versions came.
#include "gateway/GatewayTest.h"
#include "platform/StoreClient.h"
#include "standin/LoopbackProxy.h"

#include <algorithm>
#include <array>

using namespace havenstair;

namespace {

constexpr const char *ConfigPrefix = "op/config";
constexpr const char *BoxPrefix = "havenstair/";

/// Some boxes before one store.
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
    // One gives orders, and reads the list for all.
    REQUIRE(until([this] {
      return count([](const Gateway &Box) {
               return Box.leading() && Box.watchesList();
             }) == 1 &&
             count([](const Gateway &Box) { return Box.watchesList(); }) == 1 &&
             m_Store.watches(ConfigPrefix) == Boxes &&
             m_Store.waitedOut(BoxPrefix) > 0;
    }));
  }

  template <typename Holds> std::size_t count(Holds Of) const {
    return static_cast<std::size_t>(
        std::count_if(m_Boxes.begin(), m_Boxes.end(),
                      [&](const auto &Each) { return Of(*Each); }));
  }
  /// Boxes that serve by \p Version or a later one.
  std::size_t serving(ConfigVersion Version) const {
    return count([Version](const Gateway &Box) {
      return Box.state().configVersion() >= Version;
    });
  }

  std::array<std::unique_ptr<Gateway>, Boxes> m_Boxes;
};

} // namespace

TEST_CASE("Boxes whose watches of the configuration are all dead learn of it",
          "[gateway][configuration]") {
  ConfigurationTest Test;
  while (Test.m_Store.silenceWatch(ConfigPrefix)) {
  }
  Test.configure(2);
  // Operators give boxes 2 s: within them a watch of 0.9 s without news, as the
  // box that gives orders keeps it on the boxes, ends three times.
  constexpr std::size_t Watches = 3;
  const std::size_t Before = Test.m_Store.waitedOut(BoxPrefix);
  REQUIRE(Test.until([&] {
    return Test.m_Store.waitedOut(BoxPrefix) > Before + Watches ||
           Test.serving(2) == ConfigurationTest::Boxes;
  }));
  REQUIRE(Test.serving(2) == ConfigurationTest::Boxes);
}

TEST_CASE("Versions that come fast do not keep a box from reading them",
          "[gateway][configuration]") {
  ConfigurationTest Test;
  REQUIRE(Test.m_Store.silenceWatch(ConfigPrefix));
  // As many in quick series as fit into the 2 s that operators give boxes.
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

// What a box believes its connections to the store to be must not cost it one
// time-out after the other when all of them have fallen silent at one moment.
TEST_CASE("A call after a lost answer takes a new connection to the store",
          "[gateway][configuration]") {
  GatewayTest Test;
  LoopbackProxy Link(Test.m_Loop, {"127.0.0.1", 0}, Test.m_Store.endpoint());
  platform::StoreClient Client(Test.m_Http, Link.endpoint());
  // Two connections that rest for seconds.
  int Woken = 0;
  std::array<std::shared_ptr<void>, 2> Watches;
  for (auto &Each : Watches)
    Each = Client.watch(ConfigPrefix, 1, 5s,
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

TEST_CASE("The parts of the time until a configuration is in force add up to "
          "less than operators give",
          "[gateway][configuration]") {
  constexpr Duration Given = 2s;
  // Two calls and two words between boxes, on a box that is slow to its loop.
  constexpr Duration CallsAndWords = 4 * 50ms;
  constexpr Duration FoundDead =
      WatchCache::ShortWait + platform::StoreClient::WatchTimeout;
  REQUIRE(FoundDead + ConfigPursuit::WatchTells + CallsAndWords < Given);
  // Connections that fell silent: boxes count as reached again after 3 s.
  REQUIRE(PeerLink::MostQuietLooks * PeerLink::LookEvery <= 3s);
}
