/// \file
/// State machine of one caller's request, from its arrival to its answer.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_PROXIEDREQUEST_H
#define HAVENSTAIR_GATEWAY_REQUEST_PROXIEDREQUEST_H

#include "decisions/request/RequestAuthorization.h"
#include "decisions/request/UpstreamEligibility.h"
#include "gateway/request/BoxPass.h"
#include "gateway/request/CrashGuard.h"
#include "gateway/request/Forwarder.h"
#include "gateway/request/RequestAdmission.h"
#include "gateway/request/RequestLog.h"
#include "gateway/request/RequestPermit.h"
#include "gateway/request/RequestQuota.h"
#include "gateway/request/RequestSend.h"
#include "gateway/request/RequestTimes.h"
#include "gateway/request/StreamAnswer.h"
#include "gateway/request/StreamBinding.h"
#include "gateway/request/StreamIdleMonitor.h"
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace havenstair {

/// Chooses an upstream, sends the request, passes the answer on to the caller,
/// and retries where the forwarding policy allows it. Is destroyed when the
/// answer has been given.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
public:
  /// \p Passed is null for a request that a caller sent to this box. For one
  /// that another box passed on, it counts that as open while it lives.
  ProxiedRequest(Forwarder &Owner, HttpExchangePtr Exchange,
                 RequestDescriptor Request,
                 std::shared_ptr<const ServingConfig> Config,
                 const Route &MatchedRoute, const Organisation *Caller,
                 TimePoint Arrived, std::shared_ptr<void> Passed);

  /// Starts to process the request.
  void begin();
  /// Chooses again if the request waits for an upstream.
  void upstreamsChanged();
  /// Chooses again if the request waits, and ends it if it is now quarantined
  /// and no upstream has begun to answer it.
  void crashesChanged();
  /// Gives the answer that is true of the request as the process ends.
  void onProcessEnds();
  /// Gives back the memory that is reserved for an answer which comes too
  /// slowly. \returns the upstream that sends it; empty if there is none.
  std::optional<InstanceId> releaseStalledAnswer(TimePoint Now);
  /// \returns the bytes that giveUpAnswer() gives back.
  std::size_t reclaimableBytes() const;
  /// \returns the upstream that sends them; empty for another box.
  InstanceId answeringUpstream() const {
    return m_Send ? m_Send->m_Instance : InstanceId();
  }
  /// Forgets what has come of the answer; the send counts as broken.
  void giveUpAnswer();

private:
  using Send = RequestSend;

  void countArrival();
  void step();
  bool bound();
  void onOrigin(const FoundOrigin &Found);
  bool useBoundService();
  void bindStream(TimePoint Now);
  bool listedOtherwise() const;
  bool unreachable(TimePoint Now) const;
  bool passOn(TimePoint Now);
  void sendToBox(const BoxPass::Target &To, TimePoint Now);
  void notePassed(SendOutcome Outcome);
  void passRefusal();
  int maxSends() const;
  void resume();
  bool refuseUntilLater(const std::optional<ChosenReplica> &Chosen,
                        TimePoint Now);
  std::optional<Duration> promptDelay(const ChosenReplica &Chosen,
                                      TimePoint Now) const;
  bool admitted(const std::optional<ChosenReplica> &Chosen, TimePoint Now);
  void wait(Duration For);
  bool stillAllowed();
  bool refuseIfQuarantined(TimePoint Now);
  bool refuseIfOutlasting(TimePoint Now);
  UpstreamEligibility eligibility() const;
  Duration timeToSpare(TimePoint Now) const;
  Duration permitPatience(const ChosenReplica &Chosen, TimePoint Now) const;
  bool withinQuota(TimePoint Now);
  void onQuota(const std::optional<QuotaVerdict> &Verdict);
  void send(const ChosenReplica &Chosen, TimePoint Now);
  HttpCall commonCall(TimePoint Now);
  HttpCall makeCall(const UpstreamInstance &To, TimePoint Now);
  void expectBytesWithin(Duration Limit);
  std::optional<HttpCall> probe() const;

  void onWritten();
  void onHead(int Status, const HttpHeaders &Headers);
  void onBytes(std::string_view Bytes);
  void onEnd(HttpEnd End);
  void awaitRoom(std::size_t Bytes);
  bool holdRest();
  void noteStarted(TimePoint Now);
  void startStream();
  void passEvents(const std::string &Events);

  StreamAnswer::SendEnd streamEnd(HttpEnd End) const;
  bool streamBrokeOff(HttpEnd End) const;
  bool claimsMore(HttpEnd End) const;
  void settle(SendOutcome Outcome);
  void noteOutcome(SendOutcome Outcome, TimePoint Now);
  void releaseLoad();
  UpstreamIncarnation upstreamIncarnation() const {
    return {.m_Id = m_Send->m_Instance, .m_StartTime = m_Send->m_StartTime};
  }
  UpstreamReach::Call reachCall() const {
    return {.m_Upstream = m_Send->m_Instance,
            .m_StartedAt = m_Send->m_At,
            .m_MayBeKept = m_Send->m_MayBeKept};
  }
  bool completed(SendOutcome Outcome) const;
  ForwardingStep decide(SendOutcome Outcome, TimePoint Now);
  void carryOut(ForwardingStep Step);

  void passAnswer();
  void refuse(const Failure &Reason);
  void refuse(ErrorKind Kind, Duration RetryAfter, std::string Detail);
  void fail(ErrorKind Kind);
  void cut();
  void onDeadline();
  void onCallerLeft();
  void end(std::string_view Outcome);

  bool streaming() const { return m_Route.m_Kind == RouteKind::Stream; }
  bool answersStream() const {
    return streaming() && m_Send->m_Answer.status() == 200;
  }
  HttpMethod method() const {
    return parseHttpMethod(m_Exchange->method()).value_or(HttpMethod::Get);
  }

  /// Null for a request that a caller sent to this box; else counts it as one
  /// that another box passed on.
  std::shared_ptr<void> m_Passed;
  Forwarder &m_Owner;
  HttpExchangePtr m_Exchange;
  RequestDescriptor m_Request;
  HttpHeaders m_FromCaller;
  std::shared_ptr<const ServingConfig> m_Config;
  const Route &m_Route;
  std::string m_Service;
  std::string m_Organisation; ///< Empty if the caller belongs to none.
  CrashGuard m_Crashes;
  RequestLog m_Log;
  int m_Priority; ///< Priority that is sent to an engine.
  RequestAuthorization m_Authorization;
  RequestQuota m_Quota;
  bool m_AskingQuota = false; ///< A call to m_Quota.ask() is on the stack.
  RequestPermit m_Permit;
  StreamBinding m_Binding;
  bool m_AskingOrigin = false; ///< A call to m_Binding.ask() is on the stack.
  BoxPass m_BoxPass;
  RequestTimes m_Times;
  RequestAdmission m_Admission;
  Duration m_SinceFirstTry = 0us; ///< Zero for a first try.
  std::set<InstanceId> m_Tried;   ///< Upstreams that it was sent to.
  bool m_ConnectFailed = false;   ///< An upstream could not be connected to.
  int m_Sends = 0;
  bool m_MayHaveRun = false; ///< An upstream may have run the request.
  bool m_Waiting = false;    ///< Waits for an upstream or for permission.
  bool m_Done = false;
  std::optional<TimePoint> m_FirstByte;
  StreamAnswer m_Stream;
  std::optional<Send> m_Send;
  MemoryCharge m_RestHeld; ///< Charged for the unfinished event of a stream.
  Duration m_RefusalRetryAfter = 0us; ///< Retry time in the refusal.
  HttpCallHandle m_Call;
  Timer m_DeadlineTimer;
  Timer m_WaitTimer;
  Timer m_PacingTimer;
  Timer m_GiveUpTimer; ///< While an answer that was given up is settled.
  std::optional<Timer> m_RoomTimer; ///< While the answer waits for room.
  StreamIdleMonitor m_IdleMonitor;
};

} // namespace havenstair

#endif
