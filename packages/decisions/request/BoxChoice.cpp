#include "decisions/request/BoxChoice.h"

#include <algorithm>

namespace havenstair {

namespace {

std::size_t indexOf(double Draw, std::size_t Count) {
  const auto Index =
      static_cast<std::size_t>(Draw * static_cast<double>(Count));
  return std::min(Index, Count - 1);
}

} // namespace

std::size_t BoxChoice::open(const BoxName &Box) const {
  const auto Found = m_Open.find(Box);
  return Found == m_Open.end() ? 0 : Found->second;
}

bool BoxChoice::mayAsk(const BoxName &Box, TimePoint Now) const {
  const auto Declined = m_DeclinedUntil.find(Box);
  return open(Box) < m_Opts.m_MaxOpen &&
         (Declined == m_DeclinedUntil.end() || Now >= Declined->second);
}

std::optional<BoxName>
BoxChoice::choose(const std::vector<Candidate> &Candidates,
                  const std::set<BoxName> &Tried, Draws Random,
                  TimePoint Now) const {
  std::vector<const Candidate *> Near;
  std::vector<const Candidate *> All;
  for (const Candidate &Each : Candidates) {
    if (Tried.contains(Each.m_Box) || !mayAsk(Each.m_Box, Now))
      continue;
    All.push_back(&Each);
    if (Each.m_DataCentre == m_Own)
      Near.push_back(&Each);
  }
  const bool Prefer = !Near.empty() && Now >= m_OwnDeclinedUntil;
  const auto &From = Prefer ? Near : All;
  if (From.empty())
    return std::nullopt;
  const BoxName &First = From[indexOf(Random.m_First, From.size())]->m_Box;
  const BoxName &Second = From[indexOf(Random.m_Second, From.size())]->m_Box;
  return open(Second) < open(First) ? Second : First;
}

std::optional<BoxName>
BoxChoice::chooseDeclined(const std::vector<Candidate> &Candidates,
                          const std::set<BoxName> &Tried) const {
  std::optional<BoxName> Result;
  TimePoint Oldest = TimePoint::max();
  for (const Candidate &Each : Candidates) {
    const auto Declined = m_DeclinedUntil.find(Each.m_Box);
    if (Declined == m_DeclinedUntil.end() || Declined->second >= Oldest ||
        Tried.contains(Each.m_Box) || open(Each.m_Box) >= m_Opts.m_MaxOpen)
      continue;
    Oldest = Declined->second;
    Result = Each.m_Box;
  }
  return Result;
}

void BoxChoice::onEnded(const BoxName &Box) {
  const auto Found = m_Open.find(Box);
  if (Found != m_Open.end() && --Found->second == 0)
    m_Open.erase(Found);
}

void BoxChoice::onDeclined(const BoxName &Box, const DataCentreName &DataCentre,
                           TimePoint Now) {
  std::erase_if(m_DeclinedUntil,
                [&](const auto &Each) { return Now >= Each.second; });
  m_DeclinedUntil[Box] = Now + m_Opts.m_DeclinedFor;
  if (DataCentre == m_Own)
    m_OwnDeclinedUntil = Now + m_Opts.m_DeclinedFor;
}

} // namespace havenstair
