/// \file
/// Counts the running requests of each group over all boxes of a data
/// centre. One box, the group's home, keeps its count; see
/// docs/design/limits.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_CONCURRENCYHOME_H
#define HAVENSTAIR_DECISIONS_PROCESS_CONCURRENCYHOME_H

#include "decisions/common/Id.h"
#include <map>

namespace havenstair {

/// Keeps the counts of the groups whose home this box is. The counts are exact
/// while every box asks before it starts a request and reports when one ends.
/// Boxes always report their whole count, so a lost or duplicated message is
/// corrected by the next one.
class ConcurrencyHome {
public:
  /// Box \p Box asks to run \p Running requests of \p Group, including the new
  /// one. \returns whether that stays within \p Limit; only then the count is
  /// changed.
  bool tryRun(const GroupName &Group, const BoxName &Box, int Running,
              int Limit);
  /// Records that \p Box runs \p Running requests of \p Group now.
  void setRunning(const GroupName &Group, const BoxName &Box, int Running);
  /// Forgets all counts of \p Box, which is gone.
  void forget(const BoxName &Box);
  /// Requests of \p Group that run over all boxes.
  int running(const GroupName &Group) const;

private:
  /// Running requests by group and box; only counts above 0.
  std::map<GroupName, std::map<BoxName, int>> m_Counts;
};

} // namespace havenstair

#endif
