#include "decisions/process/PartExplanation.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace havenstair {

PartExplanation::PartExplanation(
    const std::vector<Evidence> &Among,
    const std::function<bool(const CrashSuspect &)> &MayBeCause)
    : m_Crashes(Among.size()) {
  std::map<CrashSuspect, std::uint64_t> Crashes;
  for (std::size_t Index = 0; Index < Among.size(); ++Index) {
    for (const CrashSuspect &Each : *Among[Index].m_Suspects)
      Crashes[Each] |= std::uint64_t{1} << Index;
    for (const RequestSuspects &Request : *Among[Index].m_Requests)
      for (const CrashSuspect &Part : std::set<CrashSuspect>(
               Request.m_Parts.begin(), Request.m_Parts.end()))
        ++m_Holders[Part];
  }
  // Of parts at the same crashes, the one that fewest requests held is enough.
  std::map<std::uint64_t, std::size_t> Fewest;
  for (const auto &[Suspect, At] : Crashes) {
    if (static_cast<std::size_t>(std::popcount(At)) == Among.size())
      m_Common.insert(m_Common.end(), Suspect);
    if (Suspect.kind() != CrashSuspect::Kind::PromptPart ||
        !MayBeCause(Suspect))
      continue;
    m_At.emplace_hint(m_At.end(), Suspect, At);
    const std::size_t Holders = holders(Suspect);
    const auto [Entry, New] = Fewest.try_emplace(At, Holders);
    if (!New)
      Entry->second = std::min(Entry->second, Holders);
  }
  findLeastHolders(Among.size(), Fewest);
}

std::size_t PartExplanation::holders(const CrashSuspect &Part) const {
  const auto Found = m_Holders.find(Part);
  return Found == m_Holders.end() ? 0 : Found->second;
}

/// \returns the least cost of two parts that explain all crashes, of which one
/// is \p With, and the others have fewer holders than \p FewerThan; empty
/// without any.
std::optional<PartExplanation::Cost>
PartExplanation::leastCost(const std::optional<CrashSuspect> &With,
                           std::size_t FewerThan) const {
  std::map<std::uint64_t, std::size_t> Fewest;
  for (const auto &[Part, At] : m_At) {
    const std::size_t Holders = holders(Part);
    if (Holders >= FewerThan)
      continue;
    const auto [Entry, New] = Fewest.try_emplace(At, Holders);
    if (!New)
      Entry->second = std::min(Entry->second, Holders);
  }
  std::map<std::uint64_t, std::size_t> Firsts = Fewest;
  if (With)
    Firsts = {{m_At.at(*With), holders(*With)}};
  std::optional<Cost> Result;
  const auto Offer = [&](std::uint64_t At, const Cost &Offered) {
    if (static_cast<std::size_t>(std::popcount(At)) == m_Crashes)
      Result = std::min(Result.value_or(Offered), Offered);
  };
  for (const auto &[One, OneHolders] : Firsts) {
    Offer(One, {OneHolders, 1, OneHolders});
    for (const auto &[Other, OtherHolders] : Fewest)
      Offer(One | Other,
            {OneHolders + OtherHolders, 2, std::max(OneHolders, OtherHolders)});
  }
  return Result;
}

bool PartExplanation::rarerPartsExplainAll(const CrashSuspect &Part) const {
  if (!m_At.contains(Part))
    return false;
  const auto Rarer = leastCost(std::nullopt, holders(Part));
  if (!Rarer)
    return false;
  const auto WithPart = leastCost(Part, NoExplanation);
  return !WithPart || *Rarer < *WithPart;
}

/// One of two parts that explain all crashes was at half of them or more.
void PartExplanation::findLeastHolders(
    std::size_t Crashes,
    const std::map<std::uint64_t, std::size_t> &ByCrashes) {
  const auto Explained = [](std::uint64_t At) {
    return static_cast<std::size_t>(std::popcount(At));
  };
  for (const auto &[One, OneHolders] : ByCrashes) {
    if (Explained(One) == Crashes)
      m_LeastHolders = std::min(m_LeastHolders, OneHolders);
    if (2 * Explained(One) < Crashes)
      continue;
    for (const auto &[Other, OtherHolders] : ByCrashes)
      if (Other != One && Explained(One | Other) == Crashes)
        m_LeastHolders = std::min(m_LeastHolders, OneHolders + OtherHolders);
  }
}

} // namespace havenstair
