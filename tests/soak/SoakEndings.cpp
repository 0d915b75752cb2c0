#include "soak/SoakEndings.h"

#include "soak/StreamText.h"

#include <utility>

namespace havenstair {

namespace {

constexpr int OneHarmedIn = 2;

template <typename List>
typename List::value_type pick(const List &From, std::mt19937_64 &Random) {
  return From.at(
      std::uniform_int_distribution<std::size_t>(0, From.size() - 1)(Random));
}

} // namespace

int SoakEndings::draw(int Least, int Most) {
  return std::uniform_int_distribution<int>(Least, Most)(m_Random);
}

AnswerEnding SoakEndings::sound() {
  constexpr std::array Framings{SentFraming::Length, SentFraming::Chunks,
                                SentFraming::Neither};
  // A reset may overtake what was sent, and silence ends nothing.
  constexpr std::array Ends{ConnectionEnd::Fin, ConnectionEnd::FinWithBytes,
                            ConnectionEnd::HalfClose};
  const SentFraming Framing = pick(Framings, m_Random);
  const bool Kept = Framing != SentFraming::Neither && draw(0, 1) == 0;
  return {.m_Framing = Framing,
          .m_End = Kept ? ConnectionEnd::Kept : pick(Ends, m_Random),
          .m_At = AnswerCut::Nowhere};
}

AnswerEnding SoakEndings::harmed() {
  return {.m_Framing = pick(AllFramings, m_Random),
          .m_End = pick(AllConnectionEnds, m_Random),
          .m_At = pick(AllCuts, m_Random)};
}

AnswerEnding SoakEndings::next() {
  return m_Harming && draw(1, OneHarmedIn) == 1 ? harmed() : sound();
}

void SoakEndings::send(const Run &Of, EndedAnswer::Options Opts, int After) {
  const AnswerEnding Told = Opts.m_Ending;
  if (m_ClaimsWhole)
    Opts.m_Ending.m_Framing = SentFraming::Chunks;
  Opts.m_Head = Of.m_Head;
  std::erase_if(m_Answers, [](const auto &Each) { return Each->over(); });
  m_Answers.push_back(
      EndedAnswer::send(m_Loop, Of.m_To, std::move(Opts), Of.m_OnEnd));
  // An answer with a length may be complete before its engine ends it.
  m_Oracle.ended({.m_Id = Of.m_Id,
                  .m_Signature = Of.m_Signature,
                  .m_Readable = readableBody(Told, m_Answers.back()->text()),
                  .m_After = After,
                  .m_FramedAsWhole = framedAsWhole(Told),
                  .m_Sound = isSound(Told),
                  .m_Engine = Of.m_Engine,
                  .m_How = Told.str()});
}

void SoakEndings::sendPlain(const Run &Of, const std::string &Body) {
  EndedAnswer::Options Opts;
  Opts.m_Pieces = {Body};
  Opts.m_Ending = next();
  send(Of, std::move(Opts), 0);
}

void SoakEndings::sendStream(const Run &Of, const Events &Sent) {
  EndedAnswer::Options Opts;
  Opts.m_Ending = next();
  for (int Number = Sent.m_First; Number <= Sent.m_Last; ++Number)
    Opts.m_Pieces.push_back(streamText({.m_Number = Number,
                                        .m_Request = Of.m_Id,
                                        .m_Run = Of.m_Signature,
                                        .m_Last = Number == Sent.m_Last},
                                       Opts.m_Ending.m_At));
  Opts.m_CutIn = static_cast<std::size_t>(draw(0, Sent.m_Last - Sent.m_First));
  Opts.m_Wait = Sent.m_Wait;
  Opts.m_Gap = Sent.m_Gap;
  send(Of, std::move(Opts), Sent.m_First - 1);
}

} // namespace havenstair
