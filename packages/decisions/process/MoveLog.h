/// \file
/// Records the moves of a data centre, so that operators can explain each one.
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
  std::string m_Id; ///< Identifier of the order, unique among all boxes.
  Move m_Move;
  BoxName m_OrderedBy;
  WallMillis m_At = 0; ///< When it was ordered.

  bool operator==(const MoveRecord &) const = default;
};

/// A bounded history that drops the oldest records first. Records of other
/// boxes are merged in, each once.
class MoveLog {
public:
  explicit MoveLog(std::size_t MaxRecords) : m_MaxRecords(MaxRecords) {}

  /// \returns false when the record is known already.
  bool add(const MoveRecord &Record);
  /// Null when no such record is kept.
  const MoveRecord *find(const std::string &Id) const;
  /// All records in the order in which they were added.
  std::vector<MoveRecord> records() const;

private:
  std::size_t m_MaxRecords;
  std::deque<MoveRecord> m_Records;
};

} // namespace havenstair

#endif
