#include "standin/AnswerEnding.h"
#include "standin/EndedAnswer.h"
#include "standin/LoopbackProxy.h"
#include "standin/RawCall.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;
constexpr int Events = 3;

/// What a caller gets of three events, the second of which is cut.
struct Exchange {
  explicit Exchange(const AnswerEnding &Ending, bool ThroughProxy = false)
      : m_Server(m_Loop,
                 [this, Ending](const StandinRunner::Request &Asked,
                                const StandinRunner::ConnectionPtr &To) {
                   m_Held = EndedAnswer::send(
                       m_Loop, To,
                       {.m_Head = EndedAnswer::head(Asked),
                        .m_Pieces = EndedAnswer::events(Events, Ending.m_At),
                        .m_CutIn = 1,
                        .m_Ending = Ending});
                   m_Sent = m_Held->text();
                 }),
        m_Proxy(m_Loop, {"127.0.0.1", 0}, m_Server.endpoint()) {
    m_Proxy.setPassingHalfCloses(true);
    HttpCall Call;
    Call.m_To = ThroughProxy ? m_Proxy.endpoint() : m_Server.endpoint();
    Call.m_Target = "/x";
    // Silence is told by an answer that is not over.
    Call.m_IdleTimeout = 300ms;
    bool Done = false;
    RawCall Running(m_Loop, Call, [&](const RawAnswer &Answer) {
      m_Answer = Answer;
      Done = true;
    });
    m_Loop.runUntil([&] { return Done; }, Limit);
    REQUIRE(Done);
  }

  EventLoop m_Loop;
  std::shared_ptr<EndedAnswer> m_Held;
  StandinRunner m_Server;
  LoopbackProxy m_Proxy;
  RawAnswer m_Answer;
  std::string m_Sent;
};

} // namespace

TEST_CASE("A stand-in's answer ends as its description says",
          "[standin][ending]") {
  const bool ThroughProxy = GENERATE(false, true);
  for (const SentFraming Framing : AllFramings)
    for (const ConnectionEnd End : AllConnectionEnds)
      for (const AnswerCut At : {AnswerCut::Nowhere, AnswerCut::InsideEvent}) {
        const AnswerEnding Ending{Framing, End, At};
        INFO(Ending.str() << (ThroughProxy ? " through a proxy" : ""));
        const Exchange Of(Ending, ThroughProxy);
        REQUIRE(Of.m_Answer.status() == 200);
        REQUIRE(Of.m_Answer.body() == readableBody(Ending, Of.m_Sent));
        REQUIRE(Of.m_Answer.framedAsWhole() == framedAsWhole(Ending));
        if (!framedAsWhole(Ending)) {
          const bool Waits =
              End == ConnectionEnd::Kept || End == ConnectionEnd::Silence;
          REQUIRE(Of.m_Answer.end() == (Waits ? RawEnd::None
                                        : End == ConnectionEnd::Reset
                                            ? RawEnd::Reset
                                            : RawEnd::Fin));
        }
      }
}

TEST_CASE("A stand-in's stream is cut where its description says",
          "[standin][ending]") {
  const auto Sent = [](AnswerCut At) {
    return Exchange({SentFraming::Neither, ConnectionEnd::Fin, At}).m_Sent;
  };
  const std::string First = "id: 1\ndata: piece-1\n\n";
  REQUIRE(Sent(AnswerCut::Nowhere) ==
          First + "id: 2\ndata: piece-2\n\nid: 3\ndata: piece-3\n\n");
  REQUIRE(Sent(AnswerCut::BeforeBody).empty());
  REQUIRE(Sent(AnswerCut::BetweenEvents) == First);
  REQUIRE(Sent(AnswerCut::InsideEvent) == First + "id: 2\ndata");
  REQUIRE(Sent(AnswerCut::InsideId) == First + "id");
  REQUIRE(Sent(AnswerCut::BetweenNewlines) == First + "id: 2\ndata: piece-2\n");
  REQUIRE(Sent(AnswerCut::InsideCrlf) ==
          "id: 1\r\ndata: piece-1\r\n\r\nid: 2\r\ndata: piece-2\r");
  REQUIRE(Sent(AnswerCut::InsideComment) == ": a comment\n" + First + ": a ");
}

TEST_CASE("A half close leaves the other direction open", "[standin][ending]") {
  const bool Half = GENERATE(true, false);
  Exchange Of({SentFraming::Neither,
               Half ? ConnectionEnd::HalfClose : ConnectionEnd::Fin,
               AnswerCut::Nowhere},
              true);
  REQUIRE(Of.m_Answer.end() == RawEnd::Fin);
  Of.m_Loop.runUntil([&] { return Of.m_Server.closedByCaller() > 0; },
                     Half ? Limit : Duration(0us));
  // Its own side of a half close ends when the caller closes.
  REQUIRE(Of.m_Server.accepted() == 1);
}
