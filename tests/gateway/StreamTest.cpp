#include "gateway/GatewayTest.h"

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

constexpr int Pieces = 6;

std::string plain(int First, int Last) {
  std::string Text;
  for (int Id = First; Id <= Last; ++Id)
    Text += "id: " + std::to_string(Id) + "\ndata: piece-" +
            std::to_string(Id) + "\n\n";
  return Text;
}

/// Streams the pieces after `Last-Event-Id` up to \p Until, then breaks off if
/// it is not the last one.
void streamUntil(const Request &Received, const ConnectionPtr &Connection,
                 int Until) {
  const std::string After = Received.header("last-event-id");
  const int First = After.empty() ? 1 : std::stoi(After) + 1;
  Connection->write(StandinRunner::streamHead(Received));
  for (int Id = First; Id <= Until; ++Id)
    Connection->write(StandinRunner::event(Id));
  if (Until == Pieces)
    return Connection->write(StandinRunner::streamEnd());
  // A part of the next piece is sent too.
  Connection->write("9\r\nid: " + std::to_string(Until + 1) + "\ndata\r\n");
  Connection->close();
}

} // namespace

TEST_CASE("A stream is passed on completely", "[gateway][streams]") {
  GatewayTest Test;
  Test.addRunner("i-1",
                 [](const Request &Received, const ConnectionPtr &Connection) {
                   streamUntil(Received, Connection, Pieces);
                 });
  Test.start();
  const std::string Target = GENERATE("/stream/x", "/resumable/x");
  const HttpAnswer Answer = Test.fetch(Target, "id-1");
  REQUIRE(Answer.m_End == HttpEnd::Complete);
  REQUIRE(Answer.m_Body == plain(1, Pieces));
}

TEST_CASE("A resumable stream is resumed at another runner from the next event",
          "[gateway][streams]") {
  GatewayTest Test;
  int Streams = 0;
  const auto Behave = [&](const Request &Received,
                          const ConnectionPtr &Connection) {
    // A runner whose connection broke gets a health check.
    if (Received.m_Target == "/")
      return Connection->write(StandinRunner::answer(Received, 200, "healthy"));
    streamUntil(Received, Connection, ++Streams == 1 ? 3 : Pieces);
  };
  Test.addRunner("i-1", Behave);
  Test.addRunner("i-2", Behave);
  Test.start();
  const HttpAnswer Answer = Test.fetch("/resumable/x", "id-1");
  REQUIRE(Answer.m_End == HttpEnd::Complete);
  REQUIRE(Answer.m_Body == plain(1, Pieces));
  REQUIRE(Streams == 2);
  REQUIRE(Test.m_Runners.at("i-1")->arrivals("id-1") == 1);
}

TEST_CASE("A stream that is not resumable is cut where it broke, and does not "
          "look complete",
          "[gateway][streams]") {
  GatewayTest Test;
  const auto Behave = [](const Request &Received,
                         const ConnectionPtr &Connection) {
    streamUntil(Received, Connection, 3);
  };
  Test.addRunner("i-1", Behave);
  Test.addRunner("i-2", Behave);
  Test.start();
  const HttpAnswer Answer = Test.fetch("/stream/x", "id-1");
  REQUIRE(Answer.m_End == HttpEnd::Broken);
  REQUIRE(Answer.m_Body == plain(1, 3));
  REQUIRE(Test.arrivals("id-1") == 1);
}

TEST_CASE("A caller's Last-Event-Id is passed on", "[gateway][streams]") {
  GatewayTest Test;
  Test.addRunner("i-1",
                 [](const Request &Received, const ConnectionPtr &Connection) {
                   streamUntil(Received, Connection, Pieces);
                 });
  Test.start();
  HttpCall Call = Test.call("/resumable/x", "id-1");
  Call.m_Headers.push_back({"Last-Event-Id", "4"});
  const HttpAnswer Answer = Test.fetch(std::move(Call));
  REQUIRE(Answer.m_Body == plain(5, Pieces));
}

TEST_CASE(
    "A stream that pauses stays at its runner while that accepts connections",
    "[gateway][streams]") {
  GatewayTest Test;
  ConnectionPtr Stream;
  const auto Behave = [&](const Request &Received,
                          const ConnectionPtr &Connection) {
    if (Received.m_Method == "GET") {
      // The liveness probe; after it the stream continues.
      for (int Id = 3; Id <= Pieces; ++Id)
        Stream->write(StandinRunner::event(Id));
      Stream->write(StandinRunner::streamEnd());
      return Connection->write(StandinRunner::answer(Received, 200, ""));
    }
    Stream = Connection;
    Connection->write(StandinRunner::streamHead(Received));
    for (int Id = 1; Id <= 2; ++Id)
      Connection->write(StandinRunner::event(Id));
  };
  Test.addRunner("i-1", Behave);
  Test.addRunner("i-2", Behave);
  Test.start();
  const HttpAnswer Answer = Test.fetch("/resumable/x", "id-1");
  REQUIRE(Answer.m_Body == plain(1, Pieces));
  REQUIRE(Test.arrivals("id-1") == 1);
}

TEST_CASE(
    "A stream whose runner accepts no connections is resumed at another one",
    "[gateway][streams]") {
  GatewayTest Test;
  std::string First;
  const auto Behave = [&](const std::string &Id) {
    return [&, Id](const Request &Received, const ConnectionPtr &Connection) {
      if (!First.empty())
        return streamUntil(Received, Connection, Pieces);
      First = Id;
      Connection->write(StandinRunner::streamHead(Received));
      Connection->write(StandinRunner::event(1));
      Test.m_Runners.at(Id)->stopListening();
    };
  };
  Test.addRunner("i-1", Behave("i-1"));
  Test.addRunner("i-2", Behave("i-2"));
  Test.start();
  const HttpAnswer Answer = Test.fetch("/resumable/x", "id-1");
  REQUIRE(Answer.m_End == HttpEnd::Complete);
  REQUIRE(Answer.m_Body == plain(1, Pieces));
  REQUIRE(Test.arrivals("id-1") == 2);
}

TEST_CASE("A stream whose event never ends is given up, and others are served",
          "[gateway][streams][endless]") {
  GatewayTest Test;
  const std::string Piece(10000, 'x');
  const std::string Chunk = "2710\r\n" + Piece + "\r\n"; // 10,000 bytes.
  std::vector<Timer> Writing;
  std::size_t Written = 0;
  Test.addRunner("i-1", [&](const Request &Received,
                            const ConnectionPtr &Connection) {
    if (Received.m_Target.starts_with("/safe/"))
      return Connection->write(StandinRunner::answer(Received, 200, "body"));
    Connection->write(StandinRunner::streamHead(Received));
    Writing.push_back(Test.m_Loop.every(1ms, [&, Connection] {
      if (!Connection->open())
        return;
      Connection->write(Chunk);
      Written += Chunk.size();
    }));
  });
  Test.start();
  const HttpAnswer Answer = Test.fetch("/stream/x", "id-1");
  REQUIRE_FALSE(Answer.ok());
  REQUIRE(Test.until(
      [&] { return Test.m_Runners.at("i-1")->closedByCaller() == 1; }));
  constexpr std::size_t Most = 4 << 20;
  REQUIRE(Written < Most);
  REQUIRE(Test.fetch("/safe/x", "id-2").m_Status == 200);
}
