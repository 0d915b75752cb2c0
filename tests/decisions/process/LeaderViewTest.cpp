#include "decisions/process/LeaderView.h"
#include "support/Draw.h"
#include "support/Names.h"
#include <set>
#include <vector>

using namespace havenstair;

namespace {

const LeaderTerm First{.m_Token = 10, .m_Box = boxName(0)};
const LeaderTerm Second{.m_Token = 20, .m_Box = boxName(1)};

LeaderView viewOf(int Self, int Boxes) {
  LeaderView View(boxName(Self));
  std::set<BoxName> Others;
  for (int Index = 0; Index < Boxes; ++Index)
    if (Index != Self)
      Others.insert(boxName(Index));
  View.setMembers(std::move(Others));
  return View;
}

} // namespace

TEST_CASE("A leader goes on while a majority confirms it", "[holder]") {
  LeaderView View = viewOf(0, 5);
  View.observeTerm(First, at(0s));
  REQUIRE_FALSE(View.confirmedByMajority(at(1s)));
  View.receiveReport(boxName(2), First, false, at(1s), at(1s));
  REQUIRE_FALSE(View.confirmedByMajority(at(1s)));
  View.receiveReport(boxName(3), First, false, at(1s), at(1s));
  REQUIRE(View.confirmedByMajority(at(1s)));
  REQUIRE_FALSE(View.confirmedByMajority(at(3s)));
}

TEST_CASE("One report of a newer leader ends the older one's term",
          "[holder]") {
  LeaderView View = viewOf(0, 3);
  View.observeTerm(First, at(0s));
  View.receiveReport(boxName(2), Second, false, at(1s), at(1s));
  REQUIRE(View.leader() == Second);
  REQUIRE_FALSE(View.confirmedByMajority(at(1s)));
  View.receiveReport(boxName(1), First, false, at(1s), at(1s));
  REQUIRE(View.leader() == Second);
}

TEST_CASE("A leader that reports is not replaced", "[holder]") {
  LeaderView View = viewOf(1, 3);
  View.observeTerm(First, at(0s));
  REQUIRE_FALSE(View.leaderActive(at(2s)));
  View.receiveReport(boxName(0), First, true, at(1s), at(1s));
  REQUIRE(View.leaderActive(at(2s)));
  REQUIRE_FALSE(View.leaderActive(at(3s)));
  View.receiveReport(boxName(0), First, false, at(3s), at(3s));
  REQUIRE_FALSE(View.leaderActive(at(3s)));
}

TEST_CASE("Reports that waited during a pause of the process do not count",
          "[holder]") {
  LeaderView View = viewOf(0, 3);
  View.observeTerm(First, at(0s));
  View.receiveReport(boxName(1), First, false, at(1s), at(1s));
  REQUIRE(View.confirmedByMajority(at(1s)));
  View.onPause(at(5s));
  REQUIRE_FALSE(View.confirmedByMajority(at(5s)));
  View.receiveReport(boxName(1), First, false, at(5s) + 100ms, at(5s) + 100ms);
  REQUIRE_FALSE(View.confirmedByMajority(at(5s) + 100ms));
  View.receiveReport(boxName(1), First, false, at(5s) + 400ms, at(5s) + 400ms);
  REQUIRE(View.confirmedByMajority(at(5s) + 400ms));
}

TEST_CASE("Two boxes never lead at once, as their majorities share a box",
          "[holder][property]") {
  rc::prop("one holder", [] {
    const int Boxes = *drawn(2, 9);
    std::vector<LeaderView> Views;
    for (int Self = 0; Self < Boxes; ++Self)
      Views.push_back(viewOf(Self, Boxes));
    Views[0].observeTerm(First, at(0s));
    Views[1].observeTerm(Second, at(0s));
    // Reports travel over any links, in any order, for a while.
    for (int Step = 0; Step < *drawn(0, 60); ++Step) {
      const auto From = static_cast<std::size_t>(*drawn(0, Boxes));
      const auto To = static_cast<std::size_t>(*drawn(0, Boxes));
      if (From != To)
        Views[To].receiveReport(boxName(static_cast<int>(From)),
                                Views[From].leader(), false, at(1s), at(1s));
    }
    // The second box reaches a majority, and reports its term to it, before it
    // gives orders.
    int Notified = 0;
    for (int Index = 0; Index < Boxes && 2 * (Notified + 1) <= Boxes; ++Index)
      if (Index != 1) {
        Views[static_cast<std::size_t>(Index)].receiveReport(
            boxName(1), Second, true, at(2s), at(2s));
        ++Notified;
      }
    // From now on only fresh reports count for the first box.
    for (int Index = 1; Index < Boxes; ++Index)
      if (*rc::gen::arbitrary<bool>())
        Views[0].receiveReport(boxName(Index),
                               Views[static_cast<std::size_t>(Index)].leader(),
                               false, at(3s), at(3s));
    RC_ASSERT(!Views[0].confirmedByMajority(at(3s)));
  });
}

TEST_CASE("A new leader is not replaced before its first report can arrive",
          "[holder]") {
  LeaderView View = viewOf(1, 3);
  View.observeTerm(First, at(5s));
  REQUIRE(View.leaderActive(at(6s)));
  REQUIRE_FALSE(View.leaderActive(at(7s)));
  SECTION("unless it has reported that it stopped") {
    View.receiveReport(boxName(0), First, false, at(5s) + 100ms,
                       at(5s) + 100ms);
    REQUIRE_FALSE(View.leaderActive(at(5s) + 200ms));
  }
}

TEST_CASE("Reports that a link delayed do not confirm the leader", "[holder]") {
  LeaderView View = viewOf(0, 5);
  View.observeTerm(First, at(0s));
  // A partition ends: what was sent before it arrives first, from all at once.
  View.receiveReport(boxName(2), First, false, at(3s), at(9s));
  View.receiveReport(boxName(3), First, false, at(3s), at(9s));
  REQUIRE_FALSE(View.confirmedByMajority(at(9s)));
  View.receiveReport(boxName(2), First, false, at(9s), at(9s) + 300ms);
  View.receiveReport(boxName(3), First, false, at(9s), at(9s) + 300ms);
  REQUIRE(View.confirmedByMajority(at(9s) + 300ms));
}
