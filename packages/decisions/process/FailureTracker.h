/// \file
/// Tracks how often each upstream fails callers' requests.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_FAILURETRACKER_H
#define HAVENSTAIR_DECISIONS_PROCESS_FAILURETRACKER_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamInstance.h"
#include <map>

namespace havenstair {

/// Keeps failure rates as weighted means. They decay with time, so that an
/// upstream which failed is tried again. They come from requests, as health
/// checks may report a broken upstream as well.
class FailureTracker {
public:
  struct Options {
    /// Weight of one outcome in the mean.
    double m_Weight = 0.25;
    /// Half-life of a rate without new outcomes.
    Duration m_HalfLife = 3s;
    /// Least rate after a failed attempt to connect.
    double m_Unreachable = 0.95;
  };

  FailureTracker() : FailureTracker(Options{}) {}
  explicit FailureTracker(Options Opts) : m_Opts(Opts) {}

  /// Records a request that succeeded.
  void recordSuccess(const InstanceId &At, TimePoint Now);
  /// Records a request that failed.
  void recordFailure(const InstanceId &At, TimePoint Now);
  /// Records that the connection failed; others would fail as well.
  void recordUnreachable(const InstanceId &At, TimePoint Now);
  /// Failure rate from 0 to 1; 0 for an unknown upstream.
  double rate(const InstanceId &At, TimePoint Now) const;
  void forget(const InstanceId &At) { m_Entries.erase(At); }

private:
  /// A rate as of m_At.
  struct Entry {
    double m_Rate = 0;
    TimePoint m_At{};
  };

  void update(const InstanceId &At, double Outcome, TimePoint Now);

  Options m_Opts;
  std::map<InstanceId, Entry> m_Entries;
};

} // namespace havenstair

#endif
