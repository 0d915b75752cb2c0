#include "soak/AnswerOracle.h"

#include "soak/StreamText.h"

#include <algorithm>

namespace havenstair {

namespace {

bool saysNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

void AnswerOracle::broken(Promise Of, TimePoint At, const std::string &Id,
                          const std::string &Text) {
  m_Broken({Of, At, Id, Text});
}

const CallerRequest *AnswerOracle::request(const std::string &Id) const {
  const auto Found = m_Stories.find(Id);
  return Found == m_Stories.end() ? nullptr : &Found->second.m_Request;
}

bool AnswerOracle::reachedEngine(const std::string &Id) const {
  const auto Found = m_Stories.find(Id);
  return Found != m_Stories.end() && Found->second.m_Arrived;
}

void AnswerOracle::sent(const CallerRequest &Request) {
  m_Stories[Request.m_Id].m_Request = Request;
}

void AnswerOracle::arrived(const EngineArrival &Arrival) {
  const auto Found = m_Stories.find(Arrival.m_Id);
  if (Found == m_Stories.end())
    return broken(Promise::Unchanged, Arrival.m_At, Arrival.m_Id,
                  Arrival.m_Engine + " got a request that no caller sent: " +
                      Arrival.m_Target);
  Story &Of = Found->second;
  Of.m_Arrived = true;
  const bool Same = Arrival.m_Target == Of.m_Request.m_Target &&
                    Arrival.m_Body == Of.m_Request.m_Body;
  if (!Same)
    broken(Promise::Unchanged, Arrival.m_At, Arrival.m_Id,
           Arrival.m_Engine +
               " got another target or body: " + Arrival.m_Target + ", " +
               std::to_string(Arrival.m_Body.size()) + " bytes");
  if (!Arrival.m_Runs)
    return;
  ++Of.m_Runs;
  if (mayRepeat(Of.m_Request.m_Kind))
    return;
  if (Of.m_Runs > 1)
    broken(Promise::RunOnce, Arrival.m_At, Arrival.m_Id,
           "run " + std::to_string(Of.m_Runs) + " at " + Arrival.m_Engine);
  if (Of.m_Refused != 0)
    broken(Promise::NotRun, Arrival.m_At, Arrival.m_Id,
           "runs at " + Arrival.m_Engine + " after its caller got " +
               std::to_string(Of.m_Refused));
}

void AnswerOracle::made(const EngineAnswer &Answer) {
  m_Stories[Answer.m_Id].m_Made[Answer.m_Signature] = Answer;
}

void AnswerOracle::ended(const EngineEnding &Ending) {
  m_Stories[Ending.m_Id].m_Ended[Ending.m_Signature] = Ending;
}

std::string AnswerOracle::endingsOf(const Story &Of) {
  std::string Result;
  for (const auto &[Signature, Ending] : Of.m_Ended)
    Result += "; " + Signature + ": " + Ending.m_How + " after " +
              std::to_string(Ending.m_Readable.size()) + " bytes";
  return Result;
}

/// Whether nobody can tell a plain answer from a whole one: its engine ended it
/// in order, and what it sent is what the caller got.
bool AnswerOracle::looksWhole(const Story &Of, const CallerAnswer &Answer) {
  const auto Ended = Of.m_Ended.find(Answer.m_Signature);
  return Ended != Of.m_Ended.end() && Ended->second.m_FramedAsWhole &&
         Ended->second.m_Readable == Answer.m_Body;
}

/// The same of a stream: one of its runs ended in order between two events, and
/// \p LastEvent was its last.
bool AnswerOracle::looksWholeUpTo(const Story &Of, int LastEvent) {
  return std::any_of(Of.m_Ended.begin(), Of.m_Ended.end(),
                     [&](const auto &Each) {
                       const EngineEnding &Ending = Each.second;
                       const auto Pieces = readStream(Ending.m_Readable);
                       const int Last = Pieces.empty() ? Ending.m_After
                                                       : Pieces.back().m_Number;
                       return Ending.m_FramedAsWhole && Last == LastEvent &&
                              unfinishedEvent(Ending.m_Readable).empty();
                     });
}

void AnswerOracle::answered(const CallerAnswer &Answer) {
  Story &Of = m_Stories[Answer.m_Id];
  if (Answer.m_Status == 0)
    return;
  const bool Own =
      Answer.m_AnswersId.empty() || Answer.m_AnswersId == Answer.m_Id;
  if (!Own)
    return broken(Promise::OwnAnswer, Answer.m_At, Answer.m_Id,
                  "got the answer to " + Answer.m_AnswersId);
  if (Answer.m_Status / 100 == 2)
    return judgeSuccess(Of, Answer);
  const auto Made = Of.m_Made.find(Answer.m_Signature);
  const bool Signed = !Answer.m_Signature.empty();
  if (Signed &&
      (Made == Of.m_Made.end() || Made->second.m_Status != Answer.m_Status))
    broken(Promise::OwnAnswer, Answer.m_At, Answer.m_Id,
           "got status " + std::to_string(Answer.m_Status) +
               ", which its engine did not give");
  if (!saysNotRun(Answer.m_Status))
    return;
  Of.m_Refused = Answer.m_Status;
  if (Of.m_Runs > 0 && !mayRepeat(Of.m_Request.m_Kind))
    broken(Promise::NotRun, Answer.m_At, Answer.m_Id,
           "has run, and its caller got " + std::to_string(Answer.m_Status));
}

void AnswerOracle::judgeSuccess(const Story &Of, const CallerAnswer &Answer) {
  const auto Made = Of.m_Made.find(Answer.m_Signature);
  if (Made == Of.m_Made.end())
    return broken(Promise::OwnAnswer, Answer.m_At, Answer.m_Id,
                  "got a success that no engine made for it: signature '" +
                      Answer.m_Signature + "'");
  if (isStream(Of.m_Request.m_Kind))
    return judgeStream(Of, Answer);
  if (!Answer.m_Complete)
    return;
  if (Made->second.m_Status != Answer.m_Status)
    broken(Promise::OwnAnswer, Answer.m_At, Answer.m_Id,
           "got a success where its engine failed");
  if (Made->second.m_Body != Answer.m_Body && !looksWhole(Of, Answer))
    broken(Promise::WholeAnswer, Answer.m_At, Answer.m_Id,
           "got " + std::to_string(Answer.m_Body.size()) + " bytes of " +
               std::to_string(Made->second.m_Body.size()) + ", or others" +
               endingsOf(Of));
}

void AnswerOracle::judgeStream(const Story &Of, const CallerAnswer &Answer) {
  const std::vector<StreamPiece> Pieces = readStream(Answer.m_Body);
  const bool Readable =
      !Pieces.empty() || Answer.m_Body.find("\n\n") == std::string::npos;
  if (!Readable)
    return broken(Promise::StreamOrder, Answer.m_At, Answer.m_Id,
                  "has bytes that are no event");
  int Expected = 1;
  for (const StreamPiece &Piece : Pieces) {
    if (Piece.m_Request != Answer.m_Id)
      return broken(Promise::OwnAnswer, Answer.m_At, Answer.m_Id,
                    "has an event of " + Piece.m_Request);
    if (Piece.m_Number != Expected++)
      return broken(Promise::StreamOrder, Answer.m_At, Answer.m_Id,
                    "has event " + std::to_string(Piece.m_Number) +
                        " in place " + std::to_string(Expected - 1));
    const bool SameRun = Piece.m_Run == Pieces.front().m_Run;
    if (!SameRun && !mayRepeat(Of.m_Request.m_Kind))
      return broken(Promise::StreamOrder, Answer.m_At, Answer.m_Id,
                    "joins the runs " + Pieces.front().m_Run + " and " +
                        Piece.m_Run);
  }
  if (!Answer.m_Complete)
    return;
  if (!unfinishedEvent(Answer.m_Body).empty())
    return broken(Promise::WholeAnswer, Answer.m_At, Answer.m_Id,
                  "ended as complete inside an event" + endingsOf(Of));
  const bool Finished = !Pieces.empty() && Pieces.back().m_Last;
  if (!Finished && !looksWholeUpTo(Of, Expected - 1))
    broken(Promise::WholeAnswer, Answer.m_At, Answer.m_Id,
           "ended as complete before its last event" + endingsOf(Of));
}

} // namespace havenstair
