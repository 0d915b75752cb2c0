/// \file
/// Decides whether this box is partitioned from all upstreams.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMREACH_H
#define HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMREACH_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamInstance.h"
#include <cstddef>
#include <map>
#include <set>

namespace havenstair {

/// Records which upstreams this box could connect to. The box counts as
/// partitioned when connections to several upstreams failed one shortly after
/// the other and no call that was started since has reached any upstream.
class UpstreamReach {
public:
  struct Options {
    /// Failures that are further apart belong to different causes.
    Duration m_Window = 2s;
    /// Different upstreams whose connections must fail.
    std::size_t m_MinFailed = 2;
    /// The same while calls on kept connections are answered: these may outlive
    /// the ways on which they were made.
    std::size_t m_MinFailedWithKept = 4;
  };
  /// A call to an upstream.
  struct Call {
    InstanceId m_Upstream;
    TimePoint m_StartedAt{};
    bool m_MayBeKept = false; ///< It may use a kept connection.
  };

  UpstreamReach() : UpstreamReach(Options{}) {}
  explicit UpstreamReach(Options Opts) : m_Opts(Opts) {}

  /// Records that \p Reached was answered. \returns whether that ends a
  /// partition.
  bool recordReached(const Call &Reached);
  /// Records that the connection of \p Failed did not come up, or was reset
  /// before a byte came. \p Known is the number of upstreams that this box
  /// knows. \returns whether that begins a partition.
  bool recordFailed(const Call &Failed, std::size_t Known, TimePoint Now);

  /// Whether this box is partitioned from all upstreams.
  bool partitioned() const { return m_Partitioned; }
  /// Whether a connection failed lately and no call that was started since has
  /// reached an upstream.
  bool doubtful(TimePoint Now) const;
  /// Upstreams whose connections failed in the present partition or doubt.
  const std::set<InstanceId> &failed() const { return m_Failed; }

private:
  void clear();

  Options m_Opts;
  bool m_Partitioned = false;
  std::set<InstanceId> m_Failed;
  TimePoint m_FirstStartedAt{}; ///< Start of the first call that failed.
  TimePoint m_LastFailedAt{};
  bool m_KeptAnswered = false; ///< A kept connection was answered since.
};

} // namespace havenstair

#endif
