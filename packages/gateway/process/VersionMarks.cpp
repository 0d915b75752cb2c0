#include "gateway/process/VersionMarks.h"

#include "decisions/process/VersionHistory.h"
#include "gateway/common/DecisionLog.h"
#include <string_view>
#include <utility>

namespace havenstair {

namespace {

constexpr std::string_view MarkKeys = "versions/";

/// A mark outlives the last time that a service had several versions by a
/// stream's longest life, whenever the box that writes was lost.
constexpr Duration RefreshInterval = VersionHistory::Memory / 4;
constexpr Duration MarkLife = VersionHistory::Memory + RefreshInterval;

constexpr std::size_t MaxKeysPerTransaction = 16;

} // namespace

VersionMarks::VersionMarks(CoordinationStore &Store, DecisionLog &Log,
                           std::string Prefix)
    : m_Store(Store), m_Log(Log), m_Prefix(std::move(Prefix)) {
  m_Prefix += MarkKeys;
}

void VersionMarks::entriesChanged(
    const std::map<std::string, StoreItem> &Items) {
  m_HasRead = true;
  m_Marked.clear();
  for (auto Each = Items.lower_bound(m_Prefix);
       Each != Items.end() && Each->first.starts_with(m_Prefix); ++Each)
    m_Marked.insert(Each->first.substr(m_Prefix.size()));
}

void VersionMarks::refresh(const std::set<std::string> &Several,
                           TimePoint Now) {
  if (m_InFlight)
    return;
  std::erase_if(m_WrittenAt, [&](const auto &Each) {
    return Now - Each.second >= RefreshInterval;
  });
  std::set<std::string> Due;
  for (const std::string &Service : Several)
    if ((!m_WrittenAt.contains(Service) || !m_Marked.contains(Service)) &&
        Due.size() < MaxKeysPerTransaction)
      Due.insert(Service);
  if (Due.empty())
    return;
  m_InFlight = true;
  m_Store.grantLease(MarkLife,
                     [this, Due, Now, Weak = std::weak_ptr(m_Alive)](
                         StoreStatus Status, LeaseId Lease, Duration) {
                       if (Weak.expired())
                         return;
                       if (Status == StoreStatus::Ok)
                         return put(Lease, Due, Now);
                       // The next refresh() tries again.
                       m_InFlight = false;
                     });
}

void VersionMarks::put(LeaseId Lease, const std::set<std::string> &Services,
                       TimePoint Now) {
  StoreTransaction Transaction;
  for (const std::string &Service : Services)
    Transaction.m_Puts.push_back(
        {.m_Key = m_Prefix + Service, .m_Value = "{}", .m_Lease = Lease});
  m_Store.transact(Transaction, [this, Services, Now,
                                 Weak = std::weak_ptr(m_Alive)](
                                    StoreStatus Status, StoreRevision) {
    if (Weak.expired())
      return;
    m_InFlight = false;
    m_Log.write("versions_marked",
                {{"services", Services}, {"ok", Status == StoreStatus::Ok}});
    if (Status != StoreStatus::Ok)
      return;
    for (const std::string &Service : Services) {
      m_WrittenAt[Service] = Now;
      m_Marked.insert(Service);
    }
  });
}

} // namespace havenstair
