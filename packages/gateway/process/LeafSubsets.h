/// \file
/// What a relay tells its leaves of the list of upstreams.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LEAFSUBSETS_H
#define HAVENSTAIR_GATEWAY_PROCESS_LEAFSUBSETS_H

#include "decisions/common/Time.h"
#include "decisions/process/Shortlist.h"
#include "gateway/process/WatchCache.h"
#include "wire/connection/EncodedFrame.h"
#include <map>
#include <optional>
#include <string>

namespace havenstair {

/// The shortlist of each data centre in which this box has leaves, as keys of
/// the store. Leaves that follow the whole list would take all of a small
/// box's processor for upstreams that they never use. Each frame is made once
/// for all leaves of a data centre.
class LeafSubsets {
public:
  /// The list is \p List, of which \p Of is the shortlist. \returns what has
  /// changed for the leaves of \p DataCentre, when it is time to tell them: at
  /// once when an upstream leaves that they know, otherwise after a rest that
  /// grows with what they take up each time; at any time with \p AtOnce. None
  /// when nothing was ever told.
  std::optional<EncodedFrame> takeUpdate(const DataCentreName &DataCentre,
                                         const WatchCache &List,
                                         const Shortlist &Subset, TimePoint Now,
                                         bool AtOnce = false);
  /// All keys for the leaves of \p DataCentre. They must have been told all
  /// news: what comes next goes on from it.
  const EncodedFrame &snapshot(const DataCentreName &DataCentre,
                               const WatchCache &List, const Shortlist &Subset,
                               TimePoint Now);
  /// Revision of the list that the leaves of \p DataCentre were told; none
  /// before.
  std::optional<StoreRevision>
  sentRevision(const DataCentreName &DataCentre) const;
  /// No leaves are left.
  void clear() { m_Lists.clear(); }

private:
  struct Key {
    StoreRevision m_Revision = 0;
    bool m_Draining = false;
  };
  using Keys = std::map<std::string, Key>;
  struct SentState {
    StoreRevision m_Revision = 0;
    TimePoint m_SentAt{};
    Keys m_Keys;
    std::optional<EncodedFrame>
        m_Snapshot; ///< As of m_At, once it was asked for.
  };

  static Keys keys(const Shortlist::Chosen &Upstreams, const WatchCache &List);
  static bool urgent(const Keys &Before, const Keys &Now,
                     const WatchCache &List);
  EncodedFrame encodeDelta(SentState &State, Keys Now, const WatchCache &List,
                           TimePoint When);

  std::map<DataCentreName, SentState> m_Lists;
};

} // namespace havenstair

#endif
