#include "gateway/request/SendAnswer.h"

#include "wire/common/ContentLength.h"
#include <utility>

namespace havenstair {

void SendAnswer::readHead(int Status, const HttpHeaders &Headers,
                          const AnswerFacts &Facts) {
  m_Status = Status;
  m_Headers = withoutPassFields(Headers);
  m_Framing = framingOf(m_Expected.m_Method, Status, Headers);
  if (m_Expected.m_FromBox) {
    m_Verdict = readVerdict(Headers);
  } else {
    m_NotRun = Facts.m_NotRun;
    m_NoRoom = Facts.m_NoRoom;
  }
  const bool LacksRequestId = Facts.m_RequestId.empty() && Status / 100 == 2;
  const bool OfAnother =
      !Facts.m_RequestId.empty() && Facts.m_RequestId != m_Expected.m_RequestId;
  m_Foreign = LacksRequestId || OfAnother;
}

std::size_t SendAnswer::announcedBytes() const {
  return parseContentLength(findHeader(m_Headers, ContentLengthField))
      .value_or(0);
}

bool SendAnswer::hold(std::size_t Bytes, const MemoryBudget &Memory) {
  if (m_Held.bytes() == 0)
    m_Held = Memory.chargeAnswer();
  if (!m_Held.resize(Bytes))
    return false;
  m_Body.reserve(Bytes);
  return true;
}

bool SendAnswer::growTo(std::size_t Bytes, const MemoryBudget &Memory) {
  return Bytes <= m_Body.capacity() || hold(Bytes + Bytes / 2, Memory);
}

SharedBytes SendAnswer::takeBody() {
  return {std::move(m_Body), std::move(m_Held)};
}

bool SendAnswer::connectionFailed(HttpEnd End) const {
  return End == HttpEnd::NotWritten ||
         (End == HttpEnd::Broken && m_Status == 0);
}

SendOutcome SendAnswer::outcome(HttpEnd End, bool Incomplete) const {
  const bool Whole = End == HttpEnd::Complete;
  if (m_Verdict == PassVerdict::Declined)
    return SendOutcome::NotSent;
  if (m_NotRun || m_Verdict == PassVerdict::Rejected ||
      (m_Verdict == PassVerdict::Refused && Whole))
    return SendOutcome::Rejected;
  if (End == HttpEnd::NotWritten)
    return SendOutcome::NotSent;
  if (End == HttpEnd::Broken || Incomplete)
    return SendOutcome::Broken;
  return m_Status >= 500 ? SendOutcome::ServerError : SendOutcome::Answered;
}

} // namespace havenstair
