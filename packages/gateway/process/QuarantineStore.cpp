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

} // namespace

QuarantineStore::QuarantineStore(CoordinationStore &Store, DecisionLog &Log,
                                 std::string Prefix)
    : m_Store(Store), m_Log(Log), m_Prefix(std::move(Prefix)) {}

std::string QuarantineStore::keyOf(const RequestDigest &Request) const {
  return m_Prefix + QuarantineKeys + Request.str();
}

QuarantineStore::Changes
QuarantineStore::entriesChanged(const std::map<std::string, StoreItem> &Items,
                                const StoreRevision &At, TimePoint Now) {
  m_HasRead = true;
  const std::set<RequestDigest> Before = std::exchange(m_Stored, {});
  const std::string QuarantinePrefix = m_Prefix + QuarantineKeys;
  const std::string ReleasedPrefix = m_Prefix + ReleasedKeys;
  Changes Result;
  for (const auto &[Key, Item] : Items) {
    if (Key.starts_with(ReleasedPrefix))
      Result.m_Released.emplace(Key.substr(ReleasedPrefix.size()));
    if (!Key.starts_with(QuarantinePrefix))
      continue;
    const RequestDigest Request(Key.substr(QuarantinePrefix.size()));
    m_Stored.insert(Request);
    // A quarantine that was adopted before may have been cleared since.
    if (Before.contains(Request))
      continue;
    try {
      const Json Value = parseJson(Item.m_Value);
      Result.m_Added[Request] = {
          .m_Upstreams = field<std::vector<InstanceId>>(Value, "servers"),
          .m_By = BoxName(field<std::string>(Value, "by"))};
    } catch (const DecodeError &Error) {
      m_Log.write("bad_bar", {{"key", Key}, {"why", Error.what()}});
    }
  }
  keepReleases(Result.m_Released, At, Now);
  return Result;
}

void QuarantineStore::keepReleases(std::set<RequestDigest> &Released,
                                   const StoreRevision &At, TimePoint Now) {
  if (!m_ReadAt.none() && At.m_Era > m_ReadAt.m_Era) {
    m_KeptReleases = m_Released;
    m_ReleasesKeptUntil = Now + KeepReleases;
  }
  m_ReadAt = At;
  if (Now >= m_ReleasesKeptUntil)
    m_KeptReleases.clear();
  for (const RequestDigest &Each : Released)
    m_KeptReleases.erase(Each);
  Released.insert(m_KeptReleases.begin(), m_KeptReleases.end());
  m_Released = Released;
}

void QuarantineStore::reconcile(const Entries &Wanted, TimePoint Now) {
  if (m_InFlight || !m_HasRead)
    return;
  std::vector<RequestDigest> Surplus;
  for (const RequestDigest &Request : m_Stored)
    if (!Wanted.contains(Request) && Surplus.size() < MaxKeysPerTransaction)
      Surplus.push_back(Request);
  if (!Surplus.empty())
    return remove(Surplus);
  Entries Missing;
  Duration Longest = 0us;
  for (const auto &[Request, Quarantine] : Wanted) {
    if (m_Stored.contains(Request) || Quarantine.m_Until <= Now ||
        Missing.size() >= MaxKeysPerTransaction)
      continue;
    Missing[Request] = Quarantine;
    Longest = std::max(Longest, Quarantine.m_Until - Now);
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
  for (const auto &[Request, Quarantine] : Missing) {
    const Json Value{{"servers", Quarantine.m_Upstreams},
                     {"by", Quarantine.m_By.str()}};
    Transaction.m_Puts.push_back({.m_Key = keyOf(Request),
                                  .m_Value = dumpJson(Value),
                                  .m_Lease = Lease});
    m_Stored.insert(Request);
  }
  transact(Transaction);
}

void QuarantineStore::remove(const std::vector<RequestDigest> &Surplus) {
  m_InFlight = true;
  StoreTransaction Transaction;
  for (const RequestDigest &Request : Surplus) {
    Transaction.m_Removals.push_back(keyOf(Request));
    m_Stored.erase(Request);
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
          m_Stored.erase(RequestDigest(Put.m_Key.substr(Start)));
        for (const std::string &Key : Transaction.m_Removals)
          m_Stored.insert(RequestDigest(Key.substr(Start)));
      });
}

} // namespace havenstair
