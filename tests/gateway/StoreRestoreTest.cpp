#include "gateway/GatewayTest.h"

#include <algorithm>
#include <memory>
#include <vector>

using namespace havenstair;

namespace {

/// A fleet whose store comes back from a copy of itself.
class StoreRestoreTest : public GatewayTest {
public:
  /// More changes than any test makes after a restore.
  static constexpr int ManyChanges = 400;

  explicit StoreRestoreTest(std::size_t Boxes) {
    addRunner("i-1", [](const Request &Received, const ConnectionPtr &To) {
      To->write(StandinRunner::answer(Received, 200, "body"));
    });
    addRunner("i-2", [](const Request &Received, const ConnectionPtr &To) {
      To->write(StandinRunner::answer(Received, 200, "body"));
    });
    configure(1);
    for (std::size_t Number = 0; Number < Boxes; ++Number)
      addBox();
    REQUIRE(until([&] {
      return allBoxes([](const Gateway &Box) { return Box.state().ready(); });
    }));
    REQUIRE(until([&] { return leaders() == 1; }));
  }

  void addBox() {
    const std::size_t Number = m_Boxes.size();
    GatewayOptions Options = options();
    Options.m_Box = BoxName("box-" + std::to_string(10 + Number));
    Options.m_Capacity = Number < 3 ? 0.5 : 0.12;
    m_Boxes.push_back(makeGateway(Options, [] {}));
  }

  template <typename Condition> bool allBoxes(Condition Holds) const {
    return std::all_of(m_Boxes.begin(), m_Boxes.end(),
                       [&](const auto &Box) { return Holds(*Box); });
  }

  std::ptrdiff_t leaders() const {
    return std::count_if(m_Boxes.begin(), m_Boxes.end(),
                         [](const auto &Box) { return Box->leading(); });
  }

  bool allServe(ConfigVersion Version) const {
    return allBoxes([&](const Gateway &Box) {
      return Box.state().configVersion() == Version;
    });
  }

  bool allKnowDraining(const InstanceId &Id) const {
    return allBoxes([&](const Gateway &Box) {
      const auto &Listed = Box.state().m_Upstreams.list().m_Instances;
      const auto Entry = Listed.find(Id);
      return Entry != Listed.end() && Entry->second.m_Draining;
    });
  }

  bool allKnowEra(StoreEra Era) const {
    return allBoxes([&](const Gateway &Box) {
      return Box.state().m_Upstreams.list().m_Revision.m_Era == Era;
    });
  }

  /// Raises the store's revision far above that of the copy, and waits until
  /// all boxes know the result.
  void changeMuch() {
    for (int Count = 0; Count < ManyChanges; ++Count)
      list("i-2", "ready");
    configure(2);
    REQUIRE(until([&] { return allServe(2); }));
    wait(SettlingTime);
  }

  static constexpr Duration Never = 3600s;
  /// Time in which lists reach all boxes of a fleet.
  static constexpr Duration SettlingTime = 1s;

  std::vector<std::unique_ptr<Gateway>> m_Boxes;
};

} // namespace

TEST_CASE("A configuration that the restored store acknowledges is in force, "
          "though its revision was given out before",
          "[gateway][store-restore]") {
  StoreRestoreTest Test(
      GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{20}));
  Test.m_Store.keepCopy();
  Test.changeMuch();
  Test.m_Store.restore(200ms);
  Test.configure(3);
  REQUIRE(Test.until([&] { return Test.allServe(3); }));
}

TEST_CASE("A leaving that the restored store acknowledges is known to all, "
          "though its revision was given out before",
          "[gateway][store-restore]") {
  StoreRestoreTest Test(
      GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{20}));
  Test.m_Store.keepCopy();
  Test.changeMuch();
  Test.m_Store.restore(200ms);
  Test.list("i-1", "draining");
  REQUIRE(Test.until([&] { return Test.allKnowDraining("i-1"); }));
}

TEST_CASE("What the store acknowledged before a restore holds, though the copy "
          "lacks it",
          "[gateway][store-restore]") {
  StoreRestoreTest Test(
      GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{20}));
  Test.m_Store.keepCopy();
  Test.configure(2);
  Test.list("i-1", "draining");
  REQUIRE(Test.until(
      [&] { return Test.allServe(2) && Test.allKnowDraining("i-1"); }));
  Test.m_Store.restore(StoreRestoreTest::Never);
  REQUIRE(Test.until([&] { return Test.allKnowEra(2); }));
  REQUIRE(Test.allServe(2));
  REQUIRE(Test.allKnowDraining("i-1"));
  SECTION("until it is written again") {
    Test.listStarted("i-1", 7);
    Test.configure(3);
    REQUIRE(Test.until(
        [&] { return Test.allServe(3) && !Test.allKnowDraining("i-1"); }));
  }
  SECTION("and a box that starts meanwhile learns it from the others") {
    if (Test.m_Boxes.size() == 1)
      return;
    Test.addBox();
    REQUIRE(Test.until(
        [&] { return Test.allServe(2) && Test.allKnowDraining("i-1"); }));
  }
}
