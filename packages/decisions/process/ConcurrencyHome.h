/// \file
/// Counts the requests of each group that run through any box of a data
/// centre. One box counts for a group; see docs/design/limits.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_CONCURRENCYHOME_H
#define HAVENSTAIR_DECISIONS_PROCESS_CONCURRENCYHOME_H

#include "decisions/common/Id.h"
#include <map>

namespace havenstair {

/// Exact while every box asks before it starts and tells when it ends. Boxes
/// always setRunning their whole count, so a message that was lost or came
/// twice is mended by the next one.
class ConcurrencyHome {
public:
  /// \p Box wants to run \p Running requests of \p Group, the new one among
  /// them. \returns whether the limit allows it; only then it is counted.
  bool tryRun(const GroupName &Group, const BoxName &Box, int Running,
              int Limit);
  /// \p Box runs \p Running requests of \p Group now.
  void setRunning(const GroupName &Group, const BoxName &Box, int Running);
  /// A box is gone with all that it ran.
  void forget(const BoxName &Box);
  int running(const GroupName &Group) const;

private:
  std::map<GroupName, std::map<BoxName, int>> m_Counts;
};

} // namespace havenstair

#endif
