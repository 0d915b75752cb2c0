/// \file
/// One send of a request.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_REQUESTSEND_H
#define HAVENSTAIR_GATEWAY_REQUEST_REQUESTSEND_H

#include "decisions/common/SoftwareVersion.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamIncarnation.h"
#include "gateway/request/PassService.h"
#include "gateway/request/SendAnswer.h"
#include "gateway/request/SendStatistics.h"
#include <memory>
#include <optional>
#include <string>

namespace havenstair {

/// One send to an upstream, or to the box that the request is passed on to.
struct RequestSend {
  InstanceId m_Instance;                    ///< Empty for a box.
  std::optional<PassService::Target> m_Box; ///< Empty for an upstream.
  std::shared_ptr<void> m_PassToken;        ///< Counts it as open at m_Box.
  StartTime m_StartTime = 0;                ///< Start time of the instance.
  SoftwareVersion m_Software;               ///< Version that was listed.
  TimePoint m_At{};                         ///< When the request was sent.
  std::optional<TimePoint> m_HeadAt; ///< When the head of the answer came.
  double m_PendingMs = 0;  ///< Work ahead of the request at the upstream.
  double m_WorkMs = 0;     ///< The request's own work.
  double m_ExpectedMs = 0; ///< Expected time to the first token.
  /// Empty for a box, and until the call has been made.
  std::optional<SendStatistics> m_Statistics;
  std::optional<TimePoint> m_Started; ///< When the answer began.
  bool m_MayBeKept = false;           ///< It may use a kept connection.
  /// The answer may be whole, but cannot be passed on as such.
  bool m_Whole = false;
  bool m_Ended = false;   ///< The call has ended by itself.
  bool m_Resumed = false; ///< Only the rest of a stream was requested.
  SendAnswer m_Answer;
};

} // namespace havenstair

#endif
