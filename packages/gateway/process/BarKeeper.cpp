#include "gateway/process/BarKeeper.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/Json.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

constexpr const char *BarKeys = "barred/";
constexpr const char *LetThroughKeys = "let-through/";

/// In one transaction: half of what the store takes in one.
constexpr std::size_t MostAtOnce = 16;

} // namespace

BarKeeper::BarKeeper(CoordinationStore &Store, DecisionLog &Log,
                     std::string Prefix)
    : m_Store(Store), m_Log(Log), m_Prefix(std::move(Prefix)) {}

std::string BarKeeper::keyOf(const RequestDigest &Request) const {
  return m_Prefix + BarKeys + Request.str();
}

BarKeeper::News
BarKeeper::entriesChanged(const std::map<std::string, StoreItem> &Items) {
  m_Known = true;
  const std::set<RequestDigest> Before = std::exchange(m_Stored, {});
  const std::string BarStart = m_Prefix + BarKeys;
  const std::string FreeStart = m_Prefix + LetThroughKeys;
  News Result;
  for (const auto &[Key, Item] : Items) {
    if (Key.starts_with(FreeStart))
      Result.m_LetThrough.emplace(Key.substr(FreeStart.size()));
    if (!Key.starts_with(BarStart))
      continue;
    const RequestDigest Request(Key.substr(BarStart.size()));
    m_Stored.insert(Request);
    // One that was taken over before may have been cleared since.
    if (Before.contains(Request))
      continue;
    try {
      const Json Value = parseJson(Item.m_Value);
      Result.m_Bars[Request] = {
          .m_Servers = field<std::vector<InstanceId>>(Value, "servers"),
          .m_By = BoxName(field<std::string>(Value, "by"))};
    } catch (const DecodeError &Error) {
      m_Log.write("bad_bar", {{"key", Key}, {"why", Error.what()}});
    }
  }
  return Result;
}

void BarKeeper::write(const Bars &Wanted, TimePoint Now) {
  if (m_Writing || !m_Known)
    return;
  std::vector<RequestDigest> Surplus;
  for (const RequestDigest &Each : m_Stored)
    if (!Wanted.contains(Each) && Surplus.size() < MostAtOnce)
      Surplus.push_back(Each);
  if (!Surplus.empty())
    return remove(Surplus);
  Bars Missing;
  Duration Longest = 0us;
  for (const auto &[Request, Bar] : Wanted) {
    if (m_Stored.contains(Request) || Bar.m_Until <= Now ||
        Missing.size() >= MostAtOnce)
      continue;
    Missing[Request] = Bar;
    Longest = std::max(Longest, Bar.m_Until - Now);
  }
  if (Missing.empty())
    return;
  m_Writing = true;
  m_Store.grantLease(Longest, [this, Missing, Weak = std::weak_ptr(m_Alive)](
                                  StoreStatus Status, LeaseId Lease, Duration) {
    if (Weak.expired())
      return;
    if (Status == StoreStatus::Ok)
      return put(Lease, Missing);
    // The next call of write() tries again.
    m_Writing = false;
  });
}

void BarKeeper::put(LeaseId Lease, const Bars &Missing) {
  StoreTransaction Transaction;
  for (const auto &[Request, Bar] : Missing) {
    const Json Value{{"servers", Bar.m_Servers}, {"by", Bar.m_By.str()}};
    Transaction.m_Puts.push_back({.m_Key = keyOf(Request),
                                  .m_Value = dumpJson(Value),
                                  .m_Lease = Lease});
    m_Stored.insert(Request);
  }
  transact(Transaction);
}

void BarKeeper::remove(const std::vector<RequestDigest> &Surplus) {
  m_Writing = true;
  StoreTransaction Transaction;
  for (const RequestDigest &Each : Surplus) {
    Transaction.m_Removals.push_back(keyOf(Each));
    m_Stored.erase(Each);
  }
  transact(Transaction);
}

void BarKeeper::transact(const StoreTransaction &Transaction) {
  m_Store.transact(
      Transaction, [this, Transaction, Weak = std::weak_ptr(m_Alive)](
                       StoreStatus Status, StoreRevision) {
        if (Weak.expired())
          return;
        m_Writing = false;
        m_Log.write("bars_stored", {{"put", Transaction.m_Puts.size()},
                                    {"removed", Transaction.m_Removals.size()},
                                    {"ok", Status == StoreStatus::Ok}});
        if (Status == StoreStatus::Ok)
          return;
        // As it was, so that the next call of write() tries again.
        const std::size_t Start = m_Prefix.size() + std::string(BarKeys).size();
        for (const StorePut &Each : Transaction.m_Puts)
          m_Stored.erase(RequestDigest(Each.m_Key.substr(Start)));
        for (const std::string &Key : Transaction.m_Removals)
          m_Stored.insert(RequestDigest(Key.substr(Start)));
      });
}

} // namespace havenstair
