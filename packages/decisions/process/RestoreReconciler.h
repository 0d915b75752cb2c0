/// \file
/// Reconciles the list of upstreams of a restored store with what was known
/// before. See docs/design/store-restore.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_RESTORERECONCILER_H
#define HAVENSTAIR_DECISIONS_PROCESS_RESTORERECONCILER_H

#include "decisions/process/UpstreamInstance.h"
#include <map>
#include <optional>

namespace havenstair {

/// A store that comes back from a copy lists upstreams that have ended and
/// lacks those that registered since, until they have written their entries
/// again. For a while what was acknowledged before holds against the copy.
class RestoreReconciler {
public:
  struct Options {
    /// How long an upstream that the copy lacks stays listed. Upstreams that
    /// live and reach the store are back within two seconds.
    Duration m_KeepMissing = 3s;
    /// How long an upstream that had left the list, and is in the copy, stays
    /// out of it unless its entry changes. The store drops the entry of one
    /// that has ended earlier.
    Duration m_HoldEnded = 10s;
  };

  RestoreReconciler() : RestoreReconciler(Options{}) {}
  explicit RestoreReconciler(Options Opts) : m_Opts(Opts) {}

  /// The store was restored at \p Now. \p Listed is the list of before, and \p
  /// Ended the upstreams that had left it a short while ago.
  void onRestored(const InstanceList &Listed,
                  const std::map<InstanceId, UpstreamInstance> &Ended,
                  TimePoint Now);
  /// Adds to and removes from \p List, which was read of the restored store.
  void reconcile(InstanceList &List, TimePoint Now);
  /// Number of upstreams that are listed though the store lacks them.
  std::size_t keptCount() const { return m_Missing.size(); }
  /// Number of upstreams that had left the list before the restore, and stay
  /// out of it.
  std::size_t heldBackCount() const { return m_Ended.size(); }
  /// When the result of reconcile() changes next though the list does not;
  /// empty when it will not.
  std::optional<TimePoint> nextChange(TimePoint Now) const;

private:
  /// An upstream that had left the list.
  struct EndedUpstream {
    UpstreamInstance m_Last; ///< Its last entry.
    /// Its entry in the restored store; empty while it was not seen there.
    std::optional<UpstreamInstance> m_InCopy;
  };

  static bool writtenAgain(const EndedUpstream &Ended,
                           const UpstreamInstance &Entry);
  void keepMissing(InstanceList &List, TimePoint Now);
  void dropEnded(InstanceList &List, TimePoint Now);

  Options m_Opts;
  std::map<InstanceId, UpstreamInstance> m_Missing;
  TimePoint m_MissingUntil{};
  std::map<InstanceId, EndedUpstream> m_Ended;
  TimePoint m_EndedUntil{};
};

} // namespace havenstair

#endif
