#include "gateway/process/LeafSubsets.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/ListFrames.h"
#include "gateway/process/UpstreamRegistry.h"
#include "platform/UpstreamEntry.h"
#include "support/Names.h"
#include "wire/common/Json.h"

#include <catch2/catch.hpp>
#include <fcntl.h>

using namespace havenstair;

namespace {

/// A store that is never called: the list is set by the test.
class UnusedStore : public CoordinationStore {
public:
  void range(const std::string &, ReadKind, ItemsDone) override {}
  std::shared_ptr<void> watch(const std::string &, StoreRevision, Duration,
                              ChangesDone) override {
    return nullptr;
  }
  void transact(const StoreTransaction &, WriteDone) override {}
  void grantLease(Duration, LeaseDone) override {}
  void renewLease(LeaseId, Done) override {}
  void revokeLease(LeaseId, Done) override {}
};

/// A relay's list of engines with one model, and the copy of one of its leaves.
class LeafSubsetsTest {
public:
  LeafSubsetsTest()
      : m_Log(m_Loop, {.m_Descriptor = open("/dev/null", O_WRONLY)}),
        m_Registry(platform::decodeUpstream, m_Log),
        m_List(m_Loop, m_Store, {.m_Prefix = "servers/"}, {.m_Changed = [] {}}),
        m_Leaf(m_Loop, m_Store, {.m_Prefix = "servers/"},
               {.m_Changed = [] {}}) {
    for (int Number = 0; Number < Engines; ++Number)
      put(Number, "ready");
    change();
    applyToLeaf(
        m_Subsets.snapshot(m_Here, m_List, *m_Registry.subset(), at(0s)));
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
    m_Pending.m_Items.push_back({.m_Key = key(Number),
                                 .m_Value = dumpJson(Value),
                                 .m_Revision = revision(++m_Revision)});
  }

  void remove(const std::string &Key) {
    ++m_Revision;
    m_Pending.m_Gone.push_back(Key);
  }

  /// Applies what was put and removed to the relay's list.
  void change() {
    m_Pending.m_Since = m_List.revision();
    m_Pending.m_Revision = revision(m_Revision);
    REQUIRE(m_List.adopt(std::exchange(m_Pending, {})));
    m_Registry.read(m_List.items(), m_List.revision(), {});
  }

  /// Sends the leaf its update, if one is due at \p Now. \returns whether it
  /// was.
  bool sendUpdate(TimePoint Now) {
    const auto Update =
        m_Subsets.takeUpdate(m_Here, m_List, *m_Registry.subset(), Now);
    if (Update)
      applyToLeaf(*Update);
    return Update.has_value();
  }

  static std::string key(int Number) {
    return "servers/i-" + std::to_string(100 + Number);
  }

  static constexpr int Engines = 60;
  const DataCentreName m_Here{"a"};
  EventLoop m_Loop;
  UnusedStore m_Store;
  DecisionLog m_Log;
  UpstreamRegistry m_Registry;
  LeafSubsets m_Subsets;
  WatchCache m_List;
  WatchCache m_Leaf;

private:
  void applyToLeaf(const EncodedFrame &Frame) {
    const PeerFrame Read = decodeFrame(Frame.bytesFor(OwnProtocol));
    const auto &Keys = std::get<FleetKeysFrame>(Read);
    REQUIRE(m_Leaf.adopt(deltaIn(Keys)));
  }

  std::uint64_t m_Revision = 0;
  WatchCache::Delta m_Pending;
};

} // namespace

TEST_CASE("A leaf follows the subset of upstreams of its data centre",
          "[gateway][fleet]") {
  LeafSubsetsTest Test;
  const auto Known = Test.m_Leaf.items();
  REQUIRE(Test.m_Leaf.partial());
  REQUIRE(Known.size() == 16);
  SECTION("it is sent at once that one leaves, and its successor") {
    Test.remove(Known.begin()->first);
    Test.change();
    REQUIRE(Test.sendUpdate(at(0s)));
    REQUIRE_FALSE(Test.m_Leaf.items().contains(Known.begin()->first));
    REQUIRE(Test.m_Leaf.items().size() == 16);
    REQUIRE(Test.m_Leaf.revision() == Test.m_List.revision());
  }
  SECTION("and that one begins to drain") {
    const int First = std::stoi(Known.begin()->first.substr(10)) - 100;
    Test.put(First, "draining");
    Test.change();
    REQUIRE(Test.sendUpdate(at(0s)));
    REQUIRE(Test.m_Leaf.items().size() == 17);
  }
  SECTION("and all other changes together after a pause") {
    for (int Number = 0; Number < LeafSubsetsTest::Engines; ++Number) {
      Test.put(Number, "ready");
      Test.change();
      REQUIRE_FALSE(Test.sendUpdate(at(10ms)));
    }
    REQUIRE(Test.m_Subsets.sentRevision(Test.m_Here) == Test.m_Leaf.revision());
    REQUIRE(Test.sendUpdate(at(1s)));
    REQUIRE_FALSE(Test.sendUpdate(at(1s)));
    REQUIRE(Test.m_Leaf.revision() == Test.m_List.revision());
  }
  SECTION("and only the revision of a change outside its subset") {
    int Other = 0;
    while (Known.contains(LeafSubsetsTest::key(Other)))
      ++Other;
    Test.remove(LeafSubsetsTest::key(Other));
    Test.change();
    REQUIRE(Test.sendUpdate(at(1s)));
    REQUIRE(Test.m_Leaf.items().size() == Known.size());
    REQUIRE(Test.m_Leaf.revision() == Test.m_List.revision());
  }
}
