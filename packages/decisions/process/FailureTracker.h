/// \file
/// How often each upstream fails requests, from what callers' requests met.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_FAILURETRACKER_H
#define HAVENSTAIR_DECISIONS_PROCESS_FAILURETRACKER_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamInstance.h"
#include <map>

namespace havenstair {

/// Failure rates as weighted means. They fade with time, so that an upstream
/// which recordFailure is tried again: health checks may lie, requests do not.
class FailureTracker {
public:
  struct Options {
    double m_Weight = 0.25;      ///< Of one outcome.
    Duration m_HalfLife = 3s;    ///< Of a rate without new outcomes.
    double m_Unreachable = 0.95; ///< Rate after a connection that never came.
  };

  FailureTracker() : FailureTracker(Options{}) {}
  explicit FailureTracker(Options Opts) : m_Opts(Opts) {}

  void recordSuccess(const InstanceId &At, TimePoint Now);
  void recordFailure(const InstanceId &At, TimePoint Now);
  /// Nothing came back at all; others find the same.
  void recordUnreachable(const InstanceId &At, TimePoint Now);
  /// From 0 to 1.
  double rate(const InstanceId &At, TimePoint Now) const;
  void forget(const InstanceId &At) { m_Entries.erase(At); }

private:
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
