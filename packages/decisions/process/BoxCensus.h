/// \file
/// How many boxes may be at work, also those that cannot be heard of now.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_BOXCENSUS_H
#define HAVENSTAIR_DECISIONS_PROCESS_BOXCENSUS_H

#include "decisions/common/Time.h"
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace havenstair {

/// Counts boxes by the name of their machine: a process that starts again is
/// the same box.
class BoxCensus {
public:
  /// A box that left the list counts for this long: it may be cut off together
  /// with the store's word of it, and still serve. Longer than the minutes for
  /// which regions lose each other; a box that is gone for good costs the
  /// others its part of what is shared until then.
  static constexpr Duration Retention = 600s;

  /// From \p Now on \p Machines are setListed, and no others.
  void setListed(std::set<std::string> Machines, TimePoint Now);
  /// At least 1.
  std::size_t count(TimePoint Now) const;

private:
  std::set<std::string> m_Listed;
  std::map<std::string, TimePoint> m_DepartedAt;
};

} // namespace havenstair

#endif
