#include "process/ProcessTest.h"

#include <csignal>

using namespace havenstair;

namespace {

/// Many concurrent streams, each with its own content.
class Streams {
public:
  Streams(TestSystem &System, int Count, int Tokens,
          const std::vector<std::string> &Boxes)
      : m_System(System), m_Count(Count), m_Tokens(Tokens) {
    for (int Number = 0; Number < Count; ++Number) {
      const std::string Prompt = promptOf(Number);
      const std::string Model = Number % 2 == 0 ? "plans" : "notes";
      const std::string &Box =
          Boxes[static_cast<std::size_t>(Number) % Boxes.size()];
      HttpHeaders Headers = TestSystem::callerHeaders("g");
      Headers.push_back({"Havenstair-Deadline-Ms", "60000"});
      System.client().start(
          System.box(Box).m_Callers, HttpMethod::Post, "/v1/completions",
          TestSystem::completionBody(Model, Prompt, true, Tokens), Headers,
          [this, Number](const HttpAnswer &Answer) { note(Number, Answer); });
    }
  }

  bool wait() {
    return m_System.client().runUntil([this] { return m_Ended == m_Count; },
                                      120s);
  }

  int m_Whole = 0;
  int m_Visible = 0; ///< Ended in a visible error.
  int m_Wrong = 0;   ///< Short, mixed up, or cut without an error.
  std::string m_FirstWrong;

private:
  static std::string promptOf(int Number) {
    return "caller-" + std::to_string(Number);
  }

  void note(int Number, const HttpAnswer &Answer) {
    ++m_Ended;
    const std::string Text = streamedText(Answer.m_Body);
    const bool Error = Answer.m_Body.find("\"error\"") != std::string::npos;
    if (Answer.m_Status == 200 &&
        Text == expectedText(promptOf(Number), m_Tokens))
      ++m_Whole;
    else if (Text.empty() && (Error || Answer.m_End != HttpEnd::Complete))
      ++m_Visible;
    else if (++m_Wrong == 1)
      m_FirstWrong = Answer.m_Body;
  }

  TestSystem &m_System;
  int m_Count;
  int m_Tokens;
  int m_Ended = 0;
};

} // namespace

TEST_CASE("A thousand streams are not mixed up while an owner is killed",
          "[process][answers]") {
  const auto System = startSmallSystem();
  const std::string Victim =
      ownerOf(*System, "box-1", servingOf(*System, "box-1", "plans"));
  Streams All(*System, 1000, 3, {otherBox(Victim)});
  REQUIRE(System->waitFor([&] { return engineSum(*System, "requests") > 20; }));
  System->box(Victim).m_Process->signal(SIGKILL);
  REQUIRE(All.wait());
  INFO(All.m_FirstWrong);
  CHECK(All.m_Wrong == 0);
  CHECK(All.m_Whole + All.m_Visible == 1000);
  CHECK(All.m_Whole >= 900);
  CHECK(engineSum(*System, "overcommits") == 0);
}

TEST_CASE("Unsafe requests run at most once when the owner dies or freezes",
          "[process][unsafe]") {
  const auto System = startSmallSystem();
  std::string Key;
  REQUIRE(bookFresh(*System, "box-1", Key).ok());

  SECTION("resubmitted through another box, the first answer comes back") {
    const HttpAnswer First = System->book("box-1", "g", Key, "{}");
    const HttpAnswer Second = System->book("box-2", "g", Key, "{}");
    REQUIRE(First.m_Body == Second.m_Body);
    REQUIRE(executions(*System, "booking-1").at(Key) == 1);
  }
  SECTION("another request under the key is refused") {
    const HttpAnswer Answer = System->book("box-2", "g", Key, "{\"a\":1}");
    REQUIRE(Answer.m_Status == 422);
    REQUIRE(errorCode(Answer) == "key_reused");
  }
  SECTION("a box is killed while bookings run, and all are sent again") {
    std::vector<std::string> Keys;
    int Ended = 0;
    for (int Number = 0; Number < 60; ++Number) {
      Keys.push_back(makeUuidV7(EventLoop::wallMillis()));
      HttpHeaders Headers = TestSystem::callerHeaders("g");
      Headers.push_back({"Idempotency-Key", Keys.back()});
      System->client().start(
          System->box(Number % 2 == 0 ? "box-1" : "box-2").m_Callers,
          HttpMethod::Post, "/v1/services/booking/bookings", "{}", Headers,
          [&](const HttpAnswer &) { ++Ended; });
    }
    REQUIRE(System->waitFor(
        [&] { return executions(*System, "booking-1").size() > 10; }));
    const bool Freeze = GENERATE(false, true);
    System->box("box-2").m_Process->signal(Freeze ? SIGSTOP : SIGKILL);
    REQUIRE(System->waitFor([&] {
      return ownerOf(*System, "box-1", "booking-1") == "box-1" &&
             System->admin("box-1", "/admin/v1/boxes").at("boxes").size() == 1;
    }));
    for (const std::string &Each : Keys)
      System->book("box-1", "g", Each, "{}");
    if (Freeze)
      System->box("box-2").m_Process->signal(SIGCONT);
    REQUIRE(System->waitFor([&] {
      std::string Fresh;
      return bookFresh(*System, "box-1", Fresh).ok();
    }));
    for (const auto &[Each, Times] : executions(*System, "booking-1")) {
      CAPTURE(Each);
      CHECK(Times == 1);
    }
  }
}

TEST_CASE("An unsafe request that was cut differs from one that was not run",
          "[process][unsafe]") {
  const auto System = startSmallSystem();
  const auto Fault = [&](const std::string &Name) {
    System->client().call(System->upstream("booking-1").m_Address,
                          HttpMethod::Put, "/standin/fault",
                          dumpJson({{"fault", Name}}));
  };
  const bool WithKey = GENERATE(true, false);
  std::string Key;
  REQUIRE(bookFresh(*System, "box-1", Key).ok());
  const auto Fresh = [&] {
    return WithKey ? makeUuidV7(EventLoop::wallMillis()) : std::string();
  };
  SECTION("cut after the work was done") {
    Fault("cut");
    const HttpAnswer Answer = System->book("box-1", "g", Fresh(), "{}");
    REQUIRE(Answer.m_Status == 502);
    REQUIRE(errorCode(Answer) == "outcome_unknown");
  }
  SECTION("cut before the work: unknown too, since bytes were written") {
    Fault("cut_early");
    const HttpAnswer Answer = System->book("box-2", "g", Fresh(), "{}");
    REQUIRE(errorCode(Answer) == "outcome_unknown");
  }
  SECTION("the service is gone: not run, and the key is free again") {
    System->upstream("booking-1").m_Process->signal(SIGKILL);
    System->upstream("booking-1").m_Process->wait();
    const HttpAnswer Answer = System->book("box-1", "g", Fresh(), "{}");
    REQUIRE(Answer.m_Status == 503);
    REQUIRE(errorCode(Answer) == "no_upstream");
    REQUIRE(Answer.m_Body.find("\"run\":\"not_run\"") != std::string::npos);
  }
}

TEST_CASE("A leaving upstream gets no new work through any box",
          "[process][leaving]") {
  const auto System = startSmallSystem();
  const std::string Engine = servingOf(*System, "box-1", "plans");
  System->setLeaving(Engine);
  const auto RequestsAt = [&] {
    const HttpAnswer Stats = System->client().call(
        System->upstream(Engine).m_Address, HttpMethod::Get, "/standin/stats");
    return field<int>(parseJson(Stats.m_Body), "requests");
  };
  REQUIRE(System->waitFor([&] {
    for (const char *Box : {"box-1", "box-2"}) {
      const Json View = System->admin(Box, "/admin/v1/upstreams");
      for (const Json &Each : View.at("upstreams"))
        if (Each.at("name") == Engine && Each.at("state") != "leaving")
          return false;
    }
    return true;
  }));
  const int Before = RequestsAt();
  for (int Count = 0; Count < 20; ++Count)
    System->complete(Count % 2 == 0 ? "box-1" : "box-2", "g", "plans", "x",
                     false, 1);
  REQUIRE(RequestsAt() == Before);
  // The model is copied to an engine that stays, with the reason.
  REQUIRE(System->waitFor([&] {
    return System->complete("box-1", "g", "plans", "x", false, 1).ok();
  }));
  const Json Moves = System->admin("box-1", "/admin/v1/moves").at("moves");
  REQUIRE(Moves.back().at("reason") == "upstream_leaves");
}

TEST_CASE("Requests go on while the platform is down", "[process][outage]") {
  const auto System = startSmallSystem();
  System->platformFault("down");
  for (int Count = 0; Count < 10; ++Count)
    CHECK(System
              ->complete(Count % 2 == 0 ? "box-1" : "box-2", "g",
                         Count % 3 == 0 ? "plans" : "notes", "x", true)
              .ok());

  SECTION("also after the owner has died") {
    const std::string Victim =
        ownerOf(*System, "box-1", servingOf(*System, "box-1", "notes"));
    System->box(Victim).m_Process->signal(SIGKILL);
    for (int Count = 0; Count < 10; ++Count) {
      const HttpAnswer Answer =
          System->complete(otherBox(Victim), "g", "notes", "x", true);
      CHECK(streamedText(Answer.m_Body) == expectedText("x", 8));
    }
  }
  SECTION("a box that starts meanwhile takes the table from its peers") {
    System->addBox("box-3", "kl",
                   {"--seeds", System->box("box-1").m_Peers.str()});
    REQUIRE(System->waitFor([&] {
      const Json Table = System->admin("box-3", "/admin/v1/table");
      return Table.at("rows").size() == 1;
    }));
  }
  System->platformFault("");
  REQUIRE(System->waitFor([&] {
    const std::string Up =
        System->box("box-1").m_Process->running() ? "box-1" : "box-2";
    return System->admin(Up, "/admin/v1/boxes").at("lease_held") == true;
  }));
}

TEST_CASE("A configuration never reverts when a cut box comes back",
          "[process][table]") {
  const auto System = startSmallSystem();
  System->box("box-2").m_Process->signal(SIGSTOP);
  const Json Row = System->admin("box-1", "/admin/v1/groups/g");
  Json Wanted = Row;
  Wanted["weight"] = 8;
  REQUIRE(
      System
          ->adminSend("box-1", HttpMethod::Put, "/admin/v1/groups/g", Wanted,
                      {{"If-Match", "\"" + Row.at("version").dump() + "\""}})
          .ok());
  System->box("box-2").m_Process->signal(SIGCONT);
  REQUIRE(System->waitFor([&] {
    return System->admin("box-2", "/admin/v1/groups/g").at("weight") == 8;
  }));
  REQUIRE(System->admin("box-1", "/admin/v1/groups/g").at("weight") == 8);
}

TEST_CASE("A planned stop cuts off no request", "[process][stop]") {
  const auto System = startSmallSystem();

  SECTION("streams run on both boxes while one stops") {
    Streams All(*System, 40, 50, {"box-1", "box-2"});
    REQUIRE(
        System->waitFor([&] { return engineSum(*System, "requests") >= 8; }));
    System->box("box-2").m_Process->signal(SIGTERM);
    // Callers of the other box are not refused meanwhile.
    int Refused = 0;
    for (int Count = 0; Count < 10; ++Count)
      Refused += System->book("box-1", "g", "", "{}").ok() ? 0 : 1;
    CHECK(Refused == 0);
    REQUIRE(All.wait());
    INFO(All.m_FirstWrong);
    CHECK(All.m_Whole == 40);
    CHECK(System->box("box-2").m_Process->wait() == 0);
    CHECK(System->waitFor([&] {
      return ownerOf(*System, "box-1", "engine-a") == "box-1" &&
             ownerOf(*System, "box-1", "engine-b") == "box-1";
    }));
  }
  SECTION("a second signal ends the process at once") {
    Streams All(*System, 4, 500, {"box-2"});
    REQUIRE(
        System->waitFor([&] { return engineSum(*System, "requests") >= 4; }));
    System->box("box-2").m_Process->signal(SIGTERM);
    REQUIRE(System->waitFor([&] {
      return System->client()
                 .call(System->box("box-2").m_Operators, HttpMethod::Get,
                       "/healthz")
                 .m_Status == 503;
    }));
    System->box("box-2").m_Process->signal(SIGTERM);
    REQUIRE(System->box("box-2").m_Process->wait() == 3);
    REQUIRE(All.wait());
    REQUIRE(All.m_Wrong == 0);
  }
}

TEST_CASE("Every box is replaced in turn under load, and nothing is lost",
          "[process][stop]") {
  const auto System = startSmallSystem();
  int Started = 0;
  int Good = 0;
  int Ended = 0;
  std::string FirstBad;
  std::string Serving = "box-1";
  const auto StartOne = [&] {
    ++Started;
    const std::string Prompt = "r" + std::to_string(Started);
    System->client().start(
        System->box(Serving).m_Callers, HttpMethod::Post, "/v1/completions",
        TestSystem::completionBody(Started % 2 == 0 ? "plans" : "notes", Prompt,
                                   true, 5),
        TestSystem::callerHeaders("g"), [&, Prompt](const HttpAnswer &Answer) {
          ++Ended;
          if (streamedText(Answer.m_Body) == expectedText(Prompt, 5))
            ++Good;
          else if (FirstBad.empty())
            FirstBad = std::to_string(Answer.m_Status) + Answer.m_Body;
        });
  };
  const Timer Load = System->client().loop().every(20ms, StartOne);
  for (const char *Old : {"box-2", "box-1"}) {
    const std::string New = std::string("new-") + Old;
    System->addBox(New, "kl");
    REQUIRE(System->waitFor([&] {
      const HttpAnswer Ready = System->client().call(
          System->box(New).m_Operators, HttpMethod::Get, "/readyz");
      return Ready.ok() && System->waitServing(New, {"plans", "notes"}, 0us);
    }));
    Serving = New;
    System->box(Old).m_Process->signal(SIGTERM);
    REQUIRE(System->waitFor(
        [&] { return !System->box(Old).m_Process->running(); }));
    CHECK(System->box(Old).m_Process->wait() == 0);
  }
  const int Sent = Started;
  REQUIRE(System->waitFor([&] { return Ended >= Sent; }));
  INFO(FirstBad);
  CHECK(Good == Ended);
  CHECK(engineSum(*System, "overcommits") == 0);
}
