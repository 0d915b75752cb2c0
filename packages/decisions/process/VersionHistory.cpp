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
  if (!m_KnownSince)
    m_KnownSince = Now;
  for (auto &[Service, Versions] : m_Services) {
    for (auto &[Version, At] : Versions)
      if (At == TimePoint::max())
        At = Now;
    std::erase_if(Versions, [&](const auto &Each) {
      return Now - Each.second > Memory + ForgetMargin;
    });
  }
  for (const auto &[Id, Each] : List.m_Instances)
    m_Services[Each.m_Service][Each.m_Software] = TimePoint::max();
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
    for (const auto &[Version, At] : Versions)
      if (within(At, Memory, Now))
        Result[Service].insert(Version);
  return Result;
}

bool VersionHistory::outlived(const std::string &Service,
                              const SoftwareVersion &Version,
                              TimePoint Now) const {
  constexpr Duration Limit = Memory + ForgetMargin;
  const auto Counts = [&](const auto &Known) {
    const auto Found = Known.find(Service);
    if (Found == Known.end())
      return false;
    const auto At = Found->second.find(Version);
    return At != Found->second.end() && within(At->second, Limit, Now);
  };
  return !Counts(m_Services) && !Counts(m_Learned);
}

/// \returns the versions that may have begun a stream of \p Service that its
/// caller can still take up.
SoftwareVersions VersionHistory::countedOf(const std::string &Service,
                                           TimePoint Now) const {
  SoftwareVersions Result;
  const auto Add = [&](const auto &Known) {
    const auto Found = Known.find(Service);
    if (Found == Known.end())
      return;
    for (const auto &[Version, At] : Found->second)
      if (within(At, Memory, Now))
        Result.insert(Version);
  };
  Add(m_Services);
  Add(m_Learned);
  return Result;
}

VersionHistory::Versions VersionHistory::versionsOf(const std::string &Service,
                                                    TimePoint Now) const {
  Versions Result{.m_Only = std::nullopt,
                  .m_Several = false,
                  .m_Certain = m_KnownSince && Now - *m_KnownSince >= Memory};
  const SoftwareVersions Counted = countedOf(Service, Now);
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
