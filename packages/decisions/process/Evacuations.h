/// \file
/// The data centres whose upstreams must get no requests.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_EVACUATIONS_H
#define HAVENSTAIR_DECISIONS_PROCESS_EVACUATIONS_H

#include "decisions/common/Id.h"
#include "decisions/common/StoreRevision.h"
#include <set>

namespace havenstair {

/// What operators have requested, as of one revision of the platform's store.
struct Evacuations {
  StoreRevision m_Revision;
  std::set<DataCentreName> m_DataCentres;

  bool operator==(const Evacuations &) const = default;

  /// Whether \p DataCentre is evacuated.
  bool contains(const DataCentreName &DataCentre) const {
    return m_DataCentres.contains(DataCentre);
  }
};

} // namespace havenstair

#endif
