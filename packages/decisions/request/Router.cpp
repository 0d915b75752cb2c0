#include "decisions/request/Router.h"

#include "decisions/common/StableHash.h"
#include <algorithm>
#include <string>

namespace havenstair {

namespace {

/// Number of characters at the start of a prompt that are hashed. Calls of one
/// conversation share them.
constexpr std::size_t PrefixLength = 1024;

std::uint64_t preference(const Candidate &Upstream, std::uint64_t Prefix) {
  return stableHash(Upstream.m_Upstream.str(), std::to_string(Prefix));
}

} // namespace

std::uint64_t promptPrefix(std::string_view Prompt) {
  return stableHash(Prompt.substr(0, PrefixLength));
}

std::optional<UpstreamName>
leastPressure(const std::vector<Candidate> &Candidates, std::uint64_t Prefix) {
  return prefixAffinity(Candidates, Prefix, 0);
}

std::optional<UpstreamName>
prefixAffinity(const std::vector<Candidate> &Candidates, std::uint64_t Prefix,
               double Slack) {
  if (Candidates.empty())
    return std::nullopt;
  const auto Least = std::min_element(
      Candidates.begin(), Candidates.end(),
      [](const auto &A, const auto &B) { return A.m_Pressure < B.m_Pressure; });
  const double MaxPressure = Least->m_Pressure + Slack;
  const Candidate *Best = nullptr;
  std::uint64_t BestHash = 0;
  for (const Candidate &Each : Candidates) {
    if (Each.m_Pressure > MaxPressure)
      continue;
    const std::uint64_t Hash = preference(Each, Prefix);
    if (Best != nullptr && Hash <= BestHash)
      continue;
    Best = &Each;
    BestHash = Hash;
  }
  return Best->m_Upstream;
}

RoutingHook defaultRouting() { return leastPressure; }

} // namespace havenstair
