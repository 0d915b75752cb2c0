/// \file
/// Records the latest requests of a box, for `havenstair explain`.
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
  BoxName m_Admitter; ///< The box that admitted the request to the upstream.

  bool operator==(const AttemptRecord &) const = default;
};

/// How a box handled one request.
struct RequestRecord {
  RequestId m_Id;
  GroupName m_Group;
  std::string m_Target; ///< Model, adapter or plain service.
  std::vector<AttemptRecord> m_Attempts;
  std::string m_Code;      ///< "ok" or an error's code; empty while it runs.
  Duration m_Queued = 0us; ///< Time in the queue.
  Duration m_Whole = 0us;  ///< Time from arrival to the end.

  bool operator==(const RequestRecord &) const = default;
};

/// A bounded history that drops the oldest requests first.
class RequestLog {
public:
  explicit RequestLog(std::size_t MaxRecords) : m_MaxRecords(MaxRecords) {}

  /// Adds a request that has arrived.
  void begin(const RequestRecord &Record);
  /// Adds an attempt of a request; ignored if the request was dropped.
  void attempt(const RequestId &Id, const AttemptRecord &Attempt);
  /// Records how a request ended; ignored if the request was dropped.
  void end(const RequestId &Id, const std::string &Code, Duration Queued,
           Duration Whole);
  /// Null when the request is unknown or was dropped.
  const RequestRecord *find(const RequestId &Id) const;

private:
  std::size_t m_MaxRecords;
  std::map<RequestId, RequestRecord> m_Records;
  std::deque<RequestId> m_Order; ///< Oldest first.
};

} // namespace havenstair

#endif
