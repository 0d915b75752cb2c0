#include "decisions/process/LeaseKeeper.h"
#include "support/Draw.h"
#include "support/Names.h"
#include "support/ProofTable.h"

using namespace havenstair;

namespace {

constexpr Duration TimeToLive = 100ms;

LeaseKeeper makeKeeper() {
  return LeaseKeeper(
      {.m_TimeToLive = TimeToLive, .m_RenewEvery = 30ms, .m_Margin = 5ms});
}

} // namespace

TEST_CASE("A lease counts from when its call was sent", "[lease]") {
  LeaseKeeper Keeper = makeKeeper();
  REQUIRE(Keeper.tick(at(0us)).has_value());
  Keeper.onGranted("s", at(0us));
  REQUIRE(Keeper.held(at(94ms)));
  REQUIRE_FALSE(Keeper.held(at(95ms)));
}

TEST_CASE("One call is under way at a time", "[lease]") {
  LeaseKeeper Keeper = makeKeeper();
  REQUIRE(Keeper.tick(at(0us)).has_value());
  REQUIRE_FALSE(Keeper.tick(at(10ms)).has_value());
  Keeper.onFailed(at(50ms));
  REQUIRE_FALSE(Keeper.tick(at(49ms)).has_value());
  REQUIRE(Keeper.tick(at(50ms)).has_value());
}

TEST_CASE("A box never counts on a lease that the platform has ended",
          "[lease][proof]") {
  const std::string Point = "leases, belief against the platform's clock";
  rc::prop(Point, [&] {
    LeaseKeeper Keeper = makeKeeper();
    TimePoint Now = at(0us);
    TimePoint PlatformEnds{};
    std::uint64_t Faults = 0;
    std::uint64_t Violations = 0;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        60, rc::gen::pair(drawn(0, 4), drawn(0, 90)));
    for (const auto &[Command, Size] : Steps) {
      const TimePoint SentAt = Now;
      const auto Action = Keeper.tick(Now);
      // The call takes time, and may be lost in either direction.
      Now += std::chrono::milliseconds(Size / 2);
      if (Action) {
        const bool Renews = std::holds_alternative<RenewLease>(*Action);
        const bool Exists = !Renews || Now < PlatformEnds;
        if (Command != 0 && Exists)
          PlatformEnds = Now + TimeToLive;
        Now += std::chrono::milliseconds(Size / 2);
        if (Command == 0 || Command == 1) {
          ++Faults;
          Keeper.onFailed(Now);
        } else if (!Exists) {
          Keeper.onLost(Now);
        } else {
          Keeper.onGranted("s", SentAt);
        }
      }
      Violations += Keeper.held(Now) && Now >= PlatformEnds ? 1 : 0;
    }
    ProofTable::instance().add(Point, Faults, Violations);
    RC_ASSERT(Violations == 0U);
  });
}

TEST_CASE("A lease that a restored platform may have lost is acquired anew, "
          "and counts as held until its end",
          "[lease][store-restore]") {
  LeaseKeeper Keeper = makeKeeper();
  REQUIRE(Keeper.tick(at(0us)).has_value());
  Keeper.onGranted("s", at(0us));
  Keeper.onStoreRestored(at(40ms));
  REQUIRE(Keeper.leaseId().empty());
  REQUIRE_FALSE(Keeper.tick(at(39ms)).has_value());
  const auto Next = Keeper.tick(at(40ms));
  REQUIRE(Next.has_value());
  REQUIRE(std::holds_alternative<CreateLease>(*Next));
  REQUIRE(Keeper.held(at(94ms)));
  REQUIRE_FALSE(Keeper.held(at(95ms)));
}
