/// \file
/// Whether crashes of upstreams have an explanation by rare parts of prompts.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_PARTEXPLANATION_H
#define HAVENSTAIR_DECISIONS_PROCESS_PARTEXPLANATION_H

#include "decisions/process/CrashSuspect.h"
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace havenstair {

/// What some crashes have in common, computed once for all suspects that were
/// running at just these. Its cost grows with the parts that the crashes name,
/// and with pairs of them only where both differ in the crashes they were at.
class PartExplanation {
public:
  /// What was running at one crash; must outlive the constructor's call.
  struct Evidence {
    const std::set<RequestSuspects> *m_Requests = nullptr;
    const std::set<CrashSuspect> *m_Suspects = nullptr; ///< Not cleared ones.
  };
  /// Stands for more requests than there can be.
  static constexpr std::size_t NoExplanation =
      std::numeric_limits<std::size_t>::max();

  PartExplanation() = default;
  /// \p Among are the crashes, 64 at most; \p MayBeCause tells which parts
  /// count.
  PartExplanation(const std::vector<Evidence> &Among,
                  const std::function<bool(const CrashSuspect &)> &MayBeCause);

  /// The suspects that were running at each of the crashes.
  const std::set<CrashSuspect> &common() const { return m_Common; }
  /// Number of requests at the crashes that held \p Part.
  std::size_t holders(const CrashSuspect &Part) const;
  /// Fewest requests that held one or the other of two parts, or just one
  /// part, of which one was running at each crash; NoExplanation without any.
  std::size_t leastHolders() const { return m_LeastHolders; }
  /// \returns whether two parts, or one, each held by fewer requests than \p
  /// Part, explain all of the crashes, and \p Part with any other one does not
  /// do so with fewer holders. Where both take as many, fewer parts are the
  /// likelier cause, then those whose commoner part is rarer.
  bool rarerPartsExplainAll(const CrashSuspect &Part) const;

private:
  /// What an explanation by one part or two takes; the lesser one is likelier.
  struct Cost {
    std::size_t m_Holders = 0;
    std::size_t m_Parts = 0;
    std::size_t m_MostHolders = 0; ///< Of the commoner part.
    auto operator<=>(const Cost &) const = default;
  };

  std::optional<Cost> leastCost(const std::optional<CrashSuspect> &With,
                                std::size_t FewerThan) const;
  void findLeastHolders(std::size_t Crashes,
                        const std::map<std::uint64_t, std::size_t> &ByCrashes);

  std::set<CrashSuspect> m_Common;
  std::map<CrashSuspect, std::size_t> m_Holders;
  /// The crashes, a bit each, at which the parts were that count.
  std::map<CrashSuspect, std::uint64_t> m_At;
  std::size_t m_Crashes = 0;
  std::size_t m_LeastHolders = NoExplanation;
};

} // namespace havenstair

#endif
