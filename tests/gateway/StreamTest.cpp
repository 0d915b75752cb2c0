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

/// Streams the pieces after `Last-Event-Id`, and breaks off after \p Until.
void streamUntil(const Request &Of, const ConnectionPtr &To, int Until) {
  const std::string After = Of.header("last-event-id");
  const int First = After.empty() ? 1 : std::stoi(After) + 1;
  To->write(StandinRunner::streamHead(Of));
  for (int Id = First; Id <= Until; ++Id)
    To->write(StandinRunner::event(Id));
  if (Until == Pieces)
    return To->write(StandinRunner::streamEnd());
  // Half of the next one is already on its way.
  To->write("9\r\nid: " + std::to_string(Until + 1) + "\ndata\r\n");
  To->close();
}

} // namespace

TEST_CASE("A stream comes through whole", "[gateway][streams]") {
  GatewayTest Test;
  Test.addRunner("i-1", [](const Request &Of, const ConnectionPtr &To) {
    streamUntil(Of, To, Pieces);
  });
  Test.start();
  const std::string Target = GENERATE("/stream/x", "/resumable/x");
  const HttpAnswer Answer = Test.fetch(Target, "id-1");
  REQUIRE(Answer.m_End == HttpEnd::Complete);
  REQUIRE(Answer.m_Body == plain(1, Pieces));
}

TEST_CASE("A resumable stream goes on at another runner from the next event",
          "[gateway][streams]") {
  GatewayTest Test;
  int Streams = 0;
  const auto Behave = [&](const Request &Of, const ConnectionPtr &To) {
    // A server whose connection broke is asked whether it has ended.
    if (Of.m_Target == "/")
      return To->write(StandinRunner::answer(Of, 200, "healthy"));
    streamUntil(Of, To, ++Streams == 1 ? 3 : Pieces);
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

TEST_CASE("A stream that may not be resumed is cut where it broke, never "
          "ended as if it were whole",
          "[gateway][streams]") {
  GatewayTest Test;
  const auto Behave = [](const Request &Of, const ConnectionPtr &To) {
    streamUntil(Of, To, 3);
  };
  Test.addRunner("i-1", Behave);
  Test.addRunner("i-2", Behave);
  Test.start();
  const HttpAnswer Answer = Test.fetch("/stream/x", "id-1");
  REQUIRE(Answer.m_End == HttpEnd::Broken);
  REQUIRE(Answer.m_Body == plain(1, 3));
  REQUIRE(Test.arrivals("id-1") == 1);
}

TEST_CASE("A caller's own resumption is passed on", "[gateway][streams]") {
  GatewayTest Test;
  Test.addRunner("i-1", [](const Request &Of, const ConnectionPtr &To) {
    streamUntil(Of, To, Pieces);
  });
  Test.start();
  HttpCall Call = Test.call("/resumable/x", "id-1");
  Call.m_Headers.push_back({"Last-Event-Id", "4"});
  const HttpAnswer Answer = Test.fetch(std::move(Call));
  REQUIRE(Answer.m_Body == plain(5, Pieces));
}

TEST_CASE("A runner that pauses a stream keeps it while it takes connections",
          "[gateway][streams]") {
  GatewayTest Test;
  ConnectionPtr Stream;
  const auto Behave = [&](const Request &Of, const ConnectionPtr &To) {
    if (Of.m_Method == "GET") {
      // The question whether it is there; now it goes on.
      for (int Id = 3; Id <= Pieces; ++Id)
        Stream->write(StandinRunner::event(Id));
      Stream->write(StandinRunner::streamEnd());
      return To->write(StandinRunner::answer(Of, 200, ""));
    }
    Stream = To;
    To->write(StandinRunner::streamHead(Of));
    for (int Id = 1; Id <= 2; ++Id)
      To->write(StandinRunner::event(Id));
  };
  Test.addRunner("i-1", Behave);
  Test.addRunner("i-2", Behave);
  Test.start();
  const HttpAnswer Answer = Test.fetch("/resumable/x", "id-1");
  REQUIRE(Answer.m_Body == plain(1, Pieces));
  REQUIRE(Test.arrivals("id-1") == 1);
}

TEST_CASE(
    "A stream whose runner takes no connection any more goes on elsewhere",
    "[gateway][streams]") {
  GatewayTest Test;
  std::string First;
  const auto Behave = [&](const std::string &Id) {
    return [&, Id](const Request &Of, const ConnectionPtr &To) {
      if (!First.empty())
        return streamUntil(Of, To, Pieces);
      First = Id;
      To->write(StandinRunner::streamHead(Of));
      To->write(StandinRunner::event(1));
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
