#include "gateway/request/SendAnswer.h"

#include "wire/common/ContentLength.h"
#include <utility>

namespace havenstair {

namespace {

/// Answers that come more slowly, in bytes a second, keep no memory reserved
/// for what has not come; after a first time without a judgement.
constexpr double MinAnswerRate = 64 << 10;
constexpr Duration StallGrace = 200ms;

} // namespace

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

bool SendAnswer::reserve(std::size_t Bytes, const MemoryBudget &Memory) {
  if (m_Held.bytes() == 0)
    m_Held = Memory.chargeAnswer();
  m_Reserved = m_Held.resize(Bytes);
  if (m_Reserved)
    m_Body.reserve(Bytes);
  return m_Reserved;
}

bool SendAnswer::growTo(std::size_t Bytes, const MemoryBudget &Memory) {
  if (Bytes <= m_Held.bytes())
    return true;
  if (m_Held.bytes() == 0)
    m_Held = Memory.chargeAnswer();
  const std::size_t Grown = Bytes + Bytes / 2;
  if (!m_Held.resize(Grown))
    return false;
  m_Body.reserve(Grown);
  return true;
}

bool SendAnswer::releaseStalled(Duration Taken) {
  const bool Stalled =
      m_Reserved && Taken > StallGrace && m_Held.bytes() > m_Body.size() &&
      static_cast<double>(m_Body.size()) < MinAnswerRate * inSeconds(Taken);
  if (!Stalled)
    return false;
  m_Reserved = false;
  return m_Held.resize(m_Body.size());
}

void SendAnswer::drop() {
  m_Body = std::string();
  m_Held = MemoryCharge();
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
