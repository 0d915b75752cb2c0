/// \file
/// Interface to the platform's key-value store.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_COORDINATIONSTORE_H
#define HAVENSTAIR_GATEWAY_PROCESS_COORDINATIONSTORE_H

#include "decisions/common/StoreRevision.h"
#include "decisions/common/Time.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace havenstair {

using LeaseId = std::uint64_t;

enum class StoreStatus {
  Ok,
  NotFound, ///< No such key or lease.
  Conflict, ///< A condition did not hold; nothing was written.
  /// The requested changes are compacted, or of an earlier era; read the prefix
  /// anew.
  HistoryGone,
  Refused, ///< The store refused the call; nothing was written.
  /// No usable answer; a write may still take effect, or may have taken effect
  /// in an earlier era.
  Lost
};

const char *toString(StoreStatus Status);

/// How fresh the result of a read has to be.
enum class ReadKind {
  Current, ///< Includes every write that was acknowledged before the read.
  Stale    ///< May be seconds old; costs a tenth of a current read.
};

const char *toString(ReadKind Kind);

/// A key with its value and the revision of its last change.
struct StoreItem {
  std::string m_Key;
  std::string m_Value;
  StoreRevision m_Revision;

  bool operator==(const StoreItem &) const = default;
};

/// A change of a key; an empty value means that the key was removed.
struct StoreChange {
  std::string m_Key;
  std::optional<std::string> m_Value;
  StoreRevision m_Revision;

  bool operator==(const StoreChange &) const = default;
};

/// Result of a read of a prefix; usable only when the status is Ok.
struct StoreItems {
  StoreStatus m_Status = StoreStatus::Lost;
  std::vector<StoreItem> m_Items;
  /// The store's revision as of the read; a watch continues from it.
  StoreRevision m_At;
};

/// Result of a watch; usable only when the status is Ok.
struct StoreChanges {
  StoreStatus m_Status = StoreStatus::Lost;
  std::vector<StoreChange> m_Changes;
  StoreRevision m_At; ///< The answer covers all changes up to here.
};

/// Requires a key to be at a revision of the current era; an empty one requires
/// that the key does not exist.
struct StoreCondition {
  std::string m_Key;
  StoreRevision m_Revision;
};

/// A write of a key.
struct StorePut {
  std::string m_Key;
  std::string m_Value;
  LeaseId m_Lease = 0; ///< 0 when the key has no lease.
};

/// A transaction that is applied as a whole, or not at all when a condition
/// does not hold.
struct StoreTransaction {
  std::vector<StoreCondition> m_Conditions;
  std::vector<StorePut> m_Puts;
  std::vector<std::string> m_Removals; ///< Keys to remove.
};

/// Interface to the store, so that tests can substitute a fake. Each callback
/// runs once, from the event loop. Leases and conditions are only used in the
/// era in which they were given out.
class CoordinationStore {
public:
  using ItemsDone = std::function<void(StoreItems)>;
  using ChangesDone = std::function<void(StoreChanges)>;
  using WriteDone = std::function<void(StoreStatus, StoreRevision)>;
  using LeaseDone = std::function<void(StoreStatus, LeaseId, Duration)>;
  using Done = std::function<void(StoreStatus)>;

  virtual ~CoordinationStore() = default;
  /// Reads all items whose keys begin with \p Prefix.
  virtual void range(const std::string &Prefix, ReadKind Kind,
                     ItemsDone Callback) = 0;
  /// Reports the changes after revision \p After as soon as there are any, or
  /// an empty answer once \p Wait is over.
  /// \returns a handle; destroying it cancels the call.
  [[nodiscard]] virtual std::shared_ptr<void> watch(const std::string &Prefix,
                                                    StoreRevision After,
                                                    Duration Wait,
                                                    ChangesDone Callback) = 0;
  /// The callback gets the revision of the write.
  virtual void transact(const StoreTransaction &Transaction,
                        WriteDone Callback) = 0;
  /// The callback gets the lease and the time to live that the store granted.
  virtual void grantLease(Duration TimeToLive, LeaseDone Callback) = 0;
  virtual void renewLease(LeaseId Lease, Done Callback) = 0;
  /// Ends the lease; the store removes its keys.
  virtual void revokeLease(LeaseId Lease, Done Callback) = 0;
};

} // namespace havenstair

#endif
