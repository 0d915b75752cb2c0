#include "decisions/request/RequestAttempts.h"
#include "support/Draw.h"
#include "support/Names.h"
#include "support/ProofTable.h"

using namespace havenstair;

namespace {

/// An event of an attempt in transit to the box that waits for it.
struct AttemptEvent {
  AttemptId m_Attempt = 0;
  /// Number of a piece of the answer, EndPiece or FailurePiece.
  int m_Piece = 0;
  Failure m_Failure; ///< For FailurePiece.
};
constexpr int EndPiece = -1;
constexpr int FailurePiece = -2;
constexpr int PieceCount = 3;

constexpr std::array Kinds{
    ErrorKind::Overloaded,     ErrorKind::NoResidentCopy,
    ErrorKind::OwnerLost,      ErrorKind::OwnerUnavailable,
    ErrorKind::UpstreamFailed, ErrorKind::OutcomeUnknown};

/// Simulates one request, its attempts, and what its caller receives.
class Simulation {
public:
  Simulation(bool Unsafe, bool Match)
      : m_Unsafe(Unsafe),
        m_Attempts({.m_Unsafe = Unsafe, .m_MatchAttempts = Match}) {
    startAttempt(0);
  }

  /// Makes one step: an attempt runs or fails, or an event is duplicated or
  /// delivered.
  void step(int Command, int Chance) {
    if (m_LastAttempt == 0)
      return;
    const AttemptId Attempt =
        1 + static_cast<AttemptId>(Chance) % m_LastAttempt;
    if (Command == 0)
      return run(Attempt);
    if (Command == 1)
      return fail(Attempt, Chance);
    if (Command == 2 && !m_Network.empty()) {
      m_Network.push_back(
          m_Network[static_cast<std::size_t>(Chance) % m_Network.size()]);
      ++m_Faults;
      return;
    }
    deliver(Chance);
  }

  std::uint64_t violations() const {
    std::uint64_t Count = m_Violations;
    const bool ReportedNotRun =
        m_Answer && answerFor(m_Answer->m_Kind).m_RunState == RunState::NotRun;
    Count += ReportedNotRun && m_Unsafe && m_Executions > 0 ? 1 : 0;
    Count += m_Unsafe && m_Executions > 1 ? 1 : 0;
    return Count;
  }

  std::uint64_t m_Faults = 0;

private:
  void startAttempt(int Upstream) {
    m_Attempts.begin(++m_LastAttempt, upstreamName(Upstream));
    m_Sent[m_LastAttempt] = 0;
  }

  /// The upstream sends the next piece of an attempt, unless it has refused it.
  /// It runs an attempt once.
  void run(AttemptId Attempt) {
    int &Sent = m_Sent[Attempt];
    if (Sent < 0 || Sent > PieceCount)
      return;
    if (Sent == 0 && !m_Ran.insert(Attempt).second)
      return;
    if (Sent == 0)
      ++m_Executions;
    m_Network.push_back(
        {Attempt, Sent == PieceCount ? EndPiece : Sent, Failure{}});
    ++Sent;
  }

  void fail(AttemptId Attempt, int Chance) {
    int &Sent = m_Sent[Attempt];
    const ErrorKind Kind =
        Kinds[static_cast<std::size_t>(Chance) % Kinds.size()];
    const bool NotRun = answerFor(Kind).m_RunState == RunState::NotRun;
    // Boxes report only an attempt that they did not run as not run.
    if (Sent < 0 || (NotRun && m_Ran.count(Attempt) != 0))
      return;
    ++m_Faults;
    m_Network.push_back({Attempt, FailurePiece, Failure{.m_Kind = Kind}});
    // A failure that leaves it open: the upstream may still run the attempt.
    Sent = NotRun ? -1 : Sent;
  }

  /// Events of different attempts are reordered; those of one are not.
  void deliver(int Chance) {
    if (m_Network.empty())
      return;
    const AttemptId Selected =
        m_Network[static_cast<std::size_t>(Chance) % m_Network.size()]
            .m_Attempt;
    const auto Place =
        std::find_if(m_Network.begin(), m_Network.end(), [&](const auto &Each) {
          return Each.m_Attempt == Selected;
        });
    const AttemptEvent Event = *Place;
    m_Network.erase(Place);
    receive(Event);
  }

  void receive(const AttemptEvent &Event) {
    if (Event.m_Piece == FailurePiece)
      return decide(m_Attempts.failed(Event.m_Attempt, Event.m_Failure));
    if (!m_Attempts.accepts(Event.m_Attempt))
      return;
    if (Event.m_Piece == EndPiece) {
      m_Violations += m_Next == PieceCount ? 0 : 1;
      m_Attempts.completed(Event.m_Attempt);
      return;
    }
    // Links keep order, so a duplicate of an earlier piece is dropped. A piece
    // of another attempt must not be accepted.
    if (m_From == 0)
      m_From = Event.m_Attempt;
    if (Event.m_Attempt == m_From && Event.m_Piece < m_Next)
      return;
    m_Violations +=
        Event.m_Attempt == m_From && Event.m_Piece == m_Next ? 0 : 1;
    m_Attempts.delivered(Event.m_Attempt);
    ++m_Next;
  }

  void decide(const AttemptDecision &Decision) {
    if (const auto *Stop = std::get_if<GiveUp>(&Decision)) {
      m_Violations += m_Answer ? 1 : 0;
      m_Answer = Stop->m_Failure;
    } else if (std::holds_alternative<TryElsewhere>(Decision)) {
      startAttempt(static_cast<int>(m_LastAttempt));
    }
  }

  bool m_Unsafe;
  RequestAttempts m_Attempts;
  AttemptId m_LastAttempt = 0;
  std::map<AttemptId, int> m_Sent;
  std::set<AttemptId> m_Ran;
  std::vector<AttemptEvent> m_Network;
  int m_Executions = 0;
  int m_Next = 0;
  AttemptId m_From = 0;
  std::optional<Failure> m_Answer;
  std::uint64_t m_Violations = 0;
};

std::uint64_t simulate(bool Unsafe, bool Match,
                       const std::vector<std::pair<int, int>> &Steps,
                       std::uint64_t &Faults) {
  Simulation Run(Unsafe, Match);
  for (const auto &[Command, Chance] : Steps)
    Run.step(Command, Chance);
  Faults = Run.m_Faults;
  return Run.violations();
}

} // namespace

TEST_CASE(
    "A caller gets one complete answer, and an unsafe request runs at most "
    "once",
    "[attempts][proof]") {
  const bool Unsafe = GENERATE(false, true);
  const std::string Point = std::string("3, 4, 5 attempts, ") +
                            (Unsafe ? "unsafe request" : "safe request");
  rc::prop(Point, [&] {
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        40, rc::gen::pair(drawn(0, 5), drawn(0, 1000)));
    std::uint64_t Faults = 0;
    const std::uint64_t Violations = simulate(Unsafe, true, Steps, Faults);
    ProofTable::instance().add(Point, Faults, Violations);
    RC_ASSERT(Violations == 0U);
  });
}

TEST_CASE("The oracle detects mixed answers when late attempts are not ignored",
          "[attempts][mutation]") {
  // The first attempt answers late, after the second has begun to answer.
  const std::vector<std::pair<int, int>> Steps{{1, 2}, {3, 0}, {0, 1},
                                               {3, 0}, {0, 0}, {3, 0}};
  std::uint64_t Faults = 0;
  REQUIRE(simulate(false, false, Steps, Faults) > 0);
  REQUIRE(simulate(false, true, Steps, Faults) == 0);
}

TEST_CASE("An unsafe request that may have run is not repeated",
          "[attempts][unsafe]") {
  RequestAttempts Attempts({.m_Unsafe = true});
  Attempts.begin(1, upstreamName(1));
  const AttemptDecision Decision =
      Attempts.failed(1, {.m_Kind = ErrorKind::OwnerLost});
  REQUIRE(std::get<GiveUp>(Decision).m_Failure.m_Kind ==
          ErrorKind::OutcomeUnknown);
}

TEST_CASE("An upstream may be tried again when only its box failed",
          "[attempts]") {
  RequestAttempts Attempts({});
  Attempts.begin(1, upstreamName(1));
  const auto Kind = GENERATE(ErrorKind::OwnerLost, ErrorKind::OwnerUnavailable);
  REQUIRE(std::holds_alternative<TryElsewhere>(
      Attempts.failed(1, {.m_Kind = Kind})));
  REQUIRE(Attempts.tried().empty());
}
