#include "gateway/process/QuarantineStore.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/Json.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

constexpr const char *QuarantineKeys = "barred/";
constexpr const char *ReleasedKeys = "let-through/";

/// How long a release that a restored store lacks holds unless it is written
/// again.
constexpr Duration KeepReleases = 10s;

/// Keys that one transaction changes: half of what the store accepts in one.
constexpr std::size_t MaxKeysPerTransaction = 16;

Json toJson(const Quarantine &Entry) {
  Json Beside = Json::array();
  for (const CrashSuspect &Each : Entry.m_Beside)
    Beside.push_back(Each.str());
  return {{"servers", Entry.m_Upstreams},
          {"beside", std::move(Beside)},
          {"by", Entry.m_By.str()},
          {"certain", Entry.m_Certain}};
}

/// \throws DecodeError for a value of another form.
Quarantine quarantineFrom(const Json &Value) {
  Quarantine Result{.m_Upstreams =
                        field<std::vector<InstanceId>>(Value, "servers"),
                    .m_By = BoxName(field<std::string>(Value, "by")),
                    .m_Certain = fieldOr<bool>(Value, "certain", true)};
  for (const std::string &Each :
       fieldOr<std::vector<std::string>>(Value, "beside", {}))
    Result.m_Beside.insert(CrashSuspect::parse(Each));
  return Result;
}

} // namespace

QuarantineStore::QuarantineStore(CoordinationStore &Store, DecisionLog &Log,
                                 std::string Prefix)
    : m_Store(Store), m_Log(Log), m_Prefix(std::move(Prefix)) {}

std::string QuarantineStore::keyOf(const CrashSuspect &Suspect) const {
  return m_Prefix + QuarantineKeys + Suspect.str();
}

bool QuarantineStore::isStored(const CrashSuspect &Suspect,
                               const Quarantine &Wanted) const {
  const auto Found = m_Stored.find(Suspect);
  return Found != m_Stored.end() && Found->second == holdOf(Wanted);
}

QuarantineStore::Changes
QuarantineStore::entriesChanged(const std::map<std::string, StoreItem> &Items,
                                const StoreRevision &At, TimePoint Now) {
  m_HasRead = true;
  const auto Before = std::exchange(m_Stored, {});
  const std::string QuarantinePrefix = m_Prefix + QuarantineKeys;
  const std::string ReleasedPrefix = m_Prefix + ReleasedKeys;
  Changes Result;
  for (const auto &[Key, Item] : Items) {
    if (Key.starts_with(ReleasedPrefix))
      Result.m_Released.insert(
          CrashSuspect::parse(Key.substr(ReleasedPrefix.size())));
    if (!Key.starts_with(QuarantinePrefix))
      continue;
    const CrashSuspect Suspect =
        CrashSuspect::parse(Key.substr(QuarantinePrefix.size()));
    try {
      const Quarantine Read = quarantineFrom(parseJson(Item.m_Value));
      m_Stored[Suspect] = holdOf(Read);
      // A quarantine that was adopted before may have been cleared since.
      if (!Before.contains(Suspect))
        Result.m_Added[Suspect] = Read;
    } catch (const DecodeError &Error) {
      // Not known as stored, so that it is not removed as surplus: a newer box
      // may read it.
      m_Log.write("bad_bar", {{"key", Key}, {"why", Error.what()}});
    }
  }
  keepReleases(Result.m_Released, At, Now);
  return Result;
}

void QuarantineStore::keepReleases(std::set<CrashSuspect> &Released,
                                   const StoreRevision &At, TimePoint Now) {
  if (!m_ReadAt.none() && At.m_Era > m_ReadAt.m_Era) {
    m_KeptReleases = m_Released;
    m_ReleasesKeptUntil = Now + KeepReleases;
  }
  m_ReadAt = At;
  if (Now >= m_ReleasesKeptUntil)
    m_KeptReleases.clear();
  for (const CrashSuspect &Each : Released)
    m_KeptReleases.erase(Each);
  Released.insert(m_KeptReleases.begin(), m_KeptReleases.end());
  m_Released = Released;
}

void QuarantineStore::reconcile(const Entries &Wanted, TimePoint Now) {
  if (m_InFlight || !m_HasRead)
    return;
  std::vector<CrashSuspect> Surplus;
  for (const auto &[Suspect, Hold] : m_Stored)
    if (!Wanted.contains(Suspect) && Surplus.size() < MaxKeysPerTransaction)
      Surplus.push_back(Suspect);
  if (!Surplus.empty())
    return remove(Surplus);
  Entries Missing;
  Duration Longest = 0us;
  for (const auto &[Suspect, Each] : Wanted) {
    if (isStored(Suspect, Each) || Each.m_Until <= Now ||
        Missing.size() >= MaxKeysPerTransaction)
      continue;
    Missing[Suspect] = Each;
    Longest = std::max(Longest, Each.m_Until - Now);
  }
  if (Missing.empty())
    return;
  m_InFlight = true;
  m_Store.grantLease(Longest, [this, Missing, Weak = std::weak_ptr(m_Alive)](
                                  StoreStatus Status, LeaseId Lease, Duration) {
    if (Weak.expired())
      return;
    if (Status == StoreStatus::Ok)
      return put(Lease, Missing);
    // The next call of reconcile() retries.
    m_InFlight = false;
  });
}

void QuarantineStore::put(LeaseId Lease, const Entries &Missing) {
  StoreTransaction Transaction;
  for (const auto &[Suspect, Each] : Missing) {
    Transaction.m_Puts.push_back({.m_Key = keyOf(Suspect),
                                  .m_Value = dumpJson(toJson(Each)),
                                  .m_Lease = Lease});
    m_Stored[Suspect] = holdOf(Each);
  }
  transact(Transaction);
}

void QuarantineStore::remove(const std::vector<CrashSuspect> &Surplus) {
  m_InFlight = true;
  StoreTransaction Transaction;
  for (const CrashSuspect &Suspect : Surplus) {
    Transaction.m_Removals.push_back(keyOf(Suspect));
    m_Stored.erase(Suspect);
  }
  transact(Transaction);
}

void QuarantineStore::transact(const StoreTransaction &Transaction) {
  m_Store.transact(
      Transaction, [this, Transaction, Weak = std::weak_ptr(m_Alive)](
                       StoreStatus Status, StoreRevision) {
        if (Weak.expired())
          return;
        m_InFlight = false;
        m_Log.write("bars_stored", {{"put", Transaction.m_Puts.size()},
                                    {"removed", Transaction.m_Removals.size()},
                                    {"ok", Status == StoreStatus::Ok}});
        if (Status == StoreStatus::Ok)
          return;
        // Restores the previous state, so that the next call of reconcile()
        // retries.
        const std::size_t Start =
            m_Prefix.size() + std::string(QuarantineKeys).size();
        for (const StorePut &Put : Transaction.m_Puts)
          m_Stored.erase(CrashSuspect::parse(Put.m_Key.substr(Start)));
        for (const std::string &Key : Transaction.m_Removals)
          m_Stored[CrashSuspect::parse(Key.substr(Start))];
      });
}

} // namespace havenstair
