#include "decisions/common/DataCentreMap.h"

namespace havenstair {

RegionName DataCentreMap::regionOf(const DataCentreName &DataCentre) const {
  const auto Found = m_Regions.find(DataCentre);
  return Found == m_Regions.end() ? RegionName() : Found->second;
}

} // namespace havenstair
