/// \file
/// The list of upstreams, decoded from the store's keys.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_UPSTREAMREGISTRY_H
#define HAVENSTAIR_GATEWAY_PROCESS_UPSTREAMREGISTRY_H

#include "decisions/process/Shortlist.h"
#include "decisions/process/UpstreamInstance.h"
#include "gateway/process/CoordinationStore.h"
#include <functional>
#include <map>
#include <string>

namespace havenstair {

class DecisionLog;

/// Decodes each entry once for each of its revisions; an entry that cannot be
/// decoded is left out and logged.
class UpstreamRegistry {
public:
  using Decode = std::function<UpstreamInstance(const std::string &Key,
                                                const std::string &Value)>;

  UpstreamRegistry(Decode Decoder, DecisionLog &Log)
      : m_Decode(std::move(Decoder)), m_Log(Log) {}

  /// Takes over the list that \p Items describe. \returns its shortlist, as of
  /// \p Revision.
  InstanceList read(const std::map<std::string, StoreItem> &Items,
                    StoreRevision Revision, const DataCentreMap &Map);
  /// The same for a list that is a shortlist; it has none of its own then.
  InstanceList readSubset(const std::map<std::string, StoreItem> &Items,
                          StoreRevision Revision);

  /// Of the list that was last read.
  const Shortlist &subset() const { return m_Subset; }
  /// Entries of that list.
  std::size_t size() const { return m_Entries.size(); }

private:
  struct Decoded {
    StoreRevision m_Revision = 0;
    UpstreamInstance m_Instance;
    bool m_Valid = false;
  };

  Decoded decode(const StoreItem &Item);
  void update(const std::map<std::string, StoreItem> &Items);
  std::vector<const UpstreamInstance *> validEntries() const;

  Decode m_Decode;
  DecisionLog &m_Log;
  std::map<std::string, Decoded> m_Entries; ///< By key.
  Shortlist m_Subset;
};

} // namespace havenstair

#endif
