/// \file
/// Admission to one upstream, decided by its owner: run now, wait, or refuse
/// at once. See docs/design/admission.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_UPSTREAMADMISSION_H
#define HAVENSTAIR_DECISIONS_REQUEST_UPSTREAMADMISSION_H

#include "decisions/request/ErrorKind.h"
#include "decisions/request/FairQueue.h"
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace havenstair {

/// Load of an upstream, as digests and answers carry it.
struct UpstreamLoad {
  int m_Running = 0;
  int m_Waiting = 0;
  int m_Slots = 1;
  /// Requests that would be running, had they not been refused lately.
  int m_Refused = 0;

  /// Requests running or waiting for each slot.
  double pressure() const {
    return static_cast<double>(m_Running + m_Waiting) / m_Slots;
  }
  /// The same with those that were refused; what placement goes by, since
  /// refusals keep the queue short however large the demand.
  double offered() const {
    return static_cast<double>(m_Running + m_Waiting + m_Refused) / m_Slots;
  }
  bool operator==(const UpstreamLoad &) const = default;
};

struct StartRequest {
  RequestId m_Id;
  Duration m_Waited = 0us;
};
struct RefuseRequest {
  RequestId m_Id;
  Failure m_Failure;
};
/// What the owner does for waiting requests.
using AdmissionAction = std::variant<StartRequest, RefuseRequest>;
using AdmissionActions = std::vector<AdmissionAction>;

/// Slots and queue of one upstream.
class UpstreamAdmission {
public:
  struct Options {
    int m_Slots = 1;
    int m_MaxWaiting = 1000; ///< Bounds the memory of the queue.
    FairQueue::WeightOf m_WeightOf;
    /// Slots that a group above its share leaves free while another group that
    /// was active lately is below its own. None on upstreams with few slots.
    int m_ReservedSlots = 1;
    int m_MinSlotsToReserve = 4;
    /// How long a group without requests still counts as active.
    Duration m_ActiveFor = 30s;
    /// Service time assumed before any was measured.
    Duration m_InitialServiceTime = 200ms;
  };

  explicit UpstreamAdmission(Options Opts);

  /// A request arrives. The actions may start or refuse it, or leave it
  /// waiting when they do not name it.
  AdmissionActions offer(QueuedRequest Request, TimePoint Now);
  /// A started request ended; \p Cost is its measured cost.
  AdmissionActions finished(const RequestId &Id, double Cost, TimePoint Now);
  /// The caller left before the request was started, or while it ran.
  AdmissionActions cancelled(const RequestId &Id, TimePoint Now);
  /// Refuses each waiting request whose deadline can no longer be met.
  AdmissionActions sweep(TimePoint Now);

  /// Cost that \p Group was served by other owners.
  void chargeElsewhere(const GroupName &Group, double Cost);
  /// Cost served for each group since the last call.
  std::map<GroupName, double> takeServed();

  UpstreamLoad load(TimePoint Now) const;
  /// Expected wait of a request of \p Group that arrives now.
  Duration expectedWait(const GroupName &Group) const;

private:
  struct Running {
    GroupName m_Group;
    double m_Estimate = 0;
    TimePoint m_Started;
  };

  RefuseRequest refuse(const QueuedRequest &Request, ErrorKind Kind,
                       TimePoint Now);
  double refusedLoad(TimePoint Now) const;
  void start(const QueuedRequest &Request, TimePoint Now,
             AdmissionActions &Actions);
  void startWaiting(TimePoint Now, AdmissionActions &Actions);
  bool mayStart(const GroupName &Group, TimePoint Now) const;
  bool aboveShare(const GroupName &Group, int Running, TimePoint Now) const;
  int runningOf(const GroupName &Group) const;
  bool active(const GroupName &Group, TimePoint Now) const;
  Duration waitBehind(const GroupName &Group, int Ahead) const;

  Options m_Opts;
  FairQueue m_Queue;
  std::map<RequestId, Running> m_Running;
  std::map<RequestId, TimePoint> m_Arrived;
  std::map<GroupName, int> m_WaitingOf;
  std::map<GroupName, int> m_RunningOf;
  std::map<GroupName, TimePoint> m_LastSeen;
  std::map<GroupName, double> m_Served;
  Duration m_MeanService;
  double m_RefusedLoad = 0;
  TimePoint m_RefusedAt;
};

} // namespace havenstair

#endif
