#include "decisions/version/ServingConfig.h"

#include "decisions/common/StableHash.h"
#include <algorithm>

namespace havenstair {

const ModelSpec *EngineSpec::model(std::string_view Name) const {
  const auto Found =
      std::find_if(m_Models.begin(), m_Models.end(),
                   [&](const ModelSpec &Each) { return Each.m_Name == Name; });
  return Found == m_Models.end() ? nullptr : &*Found;
}

const Route *ServingConfig::route(std::string_view Host,
                                  std::string_view Path) const {
  const Route *Best = nullptr;
  for (const Route &Candidate : m_Routes) {
    const bool Matches =
        Candidate.m_Host == Host && Path.starts_with(Candidate.m_PathPrefix);
    const bool Longer = Best == nullptr || Candidate.m_PathPrefix.size() >
                                               Best->m_PathPrefix.size();
    if (Matches && Longer)
      Best = &Candidate;
  }
  return Best;
}

const ServiceSpec *ServingConfig::service(std::string_view Name) const {
  const auto Found = std::find_if(
      m_Services.begin(), m_Services.end(),
      [&](const ServiceSpec &Each) { return Each.m_Name == Name; });
  return Found == m_Services.end() ? nullptr : &*Found;
}

int ServingConfig::slotsOf(std::string_view Service) const {
  const ServiceSpec *Found = service(Service);
  return Found != nullptr && Found->m_Engine
             ? std::max(1, Found->m_Engine->m_Slots)
             : 1;
}

void ServingConfig::indexOrganisations() {
  m_KeyIndex.clear();
  m_OrganisationPriorities.clear();
  for (std::size_t Index = 0; Index < m_Organisations.size(); ++Index) {
    m_OrganisationPriorities.insert(m_Organisations[Index].m_Priority);
    for (const KeyHash &Key : m_Organisations[Index].m_Keys)
      m_KeyIndex.try_emplace(Key, Index);
  }
}

std::optional<Duration> ServingConfig::shortestStoreLoad() const {
  std::optional<Duration> Shortest;
  for (const ServiceSpec &Service : m_Services)
    if (Service.m_Engine)
      for (const ModelSpec &Model : Service.m_Engine->m_Models)
        Shortest =
            std::min(Shortest.value_or(Model.m_StoreLoad), Model.m_StoreLoad);
  return Shortest;
}

const Organisation *ServingConfig::organisationFor(const KeyHash &Key) const {
  const auto Found = m_KeyIndex.find(Key);
  return Found == m_KeyIndex.end() ? nullptr : &m_Organisations[Found->second];
}

const std::string &chooseSplit(const Route &MatchedRoute, std::string_view Id) {
  double Sum = 0;
  for (const SplitShare &Share : MatchedRoute.m_Split)
    Sum += Share.m_Weight;
  constexpr double Parts = 1 << 20;
  const auto Drawn =
      static_cast<double>(stableHash(Id, MatchedRoute.m_Name) % (1 << 20));
  double Left = Drawn / Parts * Sum;
  for (const SplitShare &Share : MatchedRoute.m_Split) {
    Left -= Share.m_Weight;
    if (Left < 0)
      return Share.m_Service;
  }
  return MatchedRoute.m_Split.back().m_Service;
}

} // namespace havenstair
