/// \file
/// Keys of the store that tell which services had several software versions of
/// late.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_VERSIONMARKS_H
#define HAVENSTAIR_GATEWAY_PROCESS_VERSIONMARKS_H

#include "decisions/common/Time.h"
#include "gateway/process/CoordinationStore.h"
#include <map>
#include <memory>
#include <set>
#include <string>

namespace havenstair {

class DecisionLog;

/// One box writes, and all that read the gateway's keys know. A box that has
/// just started sees the present versions of a service only, and after a loss
/// of all boxes no other one knows more.
class VersionMarks {
public:
  VersionMarks(CoordinationStore &Store, DecisionLog &Log, std::string Prefix);
  VersionMarks(const VersionMarks &) = delete;
  VersionMarks &operator=(const VersionMarks &) = delete;

  /// \p Items are all keys under the gateway's prefix.
  void entriesChanged(const std::map<std::string, StoreItem> &Items);
  /// \returns whether \p Service may have had several versions of late: also
  /// while the keys have not been read.
  bool marked(const std::string &Service) const {
    return !m_HasRead || m_Marked.contains(Service);
  }
  /// Writes the marks of \p Several again that would soon expire, as the one
  /// box that writes. Does nothing while a write is in flight.
  void refresh(const std::set<std::string> &Several, TimePoint Now);

private:
  void put(LeaseId Lease, const std::set<std::string> &Services, TimePoint Now);

  CoordinationStore &m_Store;
  DecisionLog &m_Log;
  std::string m_Prefix;
  bool m_HasRead = false;
  bool m_InFlight = false;
  std::set<std::string> m_Marked;
  std::map<std::string, TimePoint> m_WrittenAt; ///< By this box.
  /// Expires with this object.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
