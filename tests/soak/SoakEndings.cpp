#include "soak/SoakEndings.h"

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
  constexpr std::array Framings{AnswerFraming::Length, AnswerFraming::Chunks,
                                AnswerFraming::Neither};
  // A reset may overtake what was sent, and silence ends nothing.
  constexpr std::array Ends{ConnectionEnd::Fin, ConnectionEnd::FinWithBytes,
                            ConnectionEnd::HalfClose};
  const AnswerFraming Framing = pick(Framings, m_Random);
  const bool Kept = Framing != AnswerFraming::Neither && draw(0, 1) == 0;
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

int SoakEndings::cutIn(const AnswerEnding &Ending, int First, int Last) {
  const bool AtFirst = Ending.m_At == AnswerCut::BeforeBody || First >= Last;
  return AtFirst ? First : draw(First, Last);
}

} // namespace havenstair
