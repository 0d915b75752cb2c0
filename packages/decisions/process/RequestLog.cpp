#include "decisions/process/RequestLog.h"

namespace havenstair {

void RequestLog::begin(const RequestRecord &Record) {
  m_Records[Record.m_Id] = Record;
  m_Order.push_back(Record.m_Id);
  if (m_Order.size() <= m_MaxRecords)
    return;
  m_Records.erase(m_Order.front());
  m_Order.pop_front();
}

void RequestLog::attempt(const RequestId &Id, const AttemptRecord &Attempt) {
  if (const auto Found = m_Records.find(Id); Found != m_Records.end())
    Found->second.m_Attempts.push_back(Attempt);
}

void RequestLog::end(const RequestId &Id, const std::string &Code,
                     Duration Queued, Duration Whole) {
  const auto Found = m_Records.find(Id);
  if (Found == m_Records.end())
    return;
  Found->second.m_Code = Code;
  Found->second.m_Queued = Queued;
  Found->second.m_Whole = Whole;
}

const RequestRecord *RequestLog::find(const RequestId &Id) const {
  const auto Found = m_Records.find(Id);
  return Found == m_Records.end() ? nullptr : &Found->second;
}

} // namespace havenstair
