/// \file
/// One request of a caller, from its arrival to its answer.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_PROXIEDREQUEST_H
#define HAVENSTAIR_GATEWAY_REQUEST_PROXIEDREQUEST_H

#include "decisions/request/EventSplitter.h"
#include "decisions/request/ReplicaAdmission.h"
#include "decisions/request/RequestAuthorization.h"
#include "decisions/request/UpstreamEligibility.h"
#include "gateway/request/CrashGuard.h"
#include "gateway/request/Forwarder.h"
#include "gateway/request/RequestPermit.h"
#include "gateway/request/RequestQuota.h"
#include "gateway/request/SilenceWatch.h"
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace havenstair {

/// Chooses an upstream, sends the request, passes the answer on, and repeats
/// where forwarding policy says so. Lives until the answer is given.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
public:
  ProxiedRequest(Forwarder &Owner, HttpExchangePtr Exchange,
                 RequestDescriptor Request,
                 std::shared_ptr<const ServingConfig> Config, const Route &Of,
                 const Organisation *Caller, TimePoint Arrived);

  void begin();
  void upstreamsChanged();
  void crashesChanged();

private:
  /// One send to an upstream.
  struct Send {
    InstanceId m_Instance;
    StartTime m_StartTime = 0;
    TimePoint m_At{};
    double m_PendingMs = 0;
    double m_WorkMs = 0;
    double m_ExpectedMs = 0;
    double m_Tokens = 0;
    bool m_Counted = true;              ///< In the book of loads.
    std::optional<TimePoint> m_Started; ///< Its first byte or event came.
    bool m_NotRun = false;
    bool m_Foreign = false; ///< The answer was another request's.
    bool m_Resumed = false; ///< Only the rest of the answer was asked for.
    int m_Status = 0;
    HttpHeaders m_Headers;
    std::string m_Body;
  };

  /// What the last choice was made from; for the log.
  struct Judged {
    std::size_t m_Replicas = 0;
    double m_ExpectedMs = 0;
    double m_PendingMs = 0;
    std::string_view m_Reason = "";
    std::optional<Duration> m_ServesIn; ///< A load that is under way.
  };

  void step();
  void resume();
  bool refusedBound(const std::optional<ChosenReplica> &Chosen, TimePoint Now);
  bool refusedBackedOff(const std::optional<ChosenReplica> &Chosen,
                        TimePoint Now);
  std::optional<Duration> paceOf(const ChosenReplica &Chosen,
                                 TimePoint Now) const;
  AdmissionFacts admissionFacts(const std::optional<ChosenReplica> &Chosen,
                                TimePoint Now) const;
  bool admitted(const std::optional<ChosenReplica> &Chosen, TimePoint Now);
  void wait(Duration For);
  bool stillAllowed();
  bool refusedBarred(TimePoint Now);
  UpstreamEligibility reach() const;
  Duration timeToSpare(TimePoint Now) const;
  Duration permitPatience(const ChosenReplica &Chosen, TimePoint Now) const;
  bool withinQuota(TimePoint Now);
  void onQuota(const std::optional<QuotaVerdict> &Verdict);
  void send(const ChosenReplica &Chosen, TimePoint Now);
  HttpCall makeCall(const UpstreamInstance &To, TimePoint Now);
  void expectWithin(Duration Limit);
  std::optional<HttpCall> probe() const;

  void onHead(int Status, const HttpHeaders &Headers);
  void onBytes(std::string_view Bytes);
  void onEnd(HttpEnd End);
  void noteStarted(TimePoint Now);
  void passEvents(const std::string &Events);

  SendOutcome judge(HttpEnd End) const;
  void settle(SendOutcome Outcome);
  void noteOutcome(SendOutcome Outcome, TimePoint Now);
  void releaseLoad();
  UpstreamIncarnation upstreamLife() const {
    return {.m_Id = m_Send->m_Instance, .m_StartTime = m_Send->m_StartTime};
  }
  bool ranWell(SendOutcome Outcome) const;
  bool upstreamStartedAgain() const;
  ForwardingStep decide(SendOutcome Outcome, TimePoint Now);
  void carryOut(ForwardingStep Step);

  void passAnswer();
  void refuse(ErrorKind Kind, Duration Away, std::string Detail);
  void fail(ErrorKind Kind);
  void cut();
  void onDeadline();
  void onCallerLeft();
  void end(std::string_view Outcome);

  bool streaming() const { return m_Route.m_Kind == RouteKind::Stream; }
  Duration waited(TimePoint Now) const { return Now - m_Arrived; }

  Forwarder &m_Owner;
  HttpExchangePtr m_Exchange;
  RequestDescriptor m_Request;
  HttpHeaders m_FromCaller;
  std::shared_ptr<const ServingConfig> m_Config;
  const Route &m_Route;
  std::string m_Service;
  std::string m_Organisation; ///< Empty for nobody's.
  CrashGuard m_Crashes;
  int m_Priority; ///< To an engine.
  RequestAuthorization m_Standing;
  RequestQuota m_Quota;
  bool m_AskingQuota = false;
  RequestPermit m_Permit;
  TimePoint m_Arrived;
  TimePoint m_Deadline;
  Duration m_SinceFirstTry = 0us; ///< Zero unless the caller tried before.
  std::set<InstanceId> m_Tried;
  int m_Sends = 0;
  bool m_MayHaveRun = false;
  bool m_BytesPassed = false;
  bool m_Parked = false;
  bool m_Done = false;
  std::optional<TimePoint> m_FirstByte;
  std::optional<TimePoint> m_LastPassed; ///< When events last went out.
  Duration m_LongestGap = 0us;           ///< Between events.
  std::optional<std::int64_t> m_LastEvent;
  std::optional<Send> m_Send;
  Judged m_Judged;
  Duration m_ToldAway = 0us; ///< When the caller was told to come back.
  EventSplitter m_Events;
  HttpCallHandle m_Call;
  Timer m_DeadlineTimer;
  Timer m_ParkTimer;
  Timer m_PaceTimer;
  SilenceWatch m_Silence;
};

} // namespace havenstair

#endif
