#include "decisions/process/DataCentreRisk.h"

#include "decisions/process/ReplicaSnapshot.h"
#include <algorithm>
#include <map>
#include <numeric>

namespace havenstair {

namespace {

/// Work that \p Replicas lose per second when \p Demand is spread over them.
double lostBy(int Replicas, double Demand) {
  return Replicas * lostWork(Demand / Replicas);
}

} // namespace

DataCentreRisk::DataCentreRisk(const std::vector<PlannedEngine> &Engines,
                               double Weight)
    : m_Weight(Weight) {
  std::map<DataCentreName, std::size_t> Numbers;
  for (const PlannedEngine &Each : Engines)
    m_DataCentre.push_back(
        Numbers.try_emplace(Each.m_DataCentre, Numbers.size()).first->second);
  m_DataCentres = Numbers.size();
}

void DataCentreRisk::add(std::size_t Engine, const std::string &Model) {
  Counts &Replicas = m_Replicas[Model];
  Replicas.resize(m_DataCentres);
  ++Replicas[m_DataCentre[Engine]];
}

void DataCentreRisk::remove(std::size_t Engine, const std::string &Model) {
  --m_Replicas.at(Model)[m_DataCentre[Engine]];
}

double DataCentreRisk::reduction(const std::string &Model,
                                 const Work &Requested,
                                 const Change &To) const {
  if (m_Weight <= 0 || m_DataCentres < 2)
    return 0;
  const auto Found = m_Replicas.find(Model);
  const Counts Before =
      Found == m_Replicas.end() ? Counts(m_DataCentres) : Found->second;
  Counts After = Before;
  if (To.m_More)
    ++After[m_DataCentre[*To.m_More]];
  if (To.m_Less)
    --After[m_DataCentre[*To.m_Less]];
  return m_Weight *
         (additionalLoss(Before, Requested) - additionalLoss(After, Requested));
}

/// The additional loss when the data centre with most replicas fails. A model
/// that no engine holds cannot lose more: a first replica anywhere is no more
/// at risk than none.
double DataCentreRisk::additionalLoss(const Counts &Replicas,
                                      const Work &Requested) const {
  const int All = std::accumulate(Replicas.begin(), Replicas.end(), 0);
  const int Left = All - *std::max_element(Replicas.begin(), Replicas.end());
  if (Left <= 0)
    return Requested.m_Unreachable;
  return std::min(Requested.m_Unreachable, lostBy(Left, Requested.m_Demand) -
                                               lostBy(All, Requested.m_Demand));
}

} // namespace havenstair
