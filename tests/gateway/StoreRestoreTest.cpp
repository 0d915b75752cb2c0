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

  /// What the copy has of the fleet.
  enum class Copied { Everything, NothingOfBoxes };

  explicit StoreRestoreTest(std::size_t Boxes,
                            Copied Kept = Copied::Everything) {
    addRunner("i-1", [](const Request &Received, const ConnectionPtr &To) {
      To->write(StandinRunner::answer(Received, 200, "body"));
    });
    addRunner("i-2", [](const Request &Received, const ConnectionPtr &To) {
      To->write(StandinRunner::answer(Received, 200, "body"));
    });
    configure(1);
    if (Kept == Copied::NothingOfBoxes)
      m_Store.keepCopy();
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

  /// Whether the entries of all boxes and the leader's key are in the store.
  bool allWritten() const {
    return m_Store.count("havenstair/box/") == m_Boxes.size() &&
           m_Store.has("havenstair/giver");
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

TEST_CASE("The leader goes on through a restore that loses all leases, and all "
          "boxes are in the store again",
          "[gateway][store-restore]") {
  StoreRestoreTest Test(
      GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{20}),
      StoreRestoreTest::Copied::NothingOfBoxes);
  const auto Leader =
      std::find_if(Test.m_Boxes.begin(), Test.m_Boxes.end(),
                   [](const auto &Box) { return Box->leading(); });
  const std::string Before = Test.m_Store.value("havenstair/giver");
  const int Restores = GENERATE(1, 2);
  bool OthersLed = false;
  for (int Count = 0; Count < Restores; ++Count) {
    Test.m_Store.restore(200ms);
    REQUIRE_FALSE(Test.allWritten());
    REQUIRE(Test.until([&] {
      OthersLed = OthersLed || Test.leaders() != 1 || !(*Leader)->leading();
      return Test.allWritten();
    }));
  }
  REQUIRE_FALSE(OthersLed);
  REQUIRE(Test.m_Store.value("havenstair/giver") == Before);
  REQUIRE(parseJson(Test.m_Store.value("havenstair/giver-era")).at("era") ==
          1 + Restores);
  REQUIRE(Test.allBoxes([&](const Gateway &Box) {
    return Box.peers() > 0 || Test.m_Boxes.size() == 1;
  }));
}

TEST_CASE("A restore costs each box a few calls", "[gateway][store-restore]") {
  constexpr std::size_t Boxes = 20;
  constexpr std::size_t CallsPerBox = 20;
  StoreRestoreTest Test(Boxes);
  Test.m_Store.keepCopy();
  Test.changeMuch();
  const std::size_t Before = Test.m_Store.calls();
  Test.m_Store.restore(StoreRestoreTest::Never);
  REQUIRE(Test.until([&] { return Test.allKnowEra(2); }));
  REQUIRE(Test.m_Store.calls() - Before < CallsPerBox * Boxes);
}
