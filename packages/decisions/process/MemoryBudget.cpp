#include "decisions/process/MemoryBudget.h"

#include <numeric>
#include <utility>

namespace havenstair {

namespace {

std::size_t partOf(std::size_t Limit, double Part) {
  return static_cast<std::size_t>(static_cast<double>(Limit) * Part);
}

} // namespace

std::size_t MemoryCharge::Sums::held() const {
  return std::accumulate(m_Held.begin(), m_Held.end(), std::size_t{0});
}

MemoryCharge::MemoryCharge(MemoryCharge &&Other) noexcept
    : m_Sums(std::move(Other.m_Sums)), m_Use(Other.m_Use),
      m_Bytes(std::exchange(Other.m_Bytes, 0)) {}

MemoryCharge &MemoryCharge::operator=(MemoryCharge &&Other) noexcept {
  if (this == &Other)
    return *this;
  set(0);
  m_Sums = std::move(Other.m_Sums);
  m_Use = Other.m_Use;
  m_Bytes = std::exchange(Other.m_Bytes, 0);
  return *this;
}

MemoryUse MemoryCharge::useFor(std::size_t Bytes) const {
  if (m_Use != MemoryUse::SmallAnswer && m_Use != MemoryUse::LargeAnswer)
    return m_Use;
  return Bytes >= m_Sums->m_Large ? MemoryUse::LargeAnswer
                                  : MemoryUse::SmallAnswer;
}

bool MemoryCharge::fits(std::size_t Bytes) const {
  if (!m_Sums || Bytes <= m_Bytes)
    return true;
  const MemoryUse Use = useFor(Bytes);
  const std::size_t Others = m_Sums->held() - m_Bytes;
  const std::size_t Limit = m_Sums->m_Limits.at(std::size_t(Use));
  if (Others > Limit || Bytes > Limit - Others)
    return false;
  if (Use != MemoryUse::LargeAnswer)
    return true;
  const std::size_t Large =
      m_Sums->m_Held.at(std::size_t(Use)) - (m_Use == Use ? m_Bytes : 0);
  return Large <= m_Sums->m_LargeAnswers &&
         Bytes <= m_Sums->m_LargeAnswers - Large;
}

bool MemoryCharge::resize(std::size_t Bytes) {
  bool Fits = fits(Bytes);
  if (!Fits && m_Sums->m_MakeRoom) {
    m_Sums->m_MakeRoom(useFor(Bytes), Bytes);
    Fits = fits(Bytes);
  }
  if (!Fits) {
    ++m_Sums->m_Refusals;
    return false;
  }
  set(Bytes);
  return true;
}

void MemoryCharge::set(std::size_t Bytes) {
  if (m_Sums) {
    m_Sums->m_Held.at(std::size_t(m_Use)) -= m_Bytes;
    m_Use = useFor(Bytes);
    m_Sums->m_Held.at(std::size_t(m_Use)) += Bytes;
  }
  m_Bytes = Bytes;
}

MemoryBudget::MemoryBudget(Options Opts)
    : m_Opts(Opts), m_Sums(std::make_shared<MemoryCharge::Sums>()) {
  m_Sums->m_Limits = {partOf(Opts.m_Limit, Opts.m_LargeBodyPart),
                      partOf(Opts.m_Limit, Opts.m_SmallBodyPart), Opts.m_Limit,
                      Opts.m_Limit};
  m_Sums->m_LargeAnswers = partOf(Opts.m_Limit, Opts.m_LargeAnswerPart);
  m_Sums->m_Large = Opts.m_Large;
}

MemoryCharge MemoryBudget::chargeBody(std::size_t Announced) const {
  const bool Large = Announced >= m_Opts.m_Large;
  return {m_Sums, Large ? MemoryUse::LargeBody : MemoryUse::SmallBody};
}

MemoryCharge MemoryBudget::chargeAnswer() const {
  return {m_Sums, MemoryUse::SmallAnswer};
}

void MemoryBudget::onNoRoom(MakeRoom Hook) const {
  m_Sums->m_MakeRoom = std::move(Hook);
}

std::size_t MemoryBudget::limit() const { return m_Opts.m_Limit; }

std::size_t MemoryBudget::held() const { return m_Sums->held(); }

std::size_t MemoryBudget::held(MemoryUse Use) const {
  return m_Sums->m_Held.at(std::size_t(Use));
}

std::size_t MemoryBudget::refusals() const { return m_Sums->m_Refusals; }

} // namespace havenstair
