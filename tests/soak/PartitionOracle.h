/// \file
/// Judges whether boxes that reach no engine serve their callers all the same.
#ifndef HAVENSTAIR_TESTS_SOAK_PARTITIONORACLE_H
#define HAVENSTAIR_TESTS_SOAK_PARTITIONORACLE_H

#include "soak/Disturbances.h"
#include "soak/SoakBounds.h"
#include "soak/SoakEvents.h"
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace havenstair {

/// Compares the callers' tries at cut boxes with those at the others. A caller
/// of the soak tries once. Boxes that were stopped, held up or cut off from the
/// store or each other are left out.
class PartitionOracle {
public:
  PartitionOracle(const SoakBounds &Bounds, const Disturbances &Trouble,
                  VerdictHook Broken)
      : m_Bounds(Bounds), m_Trouble(Trouble), m_Broken(std::move(Broken)) {}

  void began(const std::set<std::string> &Boxes, TimePoint At);
  /// The last one that began has ended.
  void ended(TimePoint At);
  void sent(const CallerRequest &Request);
  void answered(const CallerAnswer &Answer);
  /// The caller gave up by itself; its try does not count.
  void left(const std::string &Id) { m_Tries.erase(Id); }
  /// Nothing more comes: tries without an answer have failed.
  void finish(TimePoint At);

private:
  struct Partition {
    std::set<std::string> m_Boxes;
    TimePoint m_From;
    TimePoint m_To;
  };
  struct Try {
    std::string m_Box;
    TimePoint m_At;
    bool m_Served = false;
  };
  struct Count {
    int m_Tries = 0;
    int m_Served = 0;
  };

  void judge(const Partition &Of);
  Count count(const Partition &Of, bool Cut) const;

  const SoakBounds &m_Bounds;
  const Disturbances &m_Trouble;
  VerdictHook m_Broken;
  std::vector<Partition> m_Partitions;
  std::map<std::string, Try> m_Tries;
};

} // namespace havenstair

#endif
