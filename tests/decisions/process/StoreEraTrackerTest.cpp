#include "decisions/process/StoreEraTracker.h"
#include "support/Names.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace havenstair;

namespace {

/// A tracker that records its hooks.
struct TrackedEras {
  std::vector<StoreEraTracker::Change> m_Changes;
  int m_Ignored = 0;
  StoreEraTracker m_Tracker{
      {.m_Changed = [this](const auto &Each) { m_Changes.push_back(Each); },
       .m_Ignored = [this](const EraReport &) { ++m_Ignored; }}};

  std::optional<StoreEra> admit(std::optional<StoreEra> Era,
                                std::optional<StoreEra> SentUnder) {
    return m_Tracker.admit({.m_Era = Era}, SentUnder);
  }
};

} // namespace

TEST_CASE("The first era that a store reports is no restore",
          "[store-restore]") {
  TrackedEras Test;
  REQUIRE_FALSE(Test.m_Tracker.known());
  REQUIRE(Test.admit(4, std::nullopt) == 4);
  REQUIRE(Test.m_Tracker.known() == 4);
  REQUIRE(Test.m_Tracker.restores() == 0);
  REQUIRE(Test.m_Changes.size() == 1);
  REQUIRE_FALSE(Test.m_Changes.front().m_Restored);
}

TEST_CASE("Answers of an era that is over are of no use", "[store-restore]") {
  TrackedEras Test;
  REQUIRE(Test.admit(1, std::nullopt) == 1);
  REQUIRE(Test.admit(2, 1) == 2);
  REQUIRE(Test.m_Tracker.restores() == 1);
  REQUIRE(Test.m_Changes.back().m_Restored);
  REQUIRE_FALSE(Test.admit(1, 1));
  REQUIRE(Test.m_Ignored == 1);
  REQUIRE(Test.m_Tracker.current() == 2);
  SECTION("also when they name none, as their call was sent before") {
    REQUIRE_FALSE(Test.admit(std::nullopt, 1));
    REQUIRE(Test.admit(std::nullopt, 2) == 2);
  }
}

TEST_CASE("A store that names no era is in the first one", "[store-restore]") {
  TrackedEras Test;
  REQUIRE(Test.admit(std::nullopt, std::nullopt) == FirstEra);
  REQUIRE(Test.admit(std::nullopt, FirstEra) == FirstEra);
  REQUIRE(Test.m_Tracker.restores() == 0);
  SECTION("until it names one") {
    REQUIRE(Test.admit(2, FirstEra) == 2);
    REQUIRE(Test.m_Tracker.restores() == 1);
  }
}

TEST_CASE("A malformed era is ignored", "[store-restore]") {
  TrackedEras Test;
  REQUIRE(Test.admit(2, std::nullopt) == 2);
  REQUIRE(Test.m_Tracker.admit({.m_Malformed = true}, 2) == 2);
  REQUIRE(Test.m_Ignored == 1);
}

TEST_CASE("Other boxes report newer eras, and never older ones",
          "[store-restore]") {
  TrackedEras Test;
  REQUIRE(Test.admit(2, std::nullopt) == 2);
  Test.m_Tracker.learn(3, boxName(1));
  REQUIRE(Test.m_Tracker.current() == 3);
  REQUIRE(Test.m_Changes.back().m_By == boxName(1));
  Test.m_Tracker.learn(2, boxName(2));
  REQUIRE(Test.m_Tracker.current() == 3);
  REQUIRE(Test.m_Changes.size() == 2);
}

TEST_CASE("Ordering numbers rise with the era, and are bare in the first",
          "[store-restore]") {
  REQUIRE(orderingNumber(revision(41)) == 41);
  REQUIRE(orderingNumber(revision(1, 2)) > orderingNumber(revision(900'000)));
  REQUIRE(orderingNumber(revision(1, 3)) >
          orderingNumber(revision(900'000, 2)));
  // Readers of JSON that keep numbers as floating point do not round it.
  const std::uint64_t Late = orderingNumber(revision(900'001, 8000));
  REQUIRE(static_cast<std::uint64_t>(static_cast<double>(Late)) == Late);
}
