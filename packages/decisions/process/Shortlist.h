/// \file
/// Which upstreams of a long list a box needs to know.
/// See docs/design/fleet-size.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_SHORTLIST_H
#define HAVENSTAIR_DECISIONS_PROCESS_SHORTLIST_H

#include "decisions/common/DataCentreMap.h"
#include "decisions/process/UpstreamInstance.h"
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

/// Some replicas of each model, and some servers of each service without
/// models. How many grows with models and data centres, not with upstreams.
/// Upstreams are taken in an order that is drawn once and the same on all
/// boxes, so that boxes that know the same list pick the same ones, and a
/// change of the list changes little. The shortlist of a shortlist is itself.
class Shortlist {
public:
  struct Options {
    /// Of each model in each region; all boxes know these.
    std::size_t m_PerRegion = 16;
    /// Of each model in a data centre, which must go on while it is cut off
    /// from the others: at least so many, and until they have so many slots.
    std::size_t m_PerDataCentre = 8;
    int m_SlotsPerDataCentre = 512;
  };

  Shortlist() = default;
  /// Refers to \p All, which must outlive it unchanged.
  Shortlist(const std::vector<const UpstreamInstance *> &All,
            const DataCentreMap &Map, Options Opts);
  Shortlist(const std::vector<const UpstreamInstance *> &All,
            const DataCentreMap &Map)
      : Shortlist(All, Map, Options{}) {}

  using Chosen = std::vector<const UpstreamInstance *>;
  /// For a box that only \p DataCentre's callers reach.
  Chosen forDataCentre(const DataCentreName &DataCentre) const;
  /// All that any box may use.
  Chosen forAll() const;

private:
  /// An upstream in the drawn order.
  struct Entry {
    const UpstreamInstance *m_Upstream = nullptr;
    std::uint64_t m_Order = 0;
    std::size_t m_DataCentre = 0;
    std::size_t m_Region = 0;
    std::vector<std::size_t> m_Models; ///< By number.
  };

  void number(const std::vector<const UpstreamInstance *> &All,
              const DataCentreMap &Map);
  /// \p Here: whether a data centre, by number, is to have its own replicas.
  Chosen choose(const std::vector<bool> &Here) const;

  Options m_Opts;
  std::vector<Entry> m_Entries;
  std::map<DataCentreName, std::size_t> m_DataCentres;
  std::size_t m_Regions = 0;
  std::size_t m_Models = 0;
};

} // namespace havenstair

#endif
