/// \file
/// Whether crashes of upstreams have an explanation by rare parts of prompts.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_PARTEXPLANATION_H
#define HAVENSTAIR_DECISIONS_PROCESS_PARTEXPLANATION_H

#include "decisions/process/CrashSuspect.h"
#include <cstddef>
#include <functional>
#include <limits>
#include <map>
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

private:
  void findLeastHolders(std::size_t Crashes,
                        const std::map<std::uint64_t, std::size_t> &ByCrashes);

  std::set<CrashSuspect> m_Common;
  std::map<CrashSuspect, std::size_t> m_Holders;
  std::size_t m_LeastHolders = NoExplanation;
};

} // namespace havenstair

#endif
