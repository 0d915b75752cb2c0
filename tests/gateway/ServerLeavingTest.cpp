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
    "[gateway][server-leaving]") {
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

TEST_CASE("A box that joins hears which servers leave from those that know",
          "[gateway][server-leaving]") {
  const auto Boxes = GENERATE(std::size_t{3}, std::size_t{20});
  ServerWordsFleet Test(Boxes);
  Test.addSaying("leaving", Leaves);
  Test.begin();
  REQUIRE(Test.sendOne().m_Served == 1);
  const auto AllKnow = [&] {
    return std::all_of(
        Test.m_Boxes.begin(), Test.m_Boxes.end(), [](const auto &Box) {
          const auto &Listed = Box->state().m_Upstreams.list().m_Instances;
          const auto Entry = Listed.find("leaving");
          return Entry != Listed.end() && Entry->second.m_Draining;
        });
  };
  REQUIRE(Test.until(AllKnow));
  Test.addBox();
  REQUIRE(Test.until(AllKnow));
  SECTION("and a later life of the server is used again") {
    Test.m_Words["leaving"] = "";
    Test.listStarted("leaving", 7);
    REQUIRE(Test.sendOne().m_Served == 1);
  }
}

TEST_CASE(
    "A stream that runs at a server when it says that it leaves ends well",
    "[gateway][server-leaving]") {
  ServerWordsFleet Test(1);
  Test.addSaying("leaving");
  StandinRunner::ConnectionPtr Stream;
  Test.m_Runners["leaving"]->setBehaviour(
      [&](const StandinRunner::Request &Of,
          const StandinRunner::ConnectionPtr &To) {
        if (Of.m_Target == "/stream/x") {
          Stream = To;
          To->write(StandinRunner::streamHead(Of) + StandinRunner::event(1));
        } else {
          To->write(StandinRunner::answer(Of, 200, "body", Leaves));
        }
      });
  Test.begin();
  std::optional<HttpAnswer> Whole;
  Test.m_Http.fetch(
      GatewayTest::callTo(*Test.m_Boxes.front(), "/stream/x", "streamed"),
      [&](const HttpAnswer &Answer) { Whole = Answer; });
  REQUIRE(Test.until([&] { return Stream != nullptr; }));
  REQUIRE(Test.sendOne().m_Served == 1);
  Test.wait(WordIsNew);
  Stream->write(StandinRunner::event(2) + StandinRunner::streamEnd());
  REQUIRE(Test.until([&] { return Whole.has_value(); }));
  REQUIRE(Whole->ok());
}
