/// \file
/// Keys of the store that name the software versions of each service.
/// See docs/design/stream-versions.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_VERSIONRECORDS_H
#define HAVENSTAIR_GATEWAY_PROCESS_VERSIONRECORDS_H

#include "decisions/process/VersionHistory.h"
#include "gateway/process/CoordinationStore.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

class DecisionLog;

/// Keeps one lasting key for each service, which names the versions that may
/// have begun streams that callers can still take up. Any box writes it, on the
/// condition that no other has. It outlives all boxes, so that one that has
/// just started learns of versions that no upstream has any more.
class VersionRecords {
public:
  struct Options {
    std::string m_Prefix; ///< Prefix of the gateway's keys.
    /// The whole fleet starts now: a service without a key had no versions
    /// before.
    bool m_FirstStart = false;
  };

  /// \p History is told of what the keys name.
  VersionRecords(CoordinationStore &Store, DecisionLog &Log, Options Opts,
                 VersionHistory &History);
  VersionRecords(const VersionRecords &) = delete;
  VersionRecords &operator=(const VersionRecords &) = delete;

  /// \p Items are all keys under the gateway's prefix as of \p At.
  void entriesChanged(const std::map<std::string, StoreItem> &Items,
                      const StoreRevision &At, TimePoint Now);
  /// Reads the keys if that has not succeeded since the list has been known
  /// without a gap, and brings them closer to
  /// what the history holds, by one transaction. Does nothing while a call is
  /// in flight.
  void refresh(TimePoint Now);
  /// Runs \p Call once the keys are read as of now or later, or that has
  /// failed.
  void readAfresh(std::function<void()> Call);
  /// Whether the keys have been read and, if that of \p Service lacked, it has
  /// been judged.
  bool known(const std::string &Service) const {
    return m_Judged.contains(Service);
  }
  /// Whether that read was sent at \p At or later.
  bool knownSince(const std::string &Service, TimePoint At) const {
    return known(Service) && m_ReadAt >= At;
  }
  /// Whether the key of \p Service names \p Software.
  bool names(const std::string &Service, const SoftwareVersion &Software) const;
  /// \returns the version that was the only one of \p Service before those came
  /// that its key names beside it; empty if that is not known.
  std::optional<SoftwareVersion> firstOf(const std::string &Service) const;

private:
  struct Record {
    SoftwareVersions m_Versions;
    StoreRevision m_Revision; ///< Of the key; none while there is no key.
    /// The only version there was before the others came, if it is known.
    std::optional<SoftwareVersion> m_First;
    /// Written before the store came back from a copy, or not readable: it may
    /// lack versions until a box writes it again.
    bool m_Outdated = false;

    bool operator==(const Record &) const = default;
  };
  using Records = std::map<std::string, Record>;

  bool mustRead(TimePoint Now) const;
  void read();
  void readIfAwaited();
  void onRead(const StoreItems &Result, TimePoint SentAt);
  void adopt(const std::map<std::string, StoreItem> &Items,
             const StoreRevision &At, TimePoint Now);
  Record decode(const StoreItem &Item, const StoreRevision &At) const;
  Record combine(Record Read, const Record *Before) const;
  void judgeMissing(TimePoint Now);
  Records due(TimePoint Now) const;
  void write(const Records &Due);
  void onWritten(const Records &Due, StoreStatus Status,
                 const StoreRevision &At);

  CoordinationStore &m_Store;
  DecisionLog &m_Log;
  Options m_Opts;
  VersionHistory &m_History;
  Records m_Records;
  StoreRevision m_At; ///< The records are complete up to here.
  bool m_Read = false;
  TimePoint m_ReadAt{}; ///< When the last read that succeeded was sent.
  /// Services that had upstreams since the keys were read.
  std::set<std::string> m_Judged;
  bool m_InFlight = false;
  bool m_Reading = false;
  /// Who waits for the read that is in flight, and for the one after it.
  std::vector<std::function<void()>> m_AfterRead;
  std::vector<std::function<void()>> m_AfterNextRead;
  /// Expires with this object.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
