/// \file
/// How often each upstream fails requests, from what callers' requests met.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_FAILUREBOOK_H
#define HAVENSTAIR_DECISIONS_PROCESS_FAILUREBOOK_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamInstance.h"
#include <map>

namespace havenstair {

/// Failure rates as weighted means. They fade with time, so that an upstream
/// which failed is tried again: health checks may lie, requests do not.
class FailureBook {
public:
  struct Options {
    double m_Weight = 0.25;      ///< Of one outcome.
    Duration m_HalfLife = 3s;    ///< Of a rate without new outcomes.
    double m_Unreachable = 0.95; ///< Rate after a connection that never came.
  };

  FailureBook() : FailureBook(Options{}) {}
  explicit FailureBook(Options Opts) : m_Opts(Opts) {}

  void succeeded(const InstanceId &At, TimePoint Now);
  void failed(const InstanceId &At, TimePoint Now);
  /// Nothing came back at all; others find the same.
  void unreachable(const InstanceId &At, TimePoint Now);
  /// From 0 to 1.
  double rate(const InstanceId &At, TimePoint Now) const;
  void forget(const InstanceId &At) { m_Known.erase(At); }

private:
  struct Known {
    double m_Rate = 0;
    TimePoint m_At{};
  };

  void update(const InstanceId &At, double Outcome, TimePoint Now);

  Options m_Opts;
  std::map<InstanceId, Known> m_Known;
};

} // namespace havenstair

#endif
