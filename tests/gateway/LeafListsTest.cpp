#include "gateway/process/LeafLists.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/ListFollower.h"
#include "gateway/process/UpstreamRegistry.h"
#include "platform/ServerEntry.h"
#include "support/Names.h"
#include "wire/common/Json.h"

#include <catch2/catch.hpp>
#include <fcntl.h>

using namespace havenstair;

namespace {

/// A store that nobody asks: the list is told.
class NoStore : public CoordinationStore {
public:
  void range(const std::string &, ReadKind, ItemsDone) override {}
  std::shared_ptr<void> watch(const std::string &, StoreRevision, Duration,
                              ChangesDone) override {
    return nullptr;
  }
  void transact(const StoreTransaction &, WriteDone) override {}
  void grantLease(Duration, LeaseDone) override {}
  void keepLease(LeaseId, Done) override {}
  void endLease(LeaseId, Done) override {}
};

/// A relay's list of engines with one model, and what its leaves follow.
class LeafListsTest {
public:
  LeafListsTest()
      : m_Log(m_Loop, {.m_Descriptor = open("/dev/null", O_WRONLY)}),
        m_Registry(platform::decodeServer, m_Log),
        m_List(m_Loop, m_Store, {.m_Prefix = "servers/"}, {.m_Changed = [] {}}),
        m_Leaf(m_Loop, m_Store, {.m_Prefix = "servers/"},
               {.m_Changed = [] {}}) {
    for (int Number = 0; Number < Engines; ++Number)
      put(Number, "ready");
    change();
    tell(m_Lists.whole(m_Here, m_List, m_Registry.shortlist(), at(0s)));
  }

  void put(int Number, const std::string &State) {
    const Json Value{
        {"service", "llm"},
        {"address", "127.0.0.1:9"},
        {"zone", m_Here.str()},
        {"slots", 64},
        {"state", State},
        {"version", "v1"},
        {"coldRemainingMs", 0},
        {"sequenceNumber", 1},
        {"modelList",
         Json::array({{{"name", "m"}, {"adapterList", Json::array()}}})}};
    m_News.m_Items.push_back({.m_Key = key(Number),
                              .m_Value = dumpJson(Value),
                              .m_Revision = ++m_Revision});
  }

  void remove(const std::string &Key) {
    ++m_Revision;
    m_News.m_Gone.push_back(Key);
  }

  /// What was put and removed becomes the relay's list.
  void change() {
    m_News.m_Since = m_List.revision();
    m_News.m_Revision = m_Revision;
    REQUIRE(m_List.adopt(std::exchange(m_News, {})));
    m_Registry.read(m_List.items(), m_List.revision(), {});
  }

  /// \returns whether the leaf was told something at \p Now.
  bool news(TimePoint Now) {
    const auto News =
        m_Lists.takeNews(m_Here, m_List, m_Registry.shortlist(), Now);
    if (News)
      tell(*News);
    return News.has_value();
  }

  static std::string key(int Number) {
    return "servers/i-" + std::to_string(100 + Number);
  }

  static constexpr int Engines = 60;
  const DataCentreName m_Here{"a"};
  EventLoop m_Loop;
  NoStore m_Store;
  DecisionLog m_Log;
  UpstreamRegistry m_Registry;
  LeafLists m_Lists;
  PrefixMirror m_List;
  PrefixMirror m_Leaf;

private:
  void tell(const EncodedFrame &Frame) {
    const PeerFrame Read = decodeFrame(Frame.bytesFor(OwnProtocol));
    const auto &Keys = std::get<FleetKeysFrame>(Read);
    REQUIRE(m_Leaf.adopt(ListFollower::newsIn(Keys)));
  }

  StoreRevision m_Revision = 0;
  PrefixMirror::Delta m_News;
};

} // namespace

TEST_CASE("A leaf follows the shortlist of its data centre",
          "[gateway][fleet]") {
  LeafListsTest Test;
  const auto Known = Test.m_Leaf.items();
  REQUIRE(Test.m_Leaf.part());
  REQUIRE(Known.size() == 16);
  SECTION("it hears at once of one that leaves, and of its successor") {
    Test.remove(Known.begin()->first);
    Test.change();
    REQUIRE(Test.news(at(0s)));
    REQUIRE_FALSE(Test.m_Leaf.items().contains(Known.begin()->first));
    REQUIRE(Test.m_Leaf.items().size() == 16);
    REQUIRE(Test.m_Leaf.revision() == Test.m_List.revision());
  }
  SECTION("and of one that begins to leave") {
    const int First = std::stoi(Known.begin()->first.substr(10)) - 100;
    Test.put(First, "draining");
    Test.change();
    REQUIRE(Test.news(at(0s)));
    REQUIRE(Test.m_Leaf.items().size() == 17);
  }
  SECTION("of all else after a rest, all at one time") {
    for (int Number = 0; Number < LeafListsTest::Engines; ++Number) {
      Test.put(Number, "ready");
      Test.change();
      REQUIRE_FALSE(Test.news(at(10ms)));
    }
    REQUIRE(Test.m_Lists.toldAt(Test.m_Here) == Test.m_Leaf.revision());
    REQUIRE(Test.news(at(1s)));
    REQUIRE_FALSE(Test.news(at(1s)));
    REQUIRE(Test.m_Leaf.revision() == Test.m_List.revision());
  }
  SECTION("a change elsewhere is a revision and nothing else") {
    int Other = 0;
    while (Known.contains(LeafListsTest::key(Other)))
      ++Other;
    Test.remove(LeafListsTest::key(Other));
    Test.change();
    REQUIRE(Test.news(at(1s)));
    REQUIRE(Test.m_Leaf.items().size() == Known.size());
    REQUIRE(Test.m_Leaf.revision() == Test.m_List.revision());
  }
}
