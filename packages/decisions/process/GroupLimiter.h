/// \file
/// A box's share of each group's limits. The sum of the shares of all boxes
/// never exceeds the limit. See docs/design/limits.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_GROUPLIMITER_H
#define HAVENSTAIR_DECISIONS_PROCESS_GROUPLIMITER_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/request/ErrorKind.h"
#include "decisions/version/Table.h"
#include <map>
#include <optional>

namespace havenstair {

/// This box's place among the boxes that share the limits.
struct LimitShare {
  int m_Index = 0; ///< Position of this box in the sorted list of boxes.
  int m_Boxes = 1; ///< Number of boxes.

  bool operator==(const LimitShare &) const = default;
};

/// Part of a whole concurrency limit that falls to one box: the rest of the
/// division goes to the first boxes, so the parts add up to \p Whole.
int concurrencyShare(int Whole, const LimitShare &Share);

/// Token buckets and counts of one box.
class GroupLimiter {
public:
  struct Options {
    /// Seconds of the rate that a bucket can hold.
    double m_BurstSeconds = 1;
  };

  explicit GroupLimiter(Options Opts);

  void setShare(const LimitShare &Share) { m_Share = Share; }
  const LimitShare &share() const { return m_Share; }

  /// Takes one request of \p Row into account, or says why its rates forbid
  /// it. Concurrency is counted here and judged by the group's home.
  std::optional<Failure> tryAdmit(const GroupRow &Row, TimePoint Now);
  /// A request that was admitted ended, after \p Tokens were generated.
  void finished(const GroupName &Group, double Tokens);
  int running(const GroupName &Group) const;

private:
  struct Bucket {
    double m_Level = 0;
    TimePoint m_Filled;
    bool m_Started = false;
  };
  struct Usage {
    Bucket m_Requests;
    Bucket m_Tokens;
    int m_Running = 0;
  };

  void refill(Bucket &Of, double Rate, double Least, TimePoint Now) const;

  Options m_Opts;
  LimitShare m_Share;
  std::map<GroupName, Usage> m_Usage;
};

} // namespace havenstair

#endif
