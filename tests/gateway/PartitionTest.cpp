#include "gateway/PartitionTest.h"

#include <utility>

using namespace havenstair;

namespace {

using Way = PartitionTest::Way;
using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

/// Sends requests until the box knows that it is partitioned.
void learn(PartitionTest &Test) {
  for (int Try = 0; !Test.m_Gateway->state().m_Reach.partitioned(); ++Try) {
    REQUIRE(Try < 20);
    Test.fetch("/safe/x", "learn" + std::to_string(Try));
  }
}

/// How many requests have come to the upstreams.
std::size_t allArrivals(const PartitionTest &Test) {
  std::size_t Sum = 0;
  for (const auto &[Id, Runner] : Test.m_Runners)
    Sum += Runner->requests().size();
  return Sum;
}

} // namespace

TEST_CASE("First tries at a box that reaches no upstream are served through "
          "another box",
          "[gateway][partition]") {
  const Way How = GENERATE(Way::Refused, Way::Reset);
  PartitionTest Test;
  REQUIRE(Test.fetch("/safe/x", "before").m_Status == 200);
  Test.cut(How);
  for (const std::string Route : {"safe", "unsafe"})
    for (int Try = 0; Try < 10; ++Try) {
      const std::string Id = Route + std::to_string(Try);
      REQUIRE(Test.fetch("/" + Route + "/x", Id, "text").m_Status == 200);
      REQUIRE(Test.arrivals(Id) == 1);
    }
}

TEST_CASE("Upstreams see nothing of the box that passed a request on",
          "[gateway][partition]") {
  PartitionTest Test;
  Test.cut(Way::Refused);
  learn(Test);
  REQUIRE(Test.fetch("/unsafe/x?a=%20b", "one", "text").m_Status == 200);
  for (const auto &[Id, Runner] : Test.m_Runners)
    for (const Request &Each : Runner->requests()) {
      for (const auto &[Name, Value] : Each.m_Headers)
        REQUIRE_FALSE(Name.starts_with("havenstair-"));
      if (Each.header("x-attempt-id") == "one") {
        REQUIRE(Each.m_Target == "/unsafe/x?a=%20b");
        REQUIRE(Each.m_Body == "text");
      }
    }
  REQUIRE(Test.arrivals("one") == 1);
}

TEST_CASE("Two partitioned boxes do not pass a request to and fro",
          "[gateway][partition]") {
  PartitionTest Test;
  for (auto &[Id, Runner] : Test.m_Runners)
    Runner->stopListening();
  Test.cut(Way::Refused);
  learn(Test);
  const HttpAnswer Answer = Test.fetch("/unsafe/x", "one");
  REQUIRE(Answer.m_Status == 503);
  REQUIRE_FALSE(findHeader(Answer.m_Headers, "Retry-After").empty());
  REQUIRE(Test.arrivals("one") == 0);
}

TEST_CASE("A box without an address for it passes nothing on",
          "[gateway][partition]") {
  PartitionTest Test;
  GatewayOptions Older = Test.options();
  Older.m_Box = BoxName("other");
  Older.m_Passing = std::nullopt;
  Test.m_Other = Test.makeGateway(Older, [] {});
  REQUIRE(Test.until([&] { return Test.m_Other->state().ready(); }));
  Test.cut(Way::Refused);
  learn(Test);
  REQUIRE(Test.fetch("/unsafe/x", "one").m_Status == 503);
  REQUIRE(Test.arrivals("one") == 0);
}

TEST_CASE("A box that reaches the upstreams again sends to them itself",
          "[gateway][partition]") {
  PartitionTest Test;
  Test.cut(Way::Refused);
  learn(Test);
  Test.heal();
  REQUIRE(Test.until(
      [&] { return !Test.m_Gateway->state().m_Reach.partitioned(); }));
  Test.m_Other.reset();
  for (int Try = 0; Try < 5; ++Try)
    REQUIRE(Test.fetch("/unsafe/x", std::to_string(Try)).m_Status == 200);
}

TEST_CASE("A health answer that its connection ends shows that an upstream is "
          "reached",
          "[gateway][partition]") {
  PartitionTest Test;
  for (auto &[Id, Runner] : Test.m_Runners)
    Runner->setBehaviour([](const StandinRunner::Request &Received,
                            const StandinRunner::ConnectionPtr &To) {
      if (Received.m_Method != "GET")
        return To->write(StandinRunner::answer(Received, 200, "body"));
      To->write("HTTP/1.1 200 OK\r\n\r\nhealthy");
      To->close();
    });
  Test.cut(Way::Refused);
  learn(Test);
  Test.heal();
  REQUIRE(Test.until(
      [&] { return !Test.m_Gateway->state().m_Reach.partitioned(); }));
}

TEST_CASE("A single upstream that is gone is no partition",
          "[gateway][partition]") {
  PartitionTest Test;
  Test.m_Proxies.at("i-1")->setListening(false);
  for (int Try = 0; Try < 20; ++Try) {
    REQUIRE(Test.fetch("/unsafe/x", std::to_string(Try)).m_Status == 200);
    REQUIRE_FALSE(Test.m_Gateway->state().m_Reach.partitioned());
  }
}

TEST_CASE("A caller that leaves ends its request at the upstream of another "
          "box",
          "[gateway][partition]") {
  PartitionTest Test;
  Test.cut(Way::Refused);
  learn(Test);
  const std::size_t Before = allArrivals(Test);
  for (auto &[Id, Runner] : Test.m_Runners)
    Runner->setBehaviour([](const Request &, const ConnectionPtr &) {});
  const auto Left = [&] {
    std::size_t Sum = 0;
    for (const auto &[Id, Runner] : Test.m_Runners)
      Sum += Runner->closedByCaller();
    return Sum;
  };
  const std::size_t LeftBefore = Left();
  HttpCallHandle Running = Test.m_Http.start(Test.call("/unsafe/x", "one"));
  REQUIRE(Test.until([&] { return allArrivals(Test) > Before; }));
  Running = HttpCallHandle();
  REQUIRE(Test.until([&] { return Left() > LeftBefore; }));
}

TEST_CASE("An unsafe request may have run where the box that was asked is lost",
          "[gateway][partition]") {
  PartitionTest Test;
  Test.cut(Way::Refused);
  learn(Test);
  for (auto &[Id, Runner] : Test.m_Runners)
    Runner->setBehaviour([](const Request &, const ConnectionPtr &) {});
  HttpAnswer Answer;
  bool Done = false;
  Test.m_Http.fetch(Test.call("/unsafe/x", "one"), [&](HttpAnswer Got) {
    Answer = std::move(Got);
    Done = true;
  });
  REQUIRE(Test.until([&] { return Test.arrivals("one") == 1; }));
  Test.m_Other.reset();
  REQUIRE(Test.until([&] { return Done; }));
  REQUIRE(Answer.m_Status == 502);
  REQUIRE(Test.arrivals("one") == 1);
}

TEST_CASE("An empty rest does not complete a stream that broke off behind "
          "another box",
          "[gateway][partition]") {
  PartitionTest Test;
  const auto Third = Test.startBox("third");
  REQUIRE(Test.until(
      [&] { return Third->state().ready() && Test.m_Gateway->peers() == 2; }));
  Test.cut(Way::Refused);
  learn(Test);
  int Streams = 0;
  for (auto &[Id, Runner] : Test.m_Runners)
    Runner->setBehaviour([&](const Request &Of, const ConnectionPtr &To) {
      if (Of.m_Method == "GET")
        return To->write(StandinRunner::answer(Of, 200, "healthy"));
      To->write(StandinRunner::streamHead(Of));
      if (++Streams > 1)
        return To->write(StandinRunner::streamEnd());
      To->write(StandinRunner::event(1));
      To->write("9\r\nid: 2\ndata\r\n");
      To->close();
    });
  const HttpAnswer Answer = Test.fetch("/resumable/x", "one");
  REQUIRE(Answer.m_Status == 200);
  REQUIRE(Answer.m_End == HttpEnd::Broken);
}

TEST_CASE("A stream comes whole through another box", "[gateway][partition]") {
  PartitionTest Test;
  for (auto &[Id, Runner] : Test.m_Runners)
    Runner->setBehaviour([](const Request &Received, const ConnectionPtr &To) {
      To->write(StandinRunner::streamHead(Received) + StandinRunner::event(1) +
                StandinRunner::event(2) + StandinRunner::streamEnd());
    });
  const HttpAnswer Direct = Test.fetch("/resumable/x", "direct");
  Test.cut(Way::Refused);
  learn(Test);
  const HttpAnswer Passed = Test.fetch("/resumable/x", "passed");
  REQUIRE(Direct.m_Status == 200);
  REQUIRE(Passed.m_Status == 200);
  REQUIRE(Passed.m_Body == Direct.m_Body);
  REQUIRE(Passed.m_End == HttpEnd::Complete);
}

TEST_CASE("A box that loses all upstreams at once has no request quarantined",
          "[gateway][partition][crash]") {
  PartitionTest Test;
  std::size_t Held = 0;
  for (auto &[Id, Runner] : Test.m_Runners)
    Runner->setBehaviour([&, Id = Id](const StandinRunner::Request &Received,
                                      const StandinRunner::ConnectionPtr &To) {
      if (Received.m_Body != "held")
        return To->write(StandinRunner::answer(Received, 200, "body"));
      ++Held;
    });
  // The same content runs on each upstream when the box is cut off.
  std::size_t Ended = 0;
  for (int Try = 0; Try < 12; ++Try)
    Test.m_Http.fetch(Test.call("/unsafe/x", std::to_string(Try), "held"),
                      [&](const HttpAnswer &) { ++Ended; });
  REQUIRE(Test.until([&] { return Held == 12; }));
  Test.cut(Way::Refused);
  REQUIRE(Test.until([&] { return Ended == 12; }));
  Test.wait(500ms);
  for (const Gateway *Box : {Test.m_Gateway.get(), Test.m_Other.get()})
    REQUIRE(Box->state().m_Crashes.quarantines().empty());
  Test.heal();
  REQUIRE(Test.until(
      [&] { return !Test.m_Gateway->state().m_Reach.partitioned(); }));
  Test.wait(500ms);
  for (const Gateway *Box : {Test.m_Gateway.get(), Test.m_Other.get()})
    REQUIRE(Box->state().m_Crashes.quarantines().empty());
}
