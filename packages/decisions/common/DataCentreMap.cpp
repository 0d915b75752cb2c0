#include "decisions/common/DataCentreMap.h"

namespace havenstair {

RegionName DataCentreMap::regionOf(const DataCentreName &DataCentre) const {
  const auto Found = m_Regions.find(DataCentre);
  return Found == m_Regions.end() ? RegionName() : Found->second;
}

DistanceClass DataCentreMap::distance(const DataCentreName &A,
                                      const DataCentreName &B) const {
  if (A == B)
    return DistanceClass::SameDataCentre;
  const RegionName Region = regionOf(A);
  return !Region.empty() && Region == regionOf(B) ? DistanceClass::SameRegion
                                                  : DistanceClass::OtherRegion;
}

} // namespace havenstair
