#include "decisions/process/Shortlist.h"

#include "decisions/common/StableHash.h"
#include <algorithm>
#include <unordered_map>

namespace havenstair {

namespace {

/// Numbers names in the order in which they come.
class Numbers {
public:
  std::size_t of(const std::string &Name) {
    return m_Known.try_emplace(Name, m_Known.size()).first->second;
  }
  std::size_t size() const { return m_Known.size(); }

private:
  std::unordered_map<std::string, std::size_t> m_Known;
};

/// Names cannot hold it.
constexpr char Separator = '\n';

} // namespace

Shortlist::Shortlist(const std::vector<const UpstreamInstance *> &All,
                     const DataCentreMap &Map, Options Opts)
    : m_Opts(Opts) {
  number(All, Map);
  std::sort(
      m_Entries.begin(), m_Entries.end(), [](const Entry &A, const Entry &B) {
        return A.m_Order != B.m_Order ? A.m_Order < B.m_Order
                                      : A.m_Upstream->m_Id < B.m_Upstream->m_Id;
      });
}

void Shortlist::number(const std::vector<const UpstreamInstance *> &All,
                       const DataCentreMap &Map) {
  Numbers DataCentres;
  Numbers Regions;
  Numbers Models;
  m_Entries.reserve(All.size());
  for (const UpstreamInstance *Each : All) {
    const DataCentreName DataCentre(Each->m_Zone);
    Entry Of{.m_Upstream = Each,
             .m_Order = stableHash(Each->m_Id),
             .m_DataCentre = DataCentres.of(Each->m_Zone),
             .m_Region = Regions.of(Map.regionOf(DataCentre).str()),
             .m_Models = {}};
    m_DataCentres.try_emplace(DataCentre, Of.m_DataCentre);
    for (const ResidentModel &Model : Each->m_Models)
      Of.m_Models.push_back(
          Models.of(Each->m_Service + Separator + Model.m_Name));
    // Servers of a service without models, and engines that hold none.
    if (Each->m_Models.empty())
      Of.m_Models.push_back(Models.of(Each->m_Service + Separator));
    m_Entries.push_back(std::move(Of));
  }
  m_Regions = Regions.size();
  m_Models = Models.size();
}

Shortlist::Chosen Shortlist::choose(const std::vector<bool> &Here) const {
  struct Taken {
    std::size_t m_Replicas = 0;
    int m_Slots = 0;
  };
  std::vector<std::size_t> InRegion(m_Models * m_Regions);
  std::vector<Taken> InDataCentre(m_Models * m_DataCentres.size());
  Chosen Result;
  for (const Entry &Each : m_Entries) {
    const UpstreamInstance &Of = *Each.m_Upstream;
    // One that leaves stays until it is gone, and its successor stands by.
    const std::size_t Counts = Of.m_Draining ? 0 : 1;
    bool Wanted = false;
    for (const std::size_t Model : Each.m_Models) {
      std::size_t &Regional = InRegion[Model * m_Regions + Each.m_Region];
      Wanted = Wanted || Regional < m_Opts.m_PerRegion;
      Regional += Counts;
      if (!Here[Each.m_DataCentre])
        continue;
      Taken &Local =
          InDataCentre[Model * m_DataCentres.size() + Each.m_DataCentre];
      Wanted = Wanted || Local.m_Replicas < m_Opts.m_PerDataCentre ||
               Local.m_Slots < m_Opts.m_SlotsPerDataCentre;
      Local.m_Replicas += Counts;
      Local.m_Slots += Of.m_Draining ? 0 : Of.m_Slots;
    }
    if (Wanted)
      Result.push_back(&Of);
  }
  return Result;
}

Shortlist::Chosen
Shortlist::forDataCentre(const DataCentreName &DataCentre) const {
  std::vector<bool> Here(m_DataCentres.size());
  if (const auto Found = m_DataCentres.find(DataCentre);
      Found != m_DataCentres.end())
    Here[Found->second] = true;
  return choose(Here);
}

Shortlist::Chosen Shortlist::forAll() const {
  return choose(std::vector<bool>(m_DataCentres.size(), true));
}

} // namespace havenstair
