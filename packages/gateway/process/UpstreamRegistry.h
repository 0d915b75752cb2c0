/// \file
/// The list of upstreams, decoded from the store's keys.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_UPSTREAMREGISTRY_H
#define HAVENSTAIR_GATEWAY_PROCESS_UPSTREAMREGISTRY_H

#include "decisions/process/UpstreamInstance.h"
#include "decisions/process/UpstreamSubset.h"
#include "gateway/process/CoordinationStore.h"
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace havenstair {

class DecisionLog;

/// Decodes each entry of the list once for each revision of it. An entry that
/// cannot be decoded is logged and left out.
class UpstreamRegistry {
public:
  /// Decodes an entry. \throws DecodeError when it is invalid.
  using Decode = std::function<UpstreamInstance(const std::string &Key,
                                                const std::string &Value)>;

  UpstreamRegistry(Decode Decoder, DecisionLog &Log)
      : m_Decode(std::move(Decoder)), m_Log(Log) {}

  /// Replaces the list by the one in \p Items. \returns its subset for this
  /// box, as of \p Revision.
  InstanceList read(const std::map<std::string, StoreItem> &Items,
                    StoreRevision Revision, const DataCentreMap &Map);
  /// Replaces the list by one that already is a subset; subset() is null then.
  InstanceList readSubset(const std::map<std::string, StoreItem> &Items,
                          StoreRevision Revision);

  /// Subsets of the list that was last read; null if that was a subset itself,
  /// of which no box can be sent its own.
  const UpstreamSubset *subset() const {
    return m_Subset ? &*m_Subset : nullptr;
  }
  /// Number of entries of the list, invalid ones included.
  std::size_t size() const { return m_Entries.size(); }

private:
  struct Decoded {
    StoreRevision m_Revision;
    UpstreamInstance m_Instance;
    bool m_Valid = false; ///< Whether m_Instance could be decoded.
  };

  Decoded decode(const StoreItem &Item);
  void update(const std::map<std::string, StoreItem> &Items);
  std::vector<const UpstreamInstance *> validEntries() const;

  Decode m_Decode;
  DecisionLog &m_Log;
  std::map<std::string, Decoded> m_Entries; ///< By key.
  std::optional<UpstreamSubset> m_Subset;
};

} // namespace havenstair

#endif
