/// \file
/// The platform's key-value service as the gateway needs it.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_COORDINATIONSTORE_H
#define HAVENSTAIR_GATEWAY_PROCESS_COORDINATIONSTORE_H

#include "decisions/common/Time.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace havenstair {

/// Count of all changes of the store; higher is newer.
using StoreRevision = std::uint64_t;
using LeaseId = std::uint64_t;

enum class StoreStatus {
  Ok,
  NotFound,    ///< No such key or lease.
  Conflict,    ///< A condition did not hold; nothing was done.
  HistoryGone, ///< The changes asked for are forgotten; read anew.
  Refused,     ///< The store turned the call away; nothing was done.
  Lost         ///< No usable answer; a write may still take effect.
};

const char *toString(StoreStatus Of);

/// How new what is read must be.
enum class ReadKind {
  Current, ///< As new as every write that was acknowledged before.
  Stale    ///< May be seconds old; costs the store a tenth of the other.
};

const char *toString(ReadKind Of);

/// One key with its value.
struct StoreItem {
  std::string m_Key;
  std::string m_Value;
  StoreRevision m_Revision = 0;

  bool operator==(const StoreItem &) const = default;
};

/// A change of a key; without a value the key is gone.
struct StoreChange {
  std::string m_Key;
  std::optional<std::string> m_Value;
  StoreRevision m_Revision = 0;

  bool operator==(const StoreChange &) const = default;
};

struct StoreItems {
  StoreStatus m_Status = StoreStatus::Lost;
  std::vector<StoreItem> m_Items;
  StoreRevision m_At = 0; ///< Where a watch goes on from.
};

struct StoreChanges {
  StoreStatus m_Status = StoreStatus::Lost;
  std::vector<StoreChange> m_Changes;
  StoreRevision m_At = 0;
};

/// A key must be at a revision; 0 means that it must not exist.
struct StoreCondition {
  std::string m_Key;
  StoreRevision m_Revision = 0;
};

struct StorePut {
  std::string m_Key;
  std::string m_Value;
  LeaseId m_Lease = 0; ///< 0 for none.
};

/// Everything is done, or nothing.
struct StoreTransaction {
  std::vector<StoreCondition> m_Conditions;
  std::vector<StorePut> m_Puts;
  std::vector<std::string> m_Removals;
};

/// Interface, so that tests can put a fake in its place. Callbacks run from the
/// loop, once for each call.
class CoordinationStore {
public:
  using ItemsDone = std::function<void(StoreItems)>;
  using ChangesDone = std::function<void(StoreChanges)>;
  using WriteDone = std::function<void(StoreStatus, StoreRevision)>;
  using LeaseDone = std::function<void(StoreStatus, LeaseId, Duration)>;
  using Done = std::function<void(StoreStatus)>;

  virtual ~CoordinationStore() = default;
  /// All items whose keys begin with \p Prefix.
  virtual void range(const std::string &Prefix, ReadKind Kind,
                     ItemsDone Callback) = 0;
  /// Changes after \p After, as soon as there are any or \p Wait is over.
  /// \returns a handle; destroying it abandons the call.
  [[nodiscard]] virtual std::shared_ptr<void> watch(const std::string &Prefix,
                                                    StoreRevision After,
                                                    Duration Wait,
                                                    ChangesDone Callback) = 0;
  virtual void transact(const StoreTransaction &Transaction,
                        WriteDone Callback) = 0;
  virtual void grantLease(Duration TimeToLive, LeaseDone Callback) = 0;
  virtual void renewLease(LeaseId Lease, Done Callback) = 0;
  virtual void revokeLease(LeaseId Lease, Done Callback) = 0;
};

} // namespace havenstair

#endif
