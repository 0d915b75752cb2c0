#include "decisions/process/LoadTracker.h"
#include "support/Draw.h"
#include "support/Names.h"

using namespace havenstair;

TEST_CASE("Loads return to zero when all requests have ended",
          "[load][property]") {
  rc::prop("balanced", [] {
    LoadTracker Tracker;
    std::vector<double> Works;
    for (int Index = 0; Index < *drawn(1, 20); ++Index)
      Works.push_back(*drawn(0, 500) / 3.0);
    for (double Work : Works)
      Tracker.onSent("a", Work, 10);
    for (double Work : Works) {
      Tracker.onFirstToken("a", Work);
      Tracker.onEnded("a", 10);
    }
    RC_ASSERT(Tracker.own().empty());
    RC_ASSERT(Tracker.load("a", at(1s)) == InstanceLoad{});
  });
}

TEST_CASE("The report of a silent box expires", "[load]") {
  LoadTracker Tracker;
  Tracker.receiveLoads(boxName(1), {{"a", {.m_Running = 3, .m_PendingMs = 90}}},
                       at(1s));
  REQUIRE(Tracker.load("a", at(2s)).m_Running == 3);
  REQUIRE(
      Tracker.load("a", at(1s) + LoadTracker::ReportLifetime + 1ms).m_Running ==
      0);
  Tracker.forget(boxName(1));
  REQUIRE(Tracker.load("a", at(1s)).m_Running == 0);
}

TEST_CASE("Changes bring another box to the same state", "[load][property]") {
  rc::prop("deltas", [] {
    LoadTracker Sender;
    LoadTracker Receiver;
    Receiver.receiveLoads(boxName(1), Sender.own(), at(0s));
    Sender.markAllPublished();
    const std::vector<InstanceId> Names{"a", "b", "c"};
    for (int Step = 0; Step < *drawn(1, 30); ++Step) {
      const InstanceId &Id = Names[*drawn<std::size_t>(0, 3)];
      if (*rc::gen::arbitrary<bool>())
        Sender.onSent(Id, *drawn(0, 90), 1);
      else
        Sender.onEnded(Id, 1);
      Receiver.receiveChanges(boxName(1), Sender.takeChanges(), at(1s));
      // Changes that are too small to publish are the only difference.
      for (const InstanceId &Each : Names) {
        const double Known = Receiver.load(Each, at(1s)).m_PendingMs;
        const double True = Sender.load(Each, at(1s)).m_PendingMs;
        RC_ASSERT(std::abs(Known - True) < 25);
      }
    }
  });
}

TEST_CASE("A relay's aggregate counts this box's own loads once",
          "[load][property]") {
  rc::prop("totals", [] {
    LoadTracker Leaf;
    LoadTracker Relay;
    InstanceLoads Published;
    const std::vector<InstanceId> Names{"a", "b", "c"};
    const BoxName Other = boxName(2);
    InstanceLoads Others;
    for (int Step = 0; Step < *drawn(1, 30); ++Step) {
      const InstanceId &Id = Names[*drawn<std::size_t>(0, 3)];
      if (*rc::gen::arbitrary<bool>())
        Leaf.onSent(Id, *drawn(0, 90), 1);
      else
        Leaf.onEnded(Id, 1);
      Others[Id] = {.m_Running = *drawn(1, 9)};
      Relay.receiveLoads(Other, Others, at(1s));
      Relay.receiveLoads(boxName(1), Leaf.own(), at(1s));
      Leaf.markAllPublished();
      const InstanceLoads Totals =
          Relay.sum([](const BoxName &) { return true; }, at(1s));
      InstanceLoads Changes = Totals;
      for (const auto &[Each, Load] : Published)
        Changes.try_emplace(Each);
      Leaf.receiveAggregate(boxName(3), Changes, Step == 0, at(1s));
      Published = Totals;
      for (const InstanceId &Each : Names) {
        const int Own =
            Leaf.own().contains(Each) ? Leaf.own().at(Each).m_Running : 0;
        const int Elsewhere =
            Others.contains(Each) ? Others.at(Each).m_Running : 0;
        RC_ASSERT(Leaf.load(Each, at(1s)).m_Running == Own + Elsewhere);
      }
    }
  });
}

TEST_CASE(
    "An aggregate older than this box's last report gives no negative load",
    "[load]") {
  LoadTracker Leaf;
  Leaf.receiveAggregate(boxName(1), {{"a", {.m_Running = 1}}}, true, at(1s));
  Leaf.onSent("a", 10, 1);
  Leaf.onSent("a", 10, 1);
  Leaf.markAllPublished();
  REQUIRE(Leaf.load("a", at(1s)).m_Running == 2);
}
