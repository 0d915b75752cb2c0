#include "gateway/ServerWordsFleet.h"

using namespace havenstair;

namespace {

const std::string Leaves = "Server-Leaving: 1\r\n";

/// For so long a server that leaves may still be a last resort.
constexpr Duration WordIsNew = 600ms;

} // namespace

TEST_CASE(
    "A server that says in an answer that it leaves gets no more from any "
    "box, whatever the list says",
    "[gateway][server-leaving][known-red]") {
  const auto Boxes = GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{20});
  ServerWordsFleet Test(Boxes);
  Test.addSaying("leaving", Leaves);
  Test.begin();
  REQUIRE(Test.sendOne().m_Served == 1);
  Test.wait(WordIsNew);
  const std::size_t Before = Test.m_Arrived["leaving"].size();
  const bool Others = GENERATE(true, false);
  if (Others) {
    Test.addSaying("whole");
    Test.begin();
  }
  const FleetOutcome First = Test.play(1s);
  // Its heartbeat goes on to say that it is ready.
  Json Entry = Test.entry("leaving", "ready");
  Entry["slots"] = 9;
  Test.m_Store.put("servers/leaving", dumpJson(Entry));
  const FleetOutcome Second = Test.play(1s);
  CAPTURE(Boxes, Others, First.m_Served, First.m_Told, Second.m_Served);
  REQUIRE(Test.m_Arrived["leaving"].size() == Before);
  REQUIRE((Others ? First.m_Served : First.m_Told) == First.all());
  REQUIRE((Others ? Second.m_Served : Second.m_Told) == Second.all());
}
