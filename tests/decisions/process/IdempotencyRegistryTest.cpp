#include "decisions/process/IdempotencyRegistry.h"
#include "decisions/version/Assignment.h"
#include "support/Draw.h"
#include "support/Names.h"
#include "support/ProofTable.h"

#include <array>
#include <cstdio>

using namespace havenstair;

namespace {

constexpr WallMillis WallStart = 1700000000000;
constexpr Duration Skew = 50ms;
constexpr Duration Retention = 500ms;
constexpr Duration Lease = 100ms;

IdempotencyKey timedKey(WallMillis Minted, int Number) {
  std::array<char, 64> Text{};
  std::snprintf(Text.data(), Text.size(), "%08llx-%04llx-7000-8000-%012x",
                static_cast<unsigned long long>(Minted >> 16),
                static_cast<unsigned long long>(Minted & 0xffff), Number);
  return IdempotencyKey(Text.data());
}

KeyedRequest keyed(const IdempotencyKey &Key, std::uint64_t Print = 1) {
  return {.m_Group = groupName(1), .m_Key = Key, .m_Fingerprint = Print};
}

/// One box with its registry; it may be paused between a check and a send.
struct KeyBox {
  std::unique_ptr<IdempotencyRegistry> m_Registry;
  TimePoint m_LeaseUntil;
  std::vector<IdempotencyKey> m_Unsent;
};

/// Boxes that own the keys' slices one after the other, and a service that
/// counts executions.
class World {
public:
  explicit World(bool CheckAge) : m_CheckAge(CheckAge) {
    for (KeyBox &Each : m_Boxes)
      restart(Each);
    takeOver(0);
  }

  void step(int Command, int Which, int Chance) {
    KeyBox &Box = m_Boxes[static_cast<std::size_t>(Which) % m_Boxes.size()];
    switch (Command) {
    case 0:
      m_Keys.push_back(mint(Chance));
      return submit(Box, m_Keys.back());
    case 1:
      if (!m_Keys.empty())
        submit(Box, m_Keys[static_cast<std::size_t>(Chance) % m_Keys.size()]);
      return;
    case 2:
      return execute(Box, Chance);
    case 3:
      return takeOver(static_cast<std::size_t>(Which) % m_Boxes.size());
    case 4:
      ++m_Faults;
      return restart(Box);
    case 5:
      if (m_Owner == &Box && m_Now < Box.m_LeaseUntil)
        Box.m_LeaseUntil = m_Now + Lease;
      return;
    default:
      m_Now += std::chrono::milliseconds(Chance % 80);
    }
  }

  std::uint64_t violations() const {
    std::uint64_t Count = 0;
    for (const auto &[Key, Times] : m_Executions)
      Count += Times > 1 ? 1 : 0;
    return Count;
  }

  std::uint64_t m_Faults = 0;

private:
  WallMillis wall() const {
    return WallStart + std::chrono::duration_cast<std::chrono::milliseconds>(
                           m_Now.time_since_epoch())
                           .count();
  }

  /// Callers' clocks are off by up to the skew, and some keys have no time.
  IdempotencyKey mint(int Chance) {
    ++m_LastKey;
    if (Chance % 5 == 0)
      return IdempotencyKey("plain-" + std::to_string(m_LastKey));
    const int SkewMillis = 50;
    return timedKey(wall() + Chance % (2 * SkewMillis) - SkewMillis, m_LastKey);
  }

  void restart(KeyBox &Box) {
    Box.m_Registry = std::make_unique<IdempotencyRegistry>(
        IdempotencyRegistry::Options{.m_Retention = Retention,
                                     .m_ClockSkew = Skew,
                                     .m_CheckAge = m_CheckAge});
    Box.m_Unsent.clear();
    Box.m_LeaseUntil = TimePoint{};
    if (m_Owner == &Box)
      m_Owner = nullptr;
  }

  /// Takes over only when the lease of the old owner is over. The old owner
  /// does not learn of it: it may be paused with a request yet to send.
  void takeOver(std::size_t Index) {
    if (m_Owner != nullptr && m_Now < m_Owner->m_LeaseUntil)
      return;
    ++m_Faults;
    m_Owner = &m_Boxes[Index];
    m_Owner->m_LeaseUntil = m_Now + Lease;
    for (int Slice = 0; Slice < KeySliceCount; ++Slice) {
      m_Owner->m_Registry->disown(Slice);
      m_Owner->m_Registry->own(Slice, m_Now, wall());
    }
  }

  void submit(KeyBox &Box, const IdempotencyKey &Key) {
    if (m_Now >= Box.m_LeaseUntil)
      return;
    Box.m_Registry->expire(m_Now);
    StoredAnswer Stored;
    if (Box.m_Registry->begin(keyed(Key), m_Now, wall(), Stored) ==
        KeyVerdict::Run)
      Box.m_Unsent.push_back(Key);
  }

  void execute(KeyBox &Box, int Chance) {
    if (Box.m_Unsent.empty())
      return;
    const IdempotencyKey Key = Box.m_Unsent.back();
    Box.m_Unsent.pop_back();
    if (Chance % 4 == 0) {
      ++m_Faults;
      return Box.m_Registry->notRun(keyed(Key));
    }
    ++m_Executions[Key];
    if (Chance % 4 == 1) {
      ++m_Faults;
      return Box.m_Registry->unknown(keyed(Key), m_Now);
    }
    Box.m_Registry->answered(keyed(Key), {.m_Status = 200}, m_Now);
  }

  bool m_CheckAge;
  std::array<KeyBox, 3> m_Boxes;
  KeyBox *m_Owner = nullptr;
  std::vector<IdempotencyKey> m_Keys;
  std::map<IdempotencyKey, int> m_Executions;
  int m_LastKey = 0;
  TimePoint m_Now = at(10s);
};

using Step = std::tuple<int, int, int>;

} // namespace

TEST_CASE("A key runs at most once across changes of owner",
          "[unsafe][proof]") {
  const std::string Point = "5 unsafe, keys over changes of owner";
  rc::prop(Point, [&] {
    const auto Steps = *rc::gen::container<std::vector<Step>>(
        100, rc::gen::tuple(
                 rc::gen::weightedElement<int>(
                     {{4, 0}, {4, 1}, {4, 2}, {2, 3}, {1, 4}, {1, 5}, {4, 6}}),
                 drawn(0, 3), drawn(0, 1000)));
    World Ran(true);
    for (const auto &[Command, Which, Chance] : Steps)
      Ran.step(Command, Which, Chance);
    ProofTable::instance().add(Point, Ran.m_Faults, Ran.violations());
    RC_ASSERT(Ran.violations() == 0U);
  });
}

TEST_CASE(
    "The oracle detects a key that runs twice when its age is not checked",
    "[unsafe][mutation]") {
  // Run at box 0, take over at box 1 after the lease, submit again, run.
  const std::vector<Step> Steps{{0, 0, 1}, {2, 0, 2}, {6, 0, 79}, {6, 0, 79},
                                {3, 1, 0}, {1, 1, 0}, {2, 1, 2}};
  for (const bool CheckAge : {true, false}) {
    World Ran(CheckAge);
    for (const auto &[Command, Which, Chance] : Steps)
      Ran.step(Command, Which, Chance);
    REQUIRE((Ran.violations() == 0) == CheckAge);
  }
}

TEST_CASE("The time in a UUIDv7 key is read", "[unsafe]") {
  REQUIRE(keyMintedAt(timedKey(WallStart, 7)) == WallStart);
  REQUIRE_FALSE(keyMintedAt(IdempotencyKey("booking-1")));
  REQUIRE_FALSE(
      keyMintedAt(IdempotencyKey("zzzzzzzz-zzzz-7000-8000-000000000000")));
  // Version 4 is random and has no time.
  REQUIRE_FALSE(
      keyMintedAt(IdempotencyKey("018bcfe5-6800-4000-8000-000000000000")));
}

TEST_CASE("A registry returns the outcome of a key", "[unsafe]") {
  IdempotencyRegistry Registry({.m_Retention = Retention, .m_ClockSkew = Skew});
  for (int Slice = 0; Slice < KeySliceCount; ++Slice)
    Registry.own(Slice, at(0us), WallStart);
  const KeyedRequest Request = keyed(timedKey(WallStart + 100, 1));
  StoredAnswer Stored;
  const WallMillis Wall = WallStart + 100;
  REQUIRE(Registry.begin(Request, at(100ms), Wall, Stored) == KeyVerdict::Run);

  SECTION("while it runs") {
    REQUIRE(Registry.begin(Request, at(100ms), Wall, Stored) ==
            KeyVerdict::Running);
  }
  SECTION("after it was answered") {
    Registry.answered(Request, {201, "text/plain", "done"}, at(100ms));
    REQUIRE(Registry.begin(Request, at(100ms), Wall, Stored) ==
            KeyVerdict::Answered);
    REQUIRE(Stored == StoredAnswer{201, "text/plain", "done"});
  }
  SECTION("under another request") {
    REQUIRE(Registry.begin(keyed(Request.m_Key, 2), at(100ms), Wall, Stored) ==
            KeyVerdict::Reused);
  }
  SECTION("when it was not run, its key is free again") {
    Registry.notRun(Request);
    REQUIRE(Registry.begin(Request, at(100ms), Wall, Stored) ==
            KeyVerdict::Run);
  }
  SECTION("past the retention it is never run") {
    Registry.answered(Request, {}, at(100ms));
    Registry.expire(at(900ms));
    REQUIRE(Registry.size() == 0);
    REQUIRE(Registry.begin(Request, at(900ms), WallStart + 900, Stored) ==
            KeyVerdict::Unknown);
  }
}

TEST_CASE("Right after a takeover a key without a time is not run",
          "[unsafe]") {
  IdempotencyRegistry Registry({.m_Retention = Retention, .m_ClockSkew = Skew});
  const KeyedRequest Request = keyed(IdempotencyKey("plain"));
  const int Slice = keySlice(Request.m_Group, Request.m_Key);
  StoredAnswer Stored;
  REQUIRE(Registry.begin(Request, at(0us), WallStart, Stored) ==
          KeyVerdict::NotOwner);
  Registry.own(Slice, at(0us), WallStart);
  REQUIRE(Registry.begin(Request, at(499ms), WallStart, Stored) ==
          KeyVerdict::Unknown);
  REQUIRE(Registry.begin(Request, at(500ms), WallStart, Stored) ==
          KeyVerdict::Run);
}
