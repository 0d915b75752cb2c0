/// \file
/// Picks the upstreams of a long list that a box needs to know.
/// See docs/design/fleet-size.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMSUBSET_H
#define HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMSUBSET_H

#include "decisions/common/DataCentreMap.h"
#include "decisions/process/UpstreamInstance.h"
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

/// Selects some replicas of each model, and some upstreams of each service
/// without models, at each software version. Their number grows with models and
/// data centres, not with upstreams. Upstreams are taken in the order of a
/// stable hash, so that all boxes with the same list select the same ones, and
/// a change of the list changes the selection little. Subsetting a selection
/// again returns it whole.
class UpstreamSubset {
public:
  struct Options {
    /// Replicas of each model in each region; all boxes know these.
    std::size_t m_ReplicasPerRegion = 16;
    /// Replicas of each model in a data centre, which must go on while it is
    /// cut off from the others: at least this many, and more until they have
    /// `m_SlotsPerDataCentre` slots.
    std::size_t m_ReplicasPerDataCentre = 8;
    int m_SlotsPerDataCentre = 512;
  };

  UpstreamSubset() = default;
  /// Refers to \p All, which must outlive this object unchanged.
  UpstreamSubset(const std::vector<const UpstreamInstance *> &All,
                 const DataCentreMap &Map, Options Opts);
  UpstreamSubset(const std::vector<const UpstreamInstance *> &All,
                 const DataCentreMap &Map)
      : UpstreamSubset(All, Map, Options{}) {}

  using Selection = std::vector<const UpstreamInstance *>;
  /// The upstreams for a box that only callers in \p DataCentre reach.
  Selection forDataCentre(const DataCentreName &DataCentre) const;
  /// The upstreams that any box may use.
  Selection forAll() const;

private:
  /// An upstream with its place in the order of selection.
  struct Entry {
    const UpstreamInstance *m_Upstream = nullptr;
    std::uint64_t m_Order = 0; ///< Stable hash of the upstream's name.
    std::size_t m_DataCentre = 0;
    std::size_t m_Region = 0;
    std::vector<std::size_t> m_Models; ///< Index of each model it holds.
  };

  void number(const std::vector<const UpstreamInstance *> &All,
              const DataCentreMap &Map);
  /// \param Local by index of the data centre, whether the selection includes
  /// replicas of its own for it.
  Selection choose(const std::vector<bool> &Local) const;

  Options m_Opts;
  std::vector<Entry> m_Entries;
  std::map<DataCentreName, std::size_t> m_DataCentres; ///< Index by name.
  std::size_t m_Regions = 0;                           ///< How many there are.
  std::size_t m_Models = 0;                            ///< How many there are.
};

} // namespace havenstair

#endif
