#include "standin/EndedAnswer.h"

#include <numeric>
#include <utility>

namespace havenstair {

namespace {

constexpr Duration ReadWithin = 10ms; ///< On loopback.

} // namespace

std::string EndedAnswer::head(const StandinRunner::Request &Of,
                              const std::string &MoreFields) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Of.header("x-attempt-id") +
         "\r\nX-Server-Signature: signed\r\n" + MoreFields;
}

std::vector<std::string> EndedAnswer::events(int Count, AnswerCut At) {
  std::vector<std::string> Result;
  for (int Id = 1; Id <= Count; ++Id) {
    const std::string Number = std::to_string(Id);
    Result.push_back(eventText(Number, "piece-" + Number, At));
  }
  return Result;
}

EndedAnswer::EndedAnswer(EventLoop &Loop, StandinRunner::ConnectionPtr To,
                         Options Opts, EndHook OnEnd)
    : m_Loop(Loop), m_To(std::move(To)), m_Opts(std::move(Opts)),
      m_OnEnd(std::move(OnEnd)) {
  const AnswerCut At = m_Opts.m_Ending.m_At;
  if (At == AnswerCut::Nowhere)
    return;
  const std::size_t CutIn = At == AnswerCut::BeforeBody ? 0 : m_Opts.m_CutIn;
  m_Opts.m_Pieces.resize(CutIn + 1);
  m_Opts.m_Pieces.back() = cutText(m_Opts.m_Pieces.back(), At);
}

std::shared_ptr<EndedAnswer> EndedAnswer::send(EventLoop &Loop,
                                               StandinRunner::ConnectionPtr To,
                                               Options Opts, EndHook OnEnd) {
  const std::shared_ptr<EndedAnswer> Result(
      new EndedAnswer(Loop, std::move(To), std::move(Opts), std::move(OnEnd)));
  Result->m_To->write(
      Result->m_Opts.m_Head +
      framingFields(Result->m_Opts.m_Ending, Result->text().size()));
  if (Result->m_Opts.m_Ending.m_End != ConnectionEnd::Kept)
    Result->m_To->takeNoMore();
  // Never from here: the caller does not hold the answer yet.
  Result->later(Result->m_Opts.m_Wait, &EndedAnswer::writeNext);
  return Result;
}

std::string EndedAnswer::text() const {
  return std::accumulate(m_Opts.m_Pieces.begin(), m_Opts.m_Pieces.end(),
                         std::string());
}

void EndedAnswer::later(Duration Delay, void (EndedAnswer::*Step)()) {
  m_Timer = m_Loop.after(Delay, [Self = weak_from_this(), Step] {
    if (const auto Held = Self.lock())
      (Held.get()->*Step)();
  });
}

void EndedAnswer::writeNext() {
  while (m_Next < m_Opts.m_Pieces.size() && m_To->open()) {
    m_To->write(framedPiece(m_Opts.m_Ending, m_Opts.m_Pieces[m_Next++]));
    const bool More = m_Next < m_Opts.m_Pieces.size();
    if (More && m_Opts.m_Gap > 0us)
      return later(m_Opts.m_Gap, &EndedAnswer::writeNext);
  }
  end();
}

void EndedAnswer::end() {
  m_To->write(framedEnd(m_Opts.m_Ending));
  if (m_OnEnd)
    std::exchange(m_OnEnd, nullptr)();
  if (m_Opts.m_Ending.m_End == ConnectionEnd::FinWithBytes)
    return endConnection();
  later(ReadWithin, &EndedAnswer::endConnection);
}

void EndedAnswer::endConnection() {
  m_Over = true;
  switch (m_Opts.m_Ending.m_End) {
  case ConnectionEnd::Fin:
  case ConnectionEnd::FinWithBytes:
    return m_To->closeFully();
  case ConnectionEnd::HalfClose:
    return m_To->close();
  case ConnectionEnd::Reset:
    return m_To->reset();
  case ConnectionEnd::Kept:
  case ConnectionEnd::Silence:
    return;
  }
}

} // namespace havenstair
