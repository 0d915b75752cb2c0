#include "decisions/process/StreamHolders.h"

#include "decisions/common/StableHash.h"
#include <algorithm>
#include <map>
#include <tuple>

namespace havenstair {

std::vector<BoxName>
chooseStreamHolders(std::vector<HolderCandidate> Candidates,
                    std::string_view Attempt, std::size_t Count) {
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const HolderCandidate &A, const HolderCandidate &B) {
              const auto Rank = [&](const HolderCandidate &Each) {
                return std::make_tuple(stableHash(Each.m_Box.str(), Attempt),
                                       Each.m_Box);
              };
              return Rank(A) > Rank(B);
            });
  // The first of each data centre come before the second of any.
  std::map<DataCentreName, int> Ranks;
  std::vector<std::pair<int, BoxName>> Ordered;
  Ordered.reserve(Candidates.size());
  for (const HolderCandidate &Each : Candidates)
    Ordered.emplace_back(Ranks[Each.m_DataCentre]++, Each.m_Box);
  std::stable_sort(
      Ordered.begin(), Ordered.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  std::vector<BoxName> Result;
  for (const auto &[Rank, Box] : Ordered)
    if (Result.size() < Count)
      Result.push_back(Box);
  return Result;
}

} // namespace havenstair
