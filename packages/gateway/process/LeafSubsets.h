/// \file
/// The subset of the list of upstreams that a relay sends to its leaves.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LEAFSUBSETS_H
#define HAVENSTAIR_GATEWAY_PROCESS_LEAFSUBSETS_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamSubset.h"
#include "gateway/process/WatchCache.h"
#include "wire/connection/EncodedFrame.h"
#include <map>
#include <optional>
#include <string>

namespace havenstair {

/// Keeps, for each data centre in which this box has leaves, the subset of the
/// list of upstreams that they need, as keys of the store. Following the whole
/// list would take all of a small box's processor for upstreams that it never
/// uses. Each frame is encoded once for all leaves of a data centre.
class LeafSubsets {
public:
  /// Returns the changes for the leaves of \p DataCentre, when they are due: at
  /// once when an upstream that they know leaves or begins to drain, otherwise
  /// after a pause that grows with the time the leaves need to apply an update;
  /// at any time with \p AtOnce. \p Subset is the subset of \p List. \returns
  /// none when nothing is due or nothing was sent before.
  std::optional<EncodedFrame> takeUpdate(const DataCentreName &DataCentre,
                                         const WatchCache &List,
                                         const UpstreamSubset &Subset,
                                         TimePoint Now, bool AtOnce = false);
  /// Returns all keys for the leaves of \p DataCentre. They must have been sent
  /// all updates before: the next update continues from this frame.
  const EncodedFrame &snapshot(const DataCentreName &DataCentre,
                               const WatchCache &List,
                               const UpstreamSubset &Subset, TimePoint Now);
  /// Revision of the list that was last sent to the leaves of \p DataCentre;
  /// none when nothing was sent.
  std::optional<StoreRevision>
  sentRevision(const DataCentreName &DataCentre) const;
  /// Fingerprint of what the leaves of \p DataCentre were sent; 0 when nothing
  /// was sent.
  std::uint64_t sentFingerprint(const DataCentreName &DataCentre) const;
  /// Number of keys that the leaves of \p DataCentre were sent.
  std::size_t sentKeys(const DataCentreName &DataCentre) const;
  /// Forgets what was sent, when no leaves are left.
  void clear() { m_Lists.clear(); }

private:
  struct Key {
    StoreRevision m_Revision;
    bool m_Draining = false;
  };
  using Keys = std::map<std::string, Key>;
  /// What was last sent to the leaves of a data centre.
  struct SentState {
    StoreRevision m_Revision;
    TimePoint m_SentAt{};
    Keys m_Keys;
    std::uint64_t m_Fingerprint = 0; ///< Of m_Keys.
    /// The whole subset as of m_Revision; empty before it is requested.
    std::optional<EncodedFrame> m_Snapshot;
  };

  static Keys keys(const UpstreamSubset::Selection &Upstreams,
                   const WatchCache &List);
  static bool urgent(const Keys &Before, const Keys &Now,
                     const WatchCache &List);
  EncodedFrame encodeDelta(SentState &State, Keys Now, const WatchCache &List,
                           TimePoint When);

  std::map<DataCentreName, SentState> m_Lists;
};

} // namespace havenstair

#endif
