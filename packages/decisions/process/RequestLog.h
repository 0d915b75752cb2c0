/// \file
/// The latest requests of a box, for `havenstair explain`.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_REQUESTLOG_H
#define HAVENSTAIR_DECISIONS_PROCESS_REQUESTLOG_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace havenstair {

/// Where one attempt of a request went.
struct AttemptRecord {
  UpstreamName m_Upstream;
  BoxName m_Admitter;

  bool operator==(const AttemptRecord &) const = default;
};

/// What a box knows of one request.
struct RequestRecord {
  RequestId m_Id;
  GroupName m_Group;
  std::string m_Target; ///< Model, adapter or plain service.
  std::vector<AttemptRecord> m_Attempts;
  std::string m_Code; ///< "ok" or an error's code; empty while it runs.
  Duration m_Queued = 0us;
  Duration m_Whole = 0us;

  bool operator==(const RequestRecord &) const = default;
};

/// Bounded history; the oldest requests go first.
class RequestLog {
public:
  explicit RequestLog(std::size_t MostRecords) : m_Most(MostRecords) {}

  void begin(const RequestRecord &Record);
  void attempt(const RequestId &Id, const AttemptRecord &Attempt);
  void end(const RequestId &Id, const std::string &Code, Duration Queued,
           Duration Whole);
  const RequestRecord *find(const RequestId &Id) const;

private:
  std::size_t m_Most;
  std::map<RequestId, RequestRecord> m_Records;
  std::deque<RequestId> m_Order;
};

} // namespace havenstair

#endif
