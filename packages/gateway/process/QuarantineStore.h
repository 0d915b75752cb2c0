/// \file
/// Keeps quarantines in the store, where they survive the boxes.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_QUARANTINESTORE_H
#define HAVENSTAIR_GATEWAY_PROCESS_QUARANTINESTORE_H

#include "decisions/process/CrashTracker.h"
#include "gateway/process/CoordinationStore.h"
#include "wire/common/EventLoop.h"
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

class DecisionLog;

/// Stores one key for each quarantine, under a lease as long as the quarantine.
/// One box writes, and all boxes read. Operators release a suspect by a key of
/// its own.
class QuarantineStore {
public:
  using Entries = std::map<CrashSuspect, Quarantine>;

  QuarantineStore(CoordinationStore &Store, DecisionLog &Log,
                  std::string Prefix);
  QuarantineStore(const QuarantineStore &) = delete;
  QuarantineStore &operator=(const QuarantineStore &) = delete;

  /// What a change of the store's keys means.
  struct Changes {
    /// Quarantines whose keys were not there before. Their times are not set.
    Entries m_Added;
    /// All suspects that operators have released, new or not.
    std::set<CrashSuspect> m_Released;
  };
  /// Reads the store's keys, of which \p Items are all under the gateway's
  /// prefix, as of \p At. Releases that a restored store lacks hold until
  /// operators should have written them again.
  Changes entriesChanged(const std::map<std::string, StoreItem> &Items,
                         const StoreRevision &At, TimePoint Now);
  /// Brings the store's keys closer to \p Wanted by one transaction of limited
  /// size. Does nothing before the keys have been read or while a transaction
  /// is in flight.
  void reconcile(const Entries &Wanted, TimePoint Now);

private:
  /// What of a quarantine is written anew when it changes.
  struct Hold {
    std::set<CrashSuspect> m_Beside;
    bool m_Certain = false;

    bool operator==(const Hold &) const = default;
  };

  static Hold holdOf(const Quarantine &Entry) {
    return {.m_Beside = Entry.m_Beside, .m_Certain = Entry.m_Certain};
  }
  void keepReleases(std::set<CrashSuspect> &Released, const StoreRevision &At,
                    TimePoint Now);
  void put(LeaseId Lease, const Entries &Missing);
  void remove(const std::vector<CrashSuspect> &Surplus);
  void transact(const StoreTransaction &Transaction);
  std::string keyOf(const CrashSuspect &Suspect) const;
  bool isStored(const CrashSuspect &Suspect, const Quarantine &Wanted) const;

  CoordinationStore &m_Store;
  DecisionLog &m_Log;
  std::string m_Prefix;
  /// Suspects whose keys are in the store, with those that the keys name beside
  /// them.
  std::map<CrashSuspect, Hold> m_Stored;
  std::set<CrashSuspect> m_Released; ///< Suspects with a key that releases.
  /// Releases that the restored store lacks.
  std::set<CrashSuspect> m_KeptReleases;
  TimePoint m_ReleasesKeptUntil{};
  StoreRevision m_ReadAt;
  bool m_HasRead = false; ///< The keys have been read.
  bool m_InFlight = false;
  /// Expires with this object, so that later callbacks can tell.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
