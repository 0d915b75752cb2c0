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
  for (const Route &Each : m_Routes) {
    const bool Fits =
        Each.m_Host == Host && Path.starts_with(Each.m_PathPrefix);
    const bool Longer =
        Best == nullptr || Each.m_PathPrefix.size() > Best->m_PathPrefix.size();
    if (Fits && Longer)
      Best = &Each;
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
  for (std::size_t Place = 0; Place < m_Organisations.size(); ++Place) {
    m_OrganisationPriorities.insert(m_Organisations[Place].m_Priority);
    for (const KeyHash &Key : m_Organisations[Place].m_Keys)
      m_KeyIndex.try_emplace(Key, Place);
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

const std::string &chooseSplit(const Route &Of, std::string_view Id) {
  double Sum = 0;
  for (const SplitShare &Each : Of.m_Split)
    Sum += Each.m_Weight;
  constexpr double Parts = 1 << 20;
  const auto Drawn = static_cast<double>(stableHash(Id, Of.m_Name) % (1 << 20));
  double Left = Drawn / Parts * Sum;
  for (const SplitShare &Each : Of.m_Split) {
    Left -= Each.m_Weight;
    if (Left < 0)
      return Each.m_Service;
  }
  return Of.m_Split.back().m_Service;
}

} // namespace havenstair
