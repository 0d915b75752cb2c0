#include "decisions/process/MoveLog.h"

#include <algorithm>

namespace havenstair {

bool MoveLog::add(const MoveRecord &Record) {
  if (find(Record.m_Id) != nullptr)
    return false;
  m_Records.push_back(Record);
  if (m_Records.size() > m_MaxRecords)
    m_Records.pop_front();
  return true;
}

const MoveRecord *MoveLog::find(const std::string &Id) const {
  const auto Found =
      std::find_if(m_Records.begin(), m_Records.end(),
                   [&](const MoveRecord &Record) { return Record.m_Id == Id; });
  return Found == m_Records.end() ? nullptr : &*Found;
}

std::vector<MoveRecord> MoveLog::records() const {
  return {m_Records.begin(), m_Records.end()};
}

} // namespace havenstair
