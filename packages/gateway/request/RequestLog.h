/// \file
/// The log lines of one request.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_REQUESTLOG_H
#define HAVENSTAIR_GATEWAY_REQUEST_REQUESTLOG_H

#include "decisions/common/StoreRevision.h"
#include "decisions/process/CrashSuspect.h"
#include "decisions/process/MemoryBudget.h"
#include "decisions/request/ForwardingPolicy.h"
#include "decisions/request/RequestDescriptor.h"
#include "decisions/version/ServingConfig.h"
#include "gateway/common/ConfigFreshness.h"
#include "gateway/request/ChoiceDetails.h"
#include "gateway/request/RequestSend.h"
#include "gateway/request/StreamOriginService.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace havenstair {

class DecisionLog;

/// Writes a line for each decision on a request. The lines share its names.
class RequestLog {
public:
  /// All arguments must outlive this object.
  RequestLog(DecisionLog &To, const RequestDescriptor &Request,
             const RequestSuspects &Suspects, const Route &MatchedRoute)
      : m_Log(To), m_Request(Request), m_Suspects(Suspects),
        m_Route(MatchedRoute) {}

  /// What a send to an upstream is based on.
  struct SendBasis {
    int m_Number = 0; ///< Number of the send, from 1.
    ConfigVersion m_Config = 0;
    ConfigFreshness m_Freshness;
    StoreRevision m_List; ///< Of the list of upstreams.
    /// Event after which the stream is resumed; empty to start anew.
    std::optional<std::int64_t> m_LastEvent;
  };
  void sent(const RequestSend &Made, const SendBasis &On);

  struct PassBasis {
    int m_Number = 0; ///< Number of the send, from 1.
    ConfigVersion m_Config = 0;
    BoxName m_Box; ///< The box that it is passed on to.
    bool m_Partitioned = false;
    Duration m_Waited = 0us; ///< Since the request arrived.
  };
  void passedOn(const PassBasis &On);

  struct SendResult {
    int m_Number = 0; ///< Number of the send, from 1.
    SendOutcome m_Outcome = SendOutcome::Broken;
    bool m_Passed = false;       ///< The caller has got a part of a stream.
    std::size_t m_RestBytes = 0; ///< Bytes after the last complete event.
    ForwardingStep m_Step = ForwardingStep::Fail;
  };
  void sendFailed(const RequestSend &Made, const SendResult &Result,
                  TimePoint Now);

  struct ResumeBasis {
    std::optional<std::int64_t> m_LastEvent;
    bool m_Known = false;    ///< It is known how the stream began.
    bool m_Usable = false;   ///< The route still leads there.
    Duration m_Waited = 0us; ///< Since the request arrived.
  };
  void resumed(const FoundOrigin &Found, const ResumeBasis &On);

  /// An answer of \p Bytes is given up because \p Memory has no room for it.
  void answerNotHeld(std::size_t Bytes, const MemoryBudget &Memory);

  struct Result {
    std::string_view m_Outcome;
    std::string m_Organisation; ///< Empty if the caller belongs to none.
    bool m_PassedHere = false;  ///< Another box passed it on.
    double m_Units = 0;         ///< Units of the quota that it costs.
    Duration m_SinceFirstTry = 0us;
    int m_Sends = 0;
    ChoiceDetails m_Choice;
    std::string m_Regions;               ///< Regions that may serve it.
    Duration m_RetryAfter = 0us;         ///< What a refusal states.
    Duration m_First = 0us;              ///< Until the first byte.
    Duration m_Gap = 0us;                ///< Longest between two events.
    const RequestSend *m_Last = nullptr; ///< Last send; null without one.
    std::size_t m_RestBytes = 0;
    Duration m_Whole = 0us; ///< Until the end.
  };
  void ended(const Result &Of);

private:
  DecisionLog &m_Log;
  const RequestDescriptor &m_Request;
  const RequestSuspects &m_Suspects;
  const Route &m_Route;
};

} // namespace havenstair

#endif
