/// \file
/// Counts the boxes that may be serving, including those out of reach.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_BOXCENSUS_H
#define HAVENSTAIR_DECISIONS_PROCESS_BOXCENSUS_H

#include "decisions/common/Time.h"
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace havenstair {

/// Counts boxes by the names of their machines: a process that starts again is
/// the same box.
class BoxCensus {
public:
  /// How long a box counts after it left the list: it may be partitioned away,
  /// together with the part of the store that lists it, and still serve. Longer
  /// than the minutes for which regions lose each other. A box that is gone for
  /// good costs the others its share of quotas until then.
  static constexpr Duration Retention = 600s;

  /// Replaces the listed machines by \p Machines.
  void setListed(std::set<std::string> Machines, TimePoint Now);
  /// The number of boxes that are listed or left the list within Retention; at
  /// least 1.
  std::size_t count(TimePoint Now) const;

private:
  std::set<std::string> m_Listed;
  /// When machines left the list.
  std::map<std::string, TimePoint> m_DepartedAt;
};

} // namespace havenstair

#endif
