/// \file
/// Admission to one upstream, which its owner decides: start a request now,
/// queue it, or refuse it at once. See docs/design/admission.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_UPSTREAMADMISSION_H
#define HAVENSTAIR_DECISIONS_REQUEST_UPSTREAMADMISSION_H

#include "decisions/request/ErrorKind.h"
#include "decisions/request/FairQueue.h"
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace havenstair {

/// The load of an upstream, as boxes report it to each other.
struct UpstreamLoad {
  int m_Running = 0;
  int m_Waiting = 0;
  int m_Slots = 1;
  /// Estimate of the requests that would be running now, had they not been
  /// refused.
  int m_Refused = 0;

  /// Number of running and waiting requests for each slot.
  double pressure() const {
    return static_cast<double>(m_Running + m_Waiting) / m_Slots;
  }
  /// Offered load: the pressure with the refused requests. Placement uses it,
  /// since refusals keep the queue short however large the demand is.
  double offered() const {
    return static_cast<double>(m_Running + m_Waiting + m_Refused) / m_Slots;
  }
  bool operator==(const UpstreamLoad &) const = default;
};

/// Start a request.
struct StartRequest {
  RequestId m_Id;
  Duration m_Waited = 0us; ///< Time that it spent in the queue.
};
/// Refuse a request.
struct RefuseRequest {
  RequestId m_Id;
  Failure m_Failure;
};
/// What the owner has to do with a request.
using AdmissionAction = std::variant<StartRequest, RefuseRequest>;
using AdmissionActions = std::vector<AdmissionAction>;

/// The slots and the queue of one upstream.
class UpstreamAdmission {
public:
  struct Options {
    int m_Slots = 1;
    int m_MaxWaiting = 1000;        ///< Bounds the memory of the queue.
    FairQueue::WeightOf m_WeightOf; ///< Must return positive weights.
    /// Slots that a group above its share leaves free while another recently
    /// active group is below its own share.
    int m_ReservedSlots = 1;
    /// Upstreams with fewer slots reserve none.
    int m_MinSlotsToReserve = 4;
    /// Time for which a group still counts as active after its last request.
    Duration m_ActiveFor = 30s;
    /// Mean service time that is assumed before the first request ends.
    Duration m_InitialServiceTime = 200ms;
  };

  explicit UpstreamAdmission(Options Opts);

  /// A request arrives. It waits if the actions neither start nor refuse it.
  AdmissionActions offer(QueuedRequest Request, TimePoint Now);
  /// A started request ended; \p Cost is its actual cost in tokens.
  AdmissionActions finished(const RequestId &Id, double Cost, TimePoint Now);
  /// The caller left while the request was waiting or running.
  AdmissionActions cancelled(const RequestId &Id, TimePoint Now);
  /// Refuses each waiting request that cannot start by its deadline any more.
  AdmissionActions sweep(TimePoint Now);

  /// Charges \p Group for cost that other owners served to it.
  void chargeElsewhere(const GroupName &Group, double Cost);
  /// Cost served to each group since the last call, in tokens.
  std::map<GroupName, double> takeServed();

  /// The current load, for other boxes.
  UpstreamLoad load(TimePoint Now) const;
  /// Expected time in the queue of a request of \p Group that arrives now.
  Duration expectedWait(const GroupName &Group) const;

private:
  struct Running {
    GroupName m_Group;
    double m_Estimate = 0; ///< Cost charged at the start.
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
  double m_RefusedLoad = 0; ///< Value at m_RefusedAt; decays.
  TimePoint m_RefusedAt;
};

} // namespace havenstair

#endif
