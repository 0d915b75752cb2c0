// Guards against a server whose answers, each within its bound, are more than
// the memory of the box together.
#include "process/MemoryTest.h"

#include <vector>

using namespace havenstair;

namespace {

constexpr int MemoryMb = 160;
constexpr int Callers = 200;
constexpr int Sound = 100;
constexpr std::size_t SoundBody = 100 << 10;
constexpr std::size_t SoundAnswer = 256 << 10;

/// A server that begins each answer in the same way and then writes pieces to
/// all callers for as long as they take them.
class EndlessServer {
public:
  struct Answers {
    std::string m_Head; ///< Behind the status and the fields of each answer.
    std::string m_Piece;
    std::size_t m_Most = std::size_t{1} << 40; ///< Bytes of one answer.
  };

  EndlessServer(MemoryTest &Of, Answers Sends)
      : m_Answers(std::move(Sends)),
        m_Write(Of.loop().every(5ms, [this] { write(); })) {
    Of.setFaulty([this](const StandinRunner::Request &Received,
                        const StandinRunner::ConnectionPtr &To) {
      if (Received.m_Method == "GET")
        return To->write(StandinRunner::answer(Received, 200, "healthy"));
      To->takeNoMore();
      To->write("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: " +
                Received.header("x-attempt-id") + "\r\n" + m_Answers.m_Head);
      m_Open.push_back({.m_To = To});
    });
  }

private:
  struct Open {
    StandinRunner::ConnectionPtr m_To;
    std::size_t m_Written = 0;
  };

  void write() {
    std::erase_if(m_Open, [](const Open &Each) { return !Each.m_To->open(); });
    for (Open &Each : m_Open) {
      if (Each.m_Written >= m_Answers.m_Most)
        continue;
      Each.m_To->write(m_Answers.m_Piece);
      Each.m_Written += m_Answers.m_Piece.size();
    }
  }

  Answers m_Answers;
  std::vector<Open> m_Open;
  Timer m_Write;
};

struct Kind {
  std::string m_Name;
  std::string m_Path;
  EndlessServer::Answers m_Answers;
};

std::vector<Kind> kinds() {
  const std::string Piece(16 << 10, 'x');
  const std::string Chunks = "Transfer-Encoding: chunked\r\n\r\n";
  std::string Fields;
  while (Fields.size() < 4 << 10)
    Fields += "a: b\r\n";
  constexpr std::size_t Large = 15 << 20;
  return {
      {.m_Name = "one chunk below the bound of an answer",
       .m_Path = "/faulty/x",
       .m_Answers = {.m_Head = Chunks + "f00000\r\n", .m_Piece = Piece}},
      {.m_Name = "many chunks",
       .m_Path = "/faulty/x",
       .m_Answers = {.m_Head = Chunks, .m_Piece = "4000\r\n" + Piece + "\r\n"}},
      {.m_Name = "a body that its connection ends",
       .m_Path = "/faulty/x",
       .m_Answers = {.m_Head = "Connection: close\r\n\r\n", .m_Piece = Piece}},
      {.m_Name = "a length that is told, and then few bytes",
       .m_Path = "/faulty/x",
       .m_Answers = {.m_Head = "Content-Length: " + std::to_string(Large) +
                               "\r\n\r\n",
                     .m_Piece = "x"}},
      {.m_Name = "half a head, and then silence",
       .m_Path = "/faulty/x",
       .m_Answers = {.m_Head = "", .m_Piece = Fields, .m_Most = 12 << 10}},
      {.m_Name = "an event below the bound of an event",
       .m_Path = "/events/x",
       .m_Answers = {.m_Head = Chunks + "f0000\r\ndata: ",
                     .m_Piece = Piece,
                     .m_Most = 900 << 10}},
  };
}

} // namespace

TEST_CASE("Answers without end of one service end no process, and others are "
          "served meanwhile",
          "[process][endless]") {
  const Kind Played = GENERATE(from_range(kinds()));
  INFO(Played.m_Name);
  MemoryTest Test(MemoryMb);
  Test.setDeadline(12s);
  const EndlessServer Server(Test, Played.m_Answers);
  for (int Each = 0; Each < Callers; ++Each)
    Test.post(Played.m_Path, "small");
  Test.answerWith(SoundAnswer);
  Test.answerAll();
  const SharedBytes Body(std::string(SoundBody, 'b'));
  int Sent = 0;
  const Timer Send = Test.loop().every(50ms, [&] {
    if (Sent < Sound)
      Test.post("/safe/a", Body);
    ++Sent;
  });
  REQUIRE(Test.until([&] {
    return !Test.running() || (Test.answered("/safe/a") == Sound &&
                               Test.answered(Played.m_Path) == Callers);
  }));
  CAPTURE(Test.mostMb(), Test.statuses(Played.m_Path),
          Test.statuses("/safe/a"));
  CHECK(Test.running());
  CHECK(Test.answers("/safe/a", 200) == Sound);
  CHECK(Test.answers(Played.m_Path, 0) == 0);
}
