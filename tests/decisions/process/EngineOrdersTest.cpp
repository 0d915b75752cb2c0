#include "decisions/process/EngineOrders.h"
#include "support/Draw.h"
#include "support/ProofTable.h"

#include <deque>

using namespace havenstair;

namespace {

constexpr MemoryMiB Capacity = 100;
constexpr Duration OrderLife = 50ms;
constexpr int BoxCount = 3;
constexpr std::size_t StepCount = 150;

/// The oracle: an engine that carries out every order and counts how often its
/// memory was exceeded.
class OracleEngine {
public:
  explicit OracleEngine(bool ChecksTokens) : m_ChecksTokens(ChecksTokens) {}

  void apply(const EngineOrder &Order) {
    if (m_ChecksTokens && Order.m_Token <= m_Report.m_HighestToken)
      return;
    if (m_ChecksTokens)
      m_Report.m_HighestToken = Order.m_Token;
    const auto Place = std::find_if(
        m_Report.m_Artifacts.begin(), m_Report.m_Artifacts.end(),
        [&](const auto &Each) { return Each.m_Artifact == Order.m_Artifact; });
    const bool Held = Place != m_Report.m_Artifacts.end();
    if (Order.m_Verb == OrderVerb::Load && !Held)
      m_Report.m_Artifacts.push_back({Order.m_Artifact, Order.m_Size, true});
    if (Order.m_Verb == OrderVerb::Unload && Held)
      m_Report.m_Artifacts.erase(Place);
    if (Order.m_Verb == OrderVerb::SetKvReserve)
      m_Report.m_KvReserve = Order.m_Size;
    if (taken() > Capacity)
      ++m_Violations;
  }

  void raise(const OrderToken &Token) {
    m_Report.m_HighestToken = std::max(m_Report.m_HighestToken, Token);
  }

  MemoryMiB taken() const {
    MemoryMiB Sum = m_Report.m_KvReserve;
    for (const ReportedArtifact &Each : m_Report.m_Artifacts)
      Sum += Each.m_Size;
    return Sum;
  }

  bool m_ChecksTokens;
  EngineReport m_Report;
  std::uint64_t m_Violations = 0;
};

/// An action that is not carried out yet. A write of the journal keeps the
/// index that was known when the action was decided on, as the product sends
/// both at once.
struct HeldAction {
  EngineAction m_Action;
  std::uint64_t m_JournalIndex = 0;
};

/// A box with the actions that it has yet to carry out.
struct WorldBox {
  std::unique_ptr<EngineOrders> m_Orders;
  BoxName m_Name;
  std::deque<HeldAction> m_Undone;
  std::uint64_t m_JournalIndex = 0;
  FencingToken m_Token = 0;
  bool m_MovedOn = true;
};

/// An order on the network; it arrives before m_Latest or never.
struct MessageInFlight {
  EngineOrder m_Order;
  TimePoint m_Latest;
};

/// Boxes, an engine, a journal and a network that loses, duplicates and delays
/// messages.
class World {
public:
  World(bool ChecksTokens, bool CountUnsettled)
      : m_Engine(ChecksTokens), m_CountUnsettled(CountUnsettled) {
    for (int Index = 0; Index < BoxCount; ++Index)
      start(Index);
  }

  void step(int Command, int Which, int Size) {
    WorldBox &Box = m_Boxes[static_cast<std::size_t>(Which % BoxCount)];
    const ArtifactName Artifact("m" + std::to_string(Which % 4));
    switch (Command) {
    case 0:
      return takeOver(Box);
    case 1:
      return hold(Box, Box.m_Orders->load(Artifact, 20 + Size % 50, m_Now));
    case 2:
      return hold(Box, Box.m_Orders->unload(Artifact, m_Now));
    case 3:
      return hold(Box, Box.m_Orders->setKvReserve(Size % 40, m_Now));
    case 4:
      return carryOut(Box, Size);
    case 5:
      return deliver(Size);
    case 6:
      return loseOrDuplicate(Size);
    case 7:
      return learnAssignment(Box);
    case 8:
      return kill(Which % BoxCount);
    case 9:
      return reportMovedOn(Box);
    default:
      m_Now += std::chrono::milliseconds(1 + Size % 60);
      for (WorldBox &Each : m_Boxes)
        hold(Each, Each.m_Orders->tick(m_Now));
      carryOut(Box, 1);
      carryOut(Box, 1);
      return;
    }
  }

  OracleEngine m_Engine;
  std::uint64_t m_Faults = 0;
  std::uint64_t m_Applied = 0;

private:
  void start(int Index) {
    WorldBox &Box = m_Boxes[static_cast<std::size_t>(Index)];
    Box.m_Name = BoxName("box-" + std::to_string(++m_LastName));
    Box.m_Orders = std::make_unique<EngineOrders>(
        EngineOrders::Options{.m_Self = Box.m_Name,
                              .m_Capacity = Capacity,
                              .m_KvReserve = 0,
                              .m_ChecksTokens = m_Engine.m_ChecksTokens,
                              .m_OrderLife = OrderLife,
                              .m_ReportInterval = 10ms,
                              .m_QuietInterval = 50ms,
                              .m_CountUnsettled = m_CountUnsettled});
    Box.m_Undone.clear();
    Box.m_Token = 0;
    Box.m_MovedOn = true;
  }

  void hold(WorldBox &Box, const EngineActions &Actions) {
    for (const EngineAction &Action : Actions)
      Box.m_Undone.push_back({Action, Box.m_JournalIndex});
  }

  /// The former owner does not learn of it: it may be paused with orders yet to
  /// send.
  void takeOver(WorldBox &Box) {
    for (WorldBox &Each : m_Boxes)
      if (Each.m_Token != 0)
        Each.m_MovedOn = false;
    Box.m_Undone.clear();
    Box.m_MovedOn = true;
    Box.m_Token = ++m_LastToken;
    hold(Box, Box.m_Orders->takeOver(Box.m_Token, m_Now));
  }

  void learnAssignment(WorldBox &Box) {
    if (Box.m_Token == m_LastToken)
      return;
    Box.m_Orders->resign();
    Box.m_Undone.clear();
    Box.m_Token = 0;
    Box.m_MovedOn = true;
  }

  void kill(int Index) {
    ++m_Faults;
    m_Dead.push_back(m_Boxes[static_cast<std::size_t>(Index)].m_Name);
    start(Index);
  }

  void reportMovedOn(WorldBox &To) {
    for (const BoxName &Writer : m_Dead)
      hold(To, To.m_Orders->writerMovedOn(Writer, m_Now));
    for (const WorldBox &Each : m_Boxes)
      if (Each.m_MovedOn && &Each != &To)
        hold(To, To.m_Orders->writerMovedOn(Each.m_Name, m_Now));
  }

  /// Carries one action out; \p Chance decides whether it is lost.
  void carryOut(WorldBox &Box, int Chance) {
    if (Box.m_Undone.empty())
      return;
    const HeldAction Held = Box.m_Undone.front();
    const EngineAction &Action = Held.m_Action;
    Box.m_Undone.pop_front();
    const bool Lost = Chance % 5 == 0;
    m_Faults += Lost ? 1 : 0;
    if (const auto *Send = std::get_if<SendOrder>(&Action))
      return send(Box, Send->m_Order, Chance);
    if (const auto *Write = std::get_if<WriteJournal>(&Action))
      return write(Box, Write->m_Journal, Held.m_JournalIndex, Chance);
    if (const auto *Raise = std::get_if<RaiseToken>(&Action)) {
      if (!Lost)
        m_Engine.raise(Raise->m_Token);
      return report(Box);
    }
    if (std::holds_alternative<ReadReport>(Action))
      return Lost ? void() : report(Box);
    if (Lost || Box.m_Orders->fencedOutBy(m_Journal))
      return;
    Box.m_JournalIndex = m_JournalIndex;
    hold(Box, Box.m_Orders->journalRead(m_Journal, m_Now));
  }

  void send(WorldBox &Box, const EngineOrder &Order, int Chance) {
    if (Chance % 5 != 0)
      m_Network.push_back({Order, m_Now + OrderLife});
    if (Chance % 3 == 0)
      deliver(static_cast<int>(m_Network.size()) - 1);
    hold(Box, Box.m_Orders->attemptEnded(Order.m_Id, m_Now));
  }

  void write(WorldBox &Box, const OrderJournal &Wanted, std::uint64_t Index,
             int Chance) {
    const bool Reached = Chance % 5 != 0;
    const bool Won = Reached && Index == m_JournalIndex;
    if (Won) {
      m_Journal = Wanted;
      ++m_JournalIndex;
    }
    // The confirming read may be lost as well.
    if (Chance % 7 == 0)
      return hold(Box, Box.m_Orders->journalFailed(m_Now));
    if (m_Journal == Wanted) {
      Box.m_JournalIndex = m_JournalIndex;
      return hold(Box, Box.m_Orders->journalWritten(m_Now));
    }
    hold(Box, Box.m_Orders->journalFailed(m_Now));
    if (Box.m_Orders->fencedOutBy(m_Journal))
      return;
    Box.m_JournalIndex = m_JournalIndex;
    if (m_Journal.m_Token < Box.m_Token)
      hold(Box, Box.m_Orders->journalRead(m_Journal, m_Now));
  }

  void report(WorldBox &Box) {
    hold(Box, Box.m_Orders->reported(m_Engine.m_Report, m_Now, m_Now));
  }

  void deliver(int Chance) {
    std::erase_if(m_Network, [&](const MessageInFlight &Each) {
      return Each.m_Latest < m_Now;
    });
    if (m_Network.empty())
      return;
    const auto Index = static_cast<std::size_t>(Chance) % m_Network.size();
    m_Engine.apply(m_Network[Index].m_Order);
    ++m_Applied;
    m_Network.erase(m_Network.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  void loseOrDuplicate(int Chance) {
    if (m_Network.empty())
      return;
    ++m_Faults;
    const auto Index = static_cast<std::size_t>(Chance) % m_Network.size();
    if (Chance % 2 == 0)
      m_Network.push_back(m_Network[Index]);
    else
      m_Network.erase(m_Network.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  bool m_CountUnsettled;
  std::array<WorldBox, BoxCount> m_Boxes;
  std::vector<BoxName> m_Dead;
  std::vector<MessageInFlight> m_Network;
  OrderJournal m_Journal;
  std::uint64_t m_JournalIndex = 0;
  FencingToken m_LastToken = 0;
  int m_LastName = 0;
  TimePoint m_Now{};
};

using Step = std::tuple<int, int, int>;

rc::Gen<std::vector<Step>> steps() {
  return rc::gen::container<std::vector<Step>>(
      StepCount, rc::gen::tuple(rc::gen::weightedElement<int>({{1, 0},
                                                               {4, 1},
                                                               {3, 2},
                                                               {1, 3},
                                                               {8, 4},
                                                               {5, 5},
                                                               {1, 6},
                                                               {1, 7},
                                                               {1, 8},
                                                               {1, 9},
                                                               {5, 10}}),
                                drawn(0, 12), drawn(0, 1000)));
}

World run(const std::vector<Step> &Steps, bool ChecksTokens,
          bool CountUnsettled) {
  World Result(ChecksTokens, CountUnsettled);
  // Starts with an owner, so that short sequences have an effect too.
  Result.step(0, 0, 1);
  for (int Count = 0; Count < 6; ++Count)
    Result.step(4, 0, 1);
  for (const auto &[Command, Which, Size] : Steps)
    Result.step(Command, Which, Size);
  return Result;
}

} // namespace

TEST_CASE("Orders never overcommit an engine", "[memory][proof]") {
  const bool ChecksTokens = GENERATE(true, false);
  const std::string Point = std::string("1 memory, engine ") +
                            (ChecksTokens ? "checks tokens" : "checks nothing");
  rc::prop(Point, [&] {
    const World Ran = run(*steps(), ChecksTokens, true);
    ProofTable::instance().add(Point, Ran.m_Faults, Ran.m_Engine.m_Violations);
    RC_ASSERT(Ran.m_Engine.m_Violations == 0);
  });
}

TEST_CASE("The oracle detects overcommits when unsettled orders do not count",
          "[memory][mutation]") {
  const bool ChecksTokens = GENERATE(true, false);
  // Three loads of 40 in a row, all sent before any is reported.
  std::vector<Step> Steps;
  for (int Which = 0; Which < 3; ++Which) {
    Steps.emplace_back(1, Which * 3, 20);
    for (int Count = 0; Count < 6; ++Count)
      Steps.emplace_back(4, 0, 1);
  }
  for (int Count = 0; Count < 6; ++Count)
    Steps.emplace_back(5, 0, 0);
  REQUIRE(run(Steps, ChecksTokens, false).m_Engine.m_Violations > 0);
  REQUIRE(run(Steps, ChecksTokens, true).m_Engine.m_Violations == 0);
}

TEST_CASE("An idle engine is asked for its report less often", "[orders]") {
  EngineOrders Orders({.m_Self = BoxName("a"),
                       .m_Capacity = Capacity,
                       .m_ReportInterval = 1s,
                       .m_QuietInterval = 10s});
  const auto At = [](Duration Since) { return TimePoint(Since); };
  Orders.takeOver(1, At(0s));
  EngineReport Report;
  Report.m_HighestToken = {1, 0};
  Orders.reported(Report, At(0s), At(0s));
  REQUIRE(Orders.tick(At(9s)).empty());
  REQUIRE(Orders.tick(At(10s)).size() == 1);
  Orders.reported(Report, At(10s), At(10s));
  Orders.load(ArtifactName("m"), 10, At(10s));
  REQUIRE_FALSE(Orders.tick(At(11s)).empty());
}

TEST_CASE("An order reaches the engine and settles", "[memory][orders]") {
  const bool ChecksTokens = GENERATE(true, false);
  std::vector<Step> Steps{{1, 0, 0}};
  for (int Count = 0; Count < 20; ++Count)
    Steps.emplace_back(Count % 2 == 0 ? 10 : 4, 0, 21);
  Steps.emplace_back(5, 0, 0);
  const World Ran = run(Steps, ChecksTokens, true);
  REQUIRE(Ran.m_Engine.taken() == 20);
}
