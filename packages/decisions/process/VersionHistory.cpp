#include "decisions/process/VersionHistory.h"

#include <algorithm>

namespace havenstair {

namespace {

/// Whether \p At is the maximum, or no longer than \p Limit ago.
bool within(TimePoint At, Duration Limit, TimePoint Now) {
  return At == TimePoint::max() || Now - At <= Limit;
}

} // namespace

void VersionHistory::update(const InstanceList &List, TimePoint Now) {
  for (auto &[Service, Versions] : m_Services) {
    for (auto &[Version, Each] : Versions)
      if (Each.m_Last == TimePoint::max())
        Each.m_Last = Now;
    std::erase_if(Versions, [&](const auto &Each) {
      return Now - Each.second.m_Last > Memory + ForgetMargin;
    });
  }
  for (const auto &[Id, Each] : List.m_Instances)
    m_Services[Each.m_Service]
        .emplace(Each.m_Software, Listed{.m_Since = Now, .m_Last = Now})
        .first->second.m_Last = TimePoint::max();
  std::erase_if(m_Services,
                [](const auto &Each) { return Each.second.empty(); });
}

void VersionHistory::learn(const std::string &Service,
                           const SoftwareVersions &Named, TimePoint Now) {
  std::map<SoftwareVersion, TimePoint> &Known = m_Learned[Service];
  std::erase_if(Known,
                [&](const auto &Each) { return !Named.contains(Each.first); });
  for (const SoftwareVersion &Each : Named)
    Known.emplace(Each, Now);
  if (Known.empty())
    m_Learned.erase(Service);
}

std::map<std::string, SoftwareVersions>
VersionHistory::observed(TimePoint Now) const {
  std::map<std::string, SoftwareVersions> Result;
  for (const auto &[Service, Versions] : m_Services)
    for (const auto &[Version, Each] : Versions)
      if (within(Each.m_Last, Memory, Now))
        Result[Service].insert(Version);
  return Result;
}

Duration VersionHistory::listedFor(const std::string &Service,
                                   const SoftwareVersion &Version,
                                   TimePoint Now) const {
  const auto Found = m_Services.find(Service);
  if (Found == m_Services.end())
    return 0us;
  const auto Each = Found->second.find(Version);
  if (Each == Found->second.end() || Each->second.m_Last != TimePoint::max())
    return 0us;
  return Now - Each->second.m_Since;
}

bool VersionHistory::outlived(const std::string &Service,
                              const SoftwareVersion &Version,
                              TimePoint Now) const {
  constexpr Duration Limit = Memory + ForgetMargin;
  const auto Since = listKnownSince(Now);
  return Since && Now - *Since >= Limit &&
         !countedOf(Service, Limit, Now).contains(Version);
}

/// \returns the versions of \p Service that were listed within \p Limit, or
/// that this box has learned of within it.
SoftwareVersions VersionHistory::countedOf(const std::string &Service,
                                           Duration Limit,
                                           TimePoint Now) const {
  SoftwareVersions Result;
  if (const auto Found = m_Services.find(Service); Found != m_Services.end())
    for (const auto &[Version, Each] : Found->second)
      if (within(Each.m_Last, Limit, Now))
        Result.insert(Version);
  if (const auto Found = m_Learned.find(Service); Found != m_Learned.end())
    for (const auto &[Version, At] : Found->second)
      if (within(At, Limit, Now))
        Result.insert(Version);
  return Result;
}

VersionHistory::Versions VersionHistory::versionsOf(const std::string &Service,
                                                    TimePoint Now) const {
  const auto Since = listKnownSince(Now);
  Versions Result{.m_Only = std::nullopt,
                  .m_Several = false,
                  .m_Certain = Since && Now - *Since >= Memory};
  const SoftwareVersions Counted = countedOf(Service, Memory, Now);
  Result.m_Several = Counted.size() > 1 || Counted.contains(SoftwareVersion());
  if (Counted.size() == 1 && !Result.m_Several)
    Result.m_Only = *Counted.begin();
  return Result;
}

std::set<std::string> VersionHistory::servicesWithSeveral(TimePoint Now) const {
  std::set<std::string> Result;
  for (const auto &[Service, Versions] : observed(Now))
    if (Versions.size() > 1)
      Result.insert(Service);
  return Result;
}

bool VersionHistory::anySeveral(TimePoint Now) const {
  return std::any_of(
      m_Services.begin(), m_Services.end(),
      [&](const auto &Each) { return versionsOf(Each.first, Now).m_Several; });
}

} // namespace havenstair
