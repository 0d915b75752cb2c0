/// \file
/// The list of upstreams, decoded from the store's keys.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_UPSTREAMREGISTRY_H
#define HAVENSTAIR_GATEWAY_PROCESS_UPSTREAMREGISTRY_H

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

  /// The list that \p Items describe, as of \p Revision.
  InstanceList read(const std::map<std::string, StoreItem> &Items,
                    StoreRevision Revision);

private:
  struct Decoded {
    StoreRevision m_Revision = 0;
    UpstreamInstance m_Instance;
    bool m_Good = false;
  };

  Decoded decode(const StoreItem &Item);

  Decode m_Decode;
  DecisionLog &m_Log;
  std::map<std::string, Decoded> m_Known;
};

} // namespace havenstair

#endif
