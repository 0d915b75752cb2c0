#include "gateway/process/VersionRecords.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/EventLoop.h"
#include "wire/common/Json.h"
#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace havenstair {

namespace {

constexpr std::string_view RecordKeys = "software/";

/// Keys that one transaction changes: half of what the store accepts in one.
constexpr std::size_t MaxKeysPerTransaction = 16;

Json toJson(const SoftwareVersions &Versions) {
  Json Result = Json::array();
  for (const SoftwareVersion &Each : Versions)
    Result.push_back(Each.str());
  return Result;
}

bool contains(const SoftwareVersions &All, const SoftwareVersions &Some) {
  return std::includes(All.begin(), All.end(), Some.begin(), Some.end());
}

/// \returns the first one of \p Versions: the only one, or \p Before. Streams
/// of a version that is not stated leave none.
std::optional<SoftwareVersion>
firstAmong(const SoftwareVersions &Versions,
           const std::optional<SoftwareVersion> &Before) {
  if (Versions.empty() || Versions.contains(SoftwareVersion()))
    return std::nullopt;
  if (Versions.size() == 1)
    return *Versions.begin();
  return Before && Versions.contains(*Before) ? Before : std::nullopt;
}

} // namespace

VersionRecords::VersionRecords(CoordinationStore &Store, DecisionLog &Log,
                               Options Opts, VersionHistory &History)
    : m_Store(Store), m_Log(Log), m_Opts(std::move(Opts)), m_History(History) {
  m_Opts.m_Prefix += RecordKeys;
}

bool VersionRecords::names(const std::string &Service,
                           const SoftwareVersion &Software) const {
  const auto Found = m_Records.find(Service);
  return Found != m_Records.end() &&
         Found->second.m_Versions.contains(Software);
}

std::optional<SoftwareVersion>
VersionRecords::firstOf(const std::string &Service) const {
  const auto Found = m_Records.find(Service);
  return Found == m_Records.end() ? std::nullopt : Found->second.m_First;
}

void VersionRecords::entriesChanged(
    const std::map<std::string, StoreItem> &Items, const StoreRevision &At,
    TimePoint Now) {
  // The first copy of the keys may be seconds old; a read of our own is not.
  if (m_Read && At >= m_At)
    adopt(Items, At, Now);
}

void VersionRecords::readAfresh(std::function<void()> Call) {
  // The read in flight may have been made before.
  auto &Waiting = m_Reading ? m_AfterNextRead : m_AfterRead;
  Waiting.push_back(std::move(Call));
  readIfAwaited();
}

void VersionRecords::readIfAwaited() {
  if (!m_InFlight && !m_AfterRead.empty())
    read();
}

/// Versions that came and went while the list was not known are in the keys
/// only.
bool VersionRecords::mustRead(TimePoint Now) const {
  const auto Since = m_History.listKnownSince(Now);
  return !m_Read || (Since && m_ReadAt < *Since);
}

void VersionRecords::read() {
  m_InFlight = true;
  m_Reading = true;
  m_Store.range(m_Opts.m_Prefix, ReadKind::Current,
                [this, SentAt = EventLoop::now(),
                 Weak = std::weak_ptr(m_Alive)](const StoreItems &Result) {
                  if (!Weak.expired())
                    onRead(Result, SentAt);
                });
}

void VersionRecords::onRead(const StoreItems &Result, TimePoint SentAt) {
  m_InFlight = false;
  m_Reading = false;
  // After a failure, the next refresh() reads again.
  if (Result.m_Status == StoreStatus::Ok) {
    std::map<std::string, StoreItem> Items;
    for (const StoreItem &Each : Result.m_Items)
      Items[Each.m_Key] = Each;
    const TimePoint Now = EventLoop::now();
    adopt(Items, Result.m_At, Now);
    m_Read = true;
    m_ReadAt = SentAt;
    refresh(Now);
  }
  const auto Ended =
      std::exchange(m_AfterRead, std::exchange(m_AfterNextRead, {}));
  readIfAwaited();
  for (const auto &Each : Ended)
    Each();
}

VersionRecords::Record VersionRecords::decode(const StoreItem &Item,
                                              const StoreRevision &At) const {
  Record Result{.m_Versions = {}, .m_Revision = Item.m_Revision};
  try {
    const Json Value = parseJson(Item.m_Value);
    for (const std::string &Each :
         field<std::vector<std::string>>(Value, "versions"))
      Result.m_Versions.insert(softwareVersionOf(Each));
    Result.m_Outdated = field<StoreEra>(Value, "era") != At.m_Era;
    const auto First = fieldOr<std::string>(Value, "first", "");
    if (!First.empty())
      Result.m_First = softwareVersionOf(First);
  } catch (const DecodeError &Error) {
    Result.m_Outdated = true;
    m_Log.write("bad_version_record",
                {{"key", Item.m_Key}, {"why", Error.what()}});
  }
  return Result;
}

/// An outdated key may lack versions: those that this box has learned before,
/// or unknown ones.
VersionRecords::Record VersionRecords::combine(Record Read,
                                               const Record *Before) const {
  if (!Read.m_Outdated)
    return Read;
  Read.m_First.reset();
  if (Before != nullptr)
    Read.m_Versions.insert(Before->m_Versions.begin(),
                           Before->m_Versions.end());
  if (!m_Read)
    Read.m_Versions.insert(SoftwareVersion());
  return Read;
}

void VersionRecords::adopt(const std::map<std::string, StoreItem> &Items,
                           const StoreRevision &At, TimePoint Now) {
  const bool Restored = m_Read && At.m_Era > m_At.m_Era;
  m_At = At;
  const Records Before = std::exchange(m_Records, {});
  if (Restored)
    for (const auto &[Service, Each] : Before)
      m_Records[Service] = {.m_Versions = Each.m_Versions, .m_Outdated = true};
  for (auto Each = Items.lower_bound(m_Opts.m_Prefix);
       Each != Items.end() && Each->first.starts_with(m_Opts.m_Prefix);
       ++Each) {
    const std::string Service = Each->first.substr(m_Opts.m_Prefix.size());
    const auto Known = Before.find(Service);
    m_Records[Service] =
        combine(decode(Each->second, At),
                Known == Before.end() ? nullptr : &Known->second);
  }
  for (const auto &[Service, Each] : Before)
    if (!m_Records.contains(Service))
      m_History.learn(Service, {}, Now);
  std::erase_if(m_Judged, [&](const std::string &Service) {
    return !m_Records.contains(Service);
  });
  for (const auto &[Service, Each] : m_Records)
    m_History.learn(Service, Each.m_Versions, Now);
}

/// A service that has upstreams but no key may have had other versions, unless
/// there were no boxes before, or this box would have listed them.
void VersionRecords::judgeMissing(TimePoint Now) {
  for (const auto &[Service, Versions] : m_History.observed(Now)) {
    const bool Judged = !m_Judged.insert(Service).second;
    if (Judged || m_Opts.m_FirstStart || m_Records.contains(Service) ||
        m_History.versionsOf(Service, Now).m_Certain)
      continue;
    m_Log.write("version_record_missing", {{"service", Service}});
    m_Records[Service] = {.m_Versions = {SoftwareVersion()},
                          .m_Outdated = true};
    m_History.learn(Service, {SoftwareVersion()}, Now);
  }
}

void VersionRecords::refresh(TimePoint Now) {
  if (mustRead(Now)) {
    if (!m_InFlight)
      read();
    return;
  }
  judgeMissing(Now);
  if (m_InFlight)
    return;
  const auto Due = due(Now);
  if (!Due.empty())
    write(Due);
}

/// \returns the keys that have to be written as they are to be, each with the
/// revision that it has now.
VersionRecords::Records VersionRecords::due(TimePoint Now) const {
  Records Result;
  const auto Consider = [&](const std::string &Service,
                            SoftwareVersions Wanted) {
    const auto Found = m_Records.find(Service);
    const Record Known = Found == m_Records.end() ? Record{} : Found->second;
    bool Change = Known.m_Outdated || !contains(Known.m_Versions, Wanted);
    for (const SoftwareVersion &Each : Known.m_Versions)
      if (m_History.outlived(Service, Each, Now))
        Change = true;
      else
        Wanted.insert(Each);
    if (!Change || Result.size() >= MaxKeysPerTransaction)
      return;
    Record &Next = Result[Service];
    Next = {.m_Versions = std::move(Wanted), .m_Revision = Known.m_Revision};
    Next.m_First = firstAmong(Next.m_Versions, Known.m_First);
  };
  const auto Observed = m_History.observed(Now);
  for (const auto &[Service, Versions] : Observed)
    Consider(Service, Versions);
  for (const auto &[Service, Each] : m_Records)
    if (!Observed.contains(Service))
      Consider(Service, {});
  return Result;
}

void VersionRecords::write(const Records &Due) {
  StoreTransaction Transaction;
  for (const auto &[Service, Next] : Due) {
    const std::string Key = m_Opts.m_Prefix + Service;
    Transaction.m_Conditions.push_back(
        {.m_Key = Key, .m_Revision = Next.m_Revision});
    if (Next.m_Versions.empty()) {
      Transaction.m_Removals.push_back(Key);
      continue;
    }
    Json Value = {{"era", m_At.m_Era}, {"versions", toJson(Next.m_Versions)}};
    if (Next.m_First)
      Value["first"] = Next.m_First->str();
    Transaction.m_Puts.push_back({.m_Key = Key, .m_Value = dumpJson(Value)});
  }
  m_InFlight = true;
  m_Store.transact(Transaction,
                   [this, Due, Weak = std::weak_ptr(m_Alive)](
                       StoreStatus Status, const StoreRevision &At) {
                     if (Weak.expired())
                       return;
                     m_InFlight = false;
                     onWritten(Due, Status, At);
                     readIfAwaited();
                   });
}

void VersionRecords::onWritten(const Records &Due, StoreStatus Status,
                               const StoreRevision &At) {
  Json Written = Json::object();
  for (const auto &[Service, Next] : Due)
    Written[Service] = toJson(Next.m_Versions);
  m_Log.write("versions_recorded", {{"services", std::move(Written)},
                                    {"outcome", toString(Status)}});
  const TimePoint Now = EventLoop::now();
  if (Status == StoreStatus::Conflict)
    return read();
  // What is still missing is written by the next refresh().
  if (Status != StoreStatus::Ok)
    return;
  m_At = std::max(m_At, At);
  for (const auto &[Service, Next] : Due) {
    if (Next.m_Versions.empty()) {
      m_Records.erase(Service);
    } else {
      m_Records[Service] = Next;
      m_Records[Service].m_Revision = At;
    }
    m_History.learn(Service, Next.m_Versions, Now);
  }
  refresh(Now);
}

} // namespace havenstair
