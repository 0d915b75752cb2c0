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

/// This box's share among the boxes that divide the limits.
struct LimitShare {
  /// Index of this box in the sorted list of boxes.
  int m_Index = 0;
  int m_Boxes = 1; ///< Number of boxes.

  bool operator==(const LimitShare &) const = default;
};

/// The part of the concurrency limit \p Whole that this box gets. The remainder
/// of the division goes to the first boxes, so the parts add up to \p Whole.
int concurrencyShare(int Whole, const LimitShare &Share);

/// Token buckets and counts of running requests of one box, by group.
class GroupLimiter {
public:
  struct Options {
    /// A bucket holds the rate times this many seconds.
    double m_BurstSeconds = 1;
  };

  explicit GroupLimiter(Options Opts);

  /// Changes the share; applies to requests admitted afterwards.
  void setShare(const LimitShare &Share) { m_Share = Share; }
  const LimitShare &share() const { return m_Share; }

  /// Counts one request of \p Row. \returns nothing when its group's rates
  /// allow it, else the refusal with the time after which to retry. Concurrency
  /// is only counted here; the group's home enforces its limit.
  std::optional<Failure> tryAdmit(const GroupRow &Row, TimePoint Now);
  /// Records that an admitted request ended after \p Tokens were generated.
  void finished(const GroupName &Group, double Tokens);
  /// Admitted requests of \p Group that have not ended.
  int running(const GroupName &Group) const;

private:
  /// A token bucket; its level is negative while generated tokens are owed.
  struct Bucket {
    double m_Level = 0;
    TimePoint m_Filled;
    bool m_Started = false;
  };
  /// What one group uses.
  struct Usage {
    Bucket m_Requests;
    Bucket m_Tokens;
    int m_Running = 0;
  };

  /// Fills \p Target at \p Rate per second, up to the burst or \p Least,
  /// whichever is more.
  void refill(Bucket &Target, double Rate, double Least, TimePoint Now) const;

  Options m_Opts;
  LimitShare m_Share;
  std::map<GroupName, Usage> m_Usage;
};

} // namespace havenstair

#endif
