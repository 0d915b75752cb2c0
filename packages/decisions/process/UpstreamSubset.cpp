#include "decisions/process/UpstreamSubset.h"

#include "decisions/common/StableHash.h"
#include <algorithm>
#include <unordered_map>

namespace havenstair {

namespace {

/// Assigns indexes to names in the order of their first use.
class Numbers {
public:
  std::size_t of(const std::string &Name) {
    return m_Known.try_emplace(Name, m_Known.size()).first->second;
  }
  std::size_t size() const { return m_Known.size(); }

private:
  std::unordered_map<std::string, std::size_t> m_Known;
};

/// Cannot be part of a name.
constexpr char Separator = '\n';

} // namespace

UpstreamSubset::UpstreamSubset(const std::vector<const UpstreamInstance *> &All,
                               const DataCentreMap &Map, Options Opts)
    : m_Opts(Opts) {
  number(All, Map);
  std::sort(
      m_Entries.begin(), m_Entries.end(), [](const Entry &A, const Entry &B) {
        return A.m_Order != B.m_Order ? A.m_Order < B.m_Order
                                      : A.m_Upstream->m_Id < B.m_Upstream->m_Id;
      });
}

void UpstreamSubset::number(const std::vector<const UpstreamInstance *> &All,
                            const DataCentreMap &Map) {
  Numbers DataCentres;
  Numbers Regions;
  Numbers Models;
  m_Entries.reserve(All.size());
  for (const UpstreamInstance *Each : All) {
    const DataCentreName DataCentre(Each->m_Zone);
    Entry Added{.m_Upstream = Each,
                .m_Order = stableHash(Each->m_Id),
                .m_DataCentre = DataCentres.of(Each->m_Zone),
                .m_Region = Regions.of(Map.regionOf(DataCentre).str()),
                .m_Models = {}};
    m_DataCentres.try_emplace(DataCentre, Added.m_DataCentre);
    // Streams go on at the version that began them, so each version counts by
    // itself.
    const std::string Group =
        Each->m_Service + Separator + Each->m_Software.str() + Separator;
    for (const ResidentModel &Model : Each->m_Models)
      Added.m_Models.push_back(Models.of(Group + Model.m_Name));
    // Upstreams of a service without models, and engines that hold none.
    if (Each->m_Models.empty())
      Added.m_Models.push_back(Models.of(Group));
    m_Entries.push_back(std::move(Added));
  }
  m_Regions = Regions.size();
  m_Models = Models.size();
}

UpstreamSubset::Selection
UpstreamSubset::choose(const std::vector<bool> &Local) const {
  struct Selected {
    std::size_t m_Replicas = 0;
    int m_Slots = 0;
  };
  std::vector<std::size_t> InRegion(m_Models * m_Regions);
  std::vector<Selected> InDataCentre(m_Models * m_DataCentres.size());
  Selection Result;
  for (const Entry &Each : m_Entries) {
    const UpstreamInstance &Upstream = *Each.m_Upstream;
    // A leaving upstream stays in the selection until it is gone, but does not
    // count, so that its successor is selected already.
    const std::size_t Counts = Upstream.m_Draining ? 0 : 1;
    bool Wanted = false;
    for (const std::size_t Model : Each.m_Models) {
      std::size_t &Regional = InRegion[Model * m_Regions + Each.m_Region];
      Wanted = Wanted || Regional < m_Opts.m_ReplicasPerRegion;
      Regional += Counts;
      if (!Local[Each.m_DataCentre])
        continue;
      Selected &InLocal =
          InDataCentre[Model * m_DataCentres.size() + Each.m_DataCentre];
      Wanted = Wanted || InLocal.m_Replicas < m_Opts.m_ReplicasPerDataCentre ||
               InLocal.m_Slots < m_Opts.m_SlotsPerDataCentre;
      InLocal.m_Replicas += Counts;
      InLocal.m_Slots += Upstream.m_Draining ? 0 : Upstream.m_Slots;
    }
    if (Wanted)
      Result.push_back(&Upstream);
  }
  return Result;
}

UpstreamSubset::Selection
UpstreamSubset::forDataCentre(const DataCentreName &DataCentre) const {
  std::vector<bool> Local(m_DataCentres.size());
  if (const auto Found = m_DataCentres.find(DataCentre);
      Found != m_DataCentres.end())
    Local[Found->second] = true;
  return choose(Local);
}

UpstreamSubset::Selection UpstreamSubset::forAll() const {
  return choose(std::vector<bool>(m_DataCentres.size(), true));
}

} // namespace havenstair
