/// \file
/// The region of each data centre.
#ifndef HAVENSTAIR_DECISIONS_COMMON_DATACENTREMAP_H
#define HAVENSTAIR_DECISIONS_COMMON_DATACENTREMAP_H

#include "decisions/common/Id.h"
#include <map>

namespace havenstair {

/// The operators' map from data centres to regions. A data centre that is not
/// on the map has no region.
class DataCentreMap {
public:
  DataCentreMap() = default;
  explicit DataCentreMap(std::map<DataCentreName, RegionName> Regions)
      : m_Regions(std::move(Regions)) {}

  bool operator==(const DataCentreMap &) const = default;

  /// The region of \p DataCentre; empty if it is not on the map.
  RegionName regionOf(const DataCentreName &DataCentre) const;
  const std::map<DataCentreName, RegionName> &regions() const {
    return m_Regions;
  }

private:
  std::map<DataCentreName, RegionName> m_Regions;
};

} // namespace havenstair

#endif
