/// \file
/// Metrics of the daemon, in the Prometheus text format.
#ifndef HAVENSTAIR_HAVENSTAIRD_PROCESS_METRICS_H
#define HAVENSTAIR_HAVENSTAIRD_PROCESS_METRICS_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/Placement.h"
#include "decisions/request/ErrorKind.h"
#include <memory>
#include <string>
#include <string_view>

namespace havenstair {

/// Latencies of one request.
struct RequestTimes {
  Duration m_Queued = 0us;    ///< Time in the queue of the owner.
  Duration m_FirstByte = 0us; ///< Valid if m_HasFirstByte.
  Duration m_Whole = 0us;     ///< Time to the end of the answer.
  bool m_HasFirstByte = false;
};

/// Registry of all metrics. The number of label values is bounded: they are
/// groups of the table, members of enumerations, and upstreams of the
/// platform's list.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// A request of \p Group was answered; \p Code is "ok" or an error's code.
  void answered(const GroupName &Group, std::string_view Code,
                const RequestTimes &Times);
  void betweenTokens(const GroupName &Group, Duration Gap);
  void retried();
  void moved(MoveReason Reason);
  void peerBytes(std::string_view Frame, std::size_t Bytes);
  void platformCall(std::string_view Call);
  void setLeaseHeld(bool Held);
  void setVersions(double Assignment, double Table);
  void setMemoryTaken(const UpstreamName &Upstream, double Taken,
                      double Capacity);

  /// Returns the text of `/metrics`.
  std::string serialize() const;

private:
  struct Families;
  std::unique_ptr<Families> m_Families;
};

} // namespace havenstair

#endif
