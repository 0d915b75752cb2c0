/// \file
/// Which region each data centre lies in.
#ifndef HAVENSTAIR_DECISIONS_COMMON_DATACENTREMAP_H
#define HAVENSTAIR_DECISIONS_COMMON_DATACENTREMAP_H

#include "decisions/common/Id.h"
#include <map>

namespace havenstair {

/// The operators' map of data centres. One that is not on it has no region.
class DataCentreMap {
public:
  DataCentreMap() = default;
  explicit DataCentreMap(std::map<DataCentreName, RegionName> Regions)
      : m_Regions(std::move(Regions)) {}

  bool operator==(const DataCentreMap &) const = default;

  /// Empty for a data centre that is not on the map.
  RegionName regionOf(const DataCentreName &DataCentre) const;
  const std::map<DataCentreName, RegionName> &regions() const {
    return m_Regions;
  }

private:
  std::map<DataCentreName, RegionName> m_Regions;
};

} // namespace havenstair

#endif
