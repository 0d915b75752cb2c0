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

TEST_CASE("A holder goes on while a majority vouches for it", "[holder]") {
  LeaderView View = viewOf(0, 5);
  View.observeTerm(First, at(0s));
  REQUIRE_FALSE(View.confirmedByMajority(at(1s)));
  View.receiveReport(boxName(2), First, false, at(1s), at(1s));
  REQUIRE_FALSE(View.confirmedByMajority(at(1s)));
  View.receiveReport(boxName(3), First, false, at(1s), at(1s));
  REQUIRE(View.confirmedByMajority(at(1s)));
  REQUIRE_FALSE(View.confirmedByMajority(at(3s)));
}

TEST_CASE("One word of a newer holder ends the older one", "[holder]") {
  LeaderView View = viewOf(0, 3);
  View.observeTerm(First, at(0s));
  View.receiveReport(boxName(2), Second, false, at(1s), at(1s));
  REQUIRE(View.leader() == Second);
  REQUIRE_FALSE(View.confirmedByMajority(at(1s)));
  View.receiveReport(boxName(1), First, false, at(1s), at(1s));
  REQUIRE(View.leader() == Second);
}

TEST_CASE("A holder that is heard is not replaced", "[holder]") {
  LeaderView View = viewOf(1, 3);
  View.observeTerm(First, at(0s));
  REQUIRE_FALSE(View.leaderActive(at(2s)));
  View.receiveReport(boxName(0), First, true, at(1s), at(1s));
  REQUIRE(View.leaderActive(at(2s)));
  REQUIRE_FALSE(View.leaderActive(at(3s)));
  View.receiveReport(boxName(0), First, false, at(3s), at(3s));
  REQUIRE_FALSE(View.leaderActive(at(3s)));
}

TEST_CASE("Words that waited while the process stood still do not count",
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

TEST_CASE("Two boxes never both go on: their majorities share a box",
          "[holder][property]") {
  rc::prop("one holder", [] {
    const int Boxes = *drawn(2, 9);
    std::vector<LeaderView> Views;
    for (int Self = 0; Self < Boxes; ++Self)
      Views.push_back(viewOf(Self, Boxes));
    Views[0].observeTerm(First, at(0s));
    Views[1].observeTerm(Second, at(0s));
    // Words travel over any links, in any order, for a while.
    for (int Step = 0; Step < *drawn(0, 60); ++Step) {
      const auto From = static_cast<std::size_t>(*drawn(0, Boxes));
      const auto To = static_cast<std::size_t>(*drawn(0, Boxes));
      if (From != To)
        Views[To].receiveReport(boxName(static_cast<int>(From)),
                                Views[From].leader(), false, at(1s), at(1s));
    }
    // The second hears a majority before it gives orders, and tells it.
    int Notified = 0;
    for (int Index = 0; Index < Boxes && 2 * (Notified + 1) <= Boxes; ++Index)
      if (Index != 1) {
        Views[static_cast<std::size_t>(Index)].receiveReport(
            boxName(1), Second, true, at(2s), at(2s));
        ++Notified;
      }
    // From now on only fresh words count for the first.
    for (int Index = 1; Index < Boxes; ++Index)
      if (*rc::gen::arbitrary<bool>())
        Views[0].receiveReport(boxName(Index),
                               Views[static_cast<std::size_t>(Index)].leader(),
                               false, at(3s), at(3s));
    RC_ASSERT(!Views[0].confirmedByMajority(at(3s)));
  });
}

TEST_CASE("A new holder is not replaced before it can have been heard",
          "[holder]") {
  LeaderView View = viewOf(1, 3);
  View.observeTerm(First, at(5s));
  REQUIRE(View.leaderActive(at(6s)));
  REQUIRE_FALSE(View.leaderActive(at(7s)));
  SECTION("unless it has said that it stopped") {
    View.receiveReport(boxName(0), First, false, at(5s) + 100ms,
                       at(5s) + 100ms);
    REQUIRE_FALSE(View.leaderActive(at(5s) + 200ms));
  }
}

TEST_CASE("Words that a link held up do not vouch", "[holder]") {
  LeaderView View = viewOf(0, 5);
  View.observeTerm(First, at(0s));
  // A cut ends: what was said before it comes first, from all at once.
  View.receiveReport(boxName(2), First, false, at(3s), at(9s));
  View.receiveReport(boxName(3), First, false, at(3s), at(9s));
  REQUIRE_FALSE(View.confirmedByMajority(at(9s)));
  View.receiveReport(boxName(2), First, false, at(9s), at(9s) + 300ms);
  View.receiveReport(boxName(3), First, false, at(9s), at(9s) + 300ms);
  REQUIRE(View.confirmedByMajority(at(9s) + 300ms));
}
