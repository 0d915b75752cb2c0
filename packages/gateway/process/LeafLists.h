/// \file
/// What a relay tells its leaves of the list of upstreams.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LEAFLISTS_H
#define HAVENSTAIR_GATEWAY_PROCESS_LEAFLISTS_H

#include "decisions/process/Shortlist.h"
#include "gateway/process/PrefixMirror.h"
#include "wire/connection/EncodedFrame.h"
#include <map>
#include <optional>
#include <string>

namespace havenstair {

/// The shortlist of each data centre in which this box has leaves, as keys of
/// the store. Leaves that follow the whole list would take all of a small
/// box's processor for upstreams that they never use. Each frame is made once
/// for all leaves of a data centre.
class LeafLists {
public:
  /// The list has become \p List, of which \p Of is the shortlist. \returns
  /// what has changed for the leaves of \p DataCentre.
  EncodedFrame takeNews(const DataCentreName &DataCentre,
                        const PrefixMirror &List, const Shortlist &Of);
  /// All keys for the leaves of \p DataCentre, in the same list.
  const EncodedFrame &whole(const DataCentreName &DataCentre,
                            const PrefixMirror &List, const Shortlist &Of);
  /// No leaves are left.
  void clear() { m_Lists.clear(); }

private:
  struct Told {
    StoreRevision m_At = 0;
    std::map<std::string, StoreRevision> m_Keys;
    std::optional<EncodedFrame> m_Whole; ///< As of m_At, once it was asked for.
  };

  static std::map<std::string, StoreRevision> keys(const Shortlist::Chosen &Of,
                                                   const PrefixMirror &List);

  std::map<DataCentreName, Told> m_Lists;
};

} // namespace havenstair

#endif
