#include "gateway/ServerWordsFleet.h"

using namespace havenstair;

namespace {

std::string rest(const std::string &Seconds) {
  return "X-Request-Not-Executed: 1\r\nRetry-After: " + Seconds + "\r\n";
}

} // namespace

TEST_CASE(
    "A server that turns a box away gets nothing from it for the time that "
    "it asks for",
    "[gateway][server-rest][known-red]") {
  const auto Boxes = GENERATE(std::size_t{1}, std::size_t{3});
  const bool Others = GENERATE(true, false);
  ServerWordsFleet Test(Boxes);
  Test.addSaying("resting", rest("30"));
  Test.m_Status["resting"] = 503;
  Test.begin();
  const FleetOutcome First = Test.play(1s);
  if (Others) {
    Test.addSaying("whole");
    Test.begin();
  }
  const FleetOutcome Second = Test.play(1s);
  CAPTURE(Boxes, Others, First.m_Told, Second.m_Served, Second.m_Told);
  REQUIRE(Test.m_Arrived["resting"].size() == Boxes);
  REQUIRE(First.m_Told == First.all());
  REQUIRE((Others ? Second.m_Served : Second.m_Told) == Second.all());
}
