/// \file
/// Work that runs or waits on each upstream, from all boxes.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LOADBOOK_H
#define HAVENSTAIR_DECISIONS_PROCESS_LOADBOOK_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamInstance.h"
#include <functional>
#include <map>

namespace havenstair {

/// Load of one upstream through one box, or the sum over boxes.
struct InstanceLoad {
  int m_Running = 0;      ///< Requests sent and not yet ended.
  double m_PendingMs = 0; ///< Work before the first tokens still to come.
  double m_Tokens = 0;    ///< Tokens of prompts and answers in memory.

  bool operator==(const InstanceLoad &) const = default;

  InstanceLoad &operator+=(const InstanceLoad &Other) {
    m_Running += Other.m_Running;
    m_PendingMs += Other.m_PendingMs;
    m_Tokens += Other.m_Tokens;
    return *this;
  }
};

using InstanceLoads = std::map<InstanceId, InstanceLoad>;

/// Sums up what this box sent and what the other boxes tell.
class LoadBook {
public:
  /// Longest time that the word of another box counts.
  static constexpr Duration WordCounts = 2s;

  void sent(const InstanceId &To, double WorkMs, double Tokens);
  /// The first token came; the work before it is done.
  void started(const InstanceId &To, double WorkMs);
  void ended(const InstanceId &To, double Tokens);

  /// What \p Box says of its own requests; replaces what it said before.
  void told(const BoxName &Box, InstanceLoads Loads, TimePoint Now);
  /// What has changed of what \p Box said before.
  void toldChanges(const BoxName &Box, const InstanceLoads &Changes,
                   TimePoint Now);
  /// What has changed of the totals that \p Box tells, which count this box's
  /// own loads as they were last told; all of them when \p Whole.
  void toldTotals(const BoxName &Box, const InstanceLoads &Changes, bool Whole,
                  TimePoint Now);
  /// Changes of this box's own loads since the last call, when together they
  /// are worth telling at once.
  InstanceLoads takeChanges();
  /// This box's own loads have been told as a whole.
  void toldAll() { m_Last = m_Own; }
  void forget(const BoxName &Box) { m_Told.erase(Box); }
  /// \p Of has started again: nothing of what was sent runs there any more.
  void startedAgain(const InstanceId &Of);

  InstanceLoad load(const InstanceId &Of, TimePoint Now) const;
  /// This box's own loads and what the boxes that \p Counts accepts have told.
  InstanceLoads sum(const std::function<bool(const BoxName &)> &Counts,
                    TimePoint Now) const;
  /// Only what went through this box; for the other boxes.
  const InstanceLoads &own() const { return m_Own; }

private:
  struct Word {
    InstanceLoads m_Loads;
    TimePoint m_At;
    bool m_CountsOwn = false; ///< This box's loads are among them.
  };

  static void apply(const InstanceLoads &Changes, InstanceLoads &To);
  InstanceLoad ofOthers(const Word &Of, const InstanceId &Id) const;

  InstanceLoads m_Own;
  InstanceLoads m_Last; ///< As last told.
  std::map<BoxName, Word> m_Told;
};

} // namespace havenstair

#endif
