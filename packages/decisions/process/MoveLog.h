/// \file
/// The moves of a data centre, for operators who must explain each one.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_MOVELOG_H
#define HAVENSTAIR_DECISIONS_PROCESS_MOVELOG_H

#include "decisions/common/Time.h"
#include "decisions/process/Placement.h"
#include <deque>
#include <string>
#include <vector>

namespace havenstair {

/// One move that was ordered.
struct MoveRecord {
  std::string m_Id; ///< Identifier of the order.
  Move m_Move;
  BoxName m_OrderedBy;
  WallMillis m_At = 0;

  bool operator==(const MoveRecord &) const = default;
};

/// Bounded history; the oldest records go first. Records of other boxes are
/// merged in, each once.
class MoveLog {
public:
  explicit MoveLog(std::size_t MostRecords) : m_Most(MostRecords) {}

  /// \returns false when the record is known already.
  bool add(const MoveRecord &Record);
  const MoveRecord *find(const std::string &Id) const;
  std::vector<MoveRecord> records() const;

private:
  std::size_t m_Most;
  std::deque<MoveRecord> m_Records;
};

} // namespace havenstair

#endif
