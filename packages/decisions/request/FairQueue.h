/// \file
/// Weighted fair queue over groups, by cost. Start-time fair queueing:
/// P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_FAIRQUEUE_H
#define HAVENSTAIR_DECISIONS_REQUEST_FAIRQUEUE_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace havenstair {

/// A request as the queue sees it.
struct QueuedRequest {
  RequestId m_Id;
  GroupName m_Group;
  double m_Cost = 1;    ///< Expected cost in tokens.
  int m_Priority = 0;   ///< Higher runs first within its group only.
  TimePoint m_Deadline; ///< Latest useful start.

  bool operator==(const QueuedRequest &) const = default;
};

/// Queue of one upstream. While two groups both wait, their served cost over
/// weight differs by at most one largest request of each.
class FairQueue {
public:
  using WeightOf = std::function<double(const GroupName &)>;

  struct Options {
    WeightOf m_WeightOf; ///< Positive weight of a group.
    /// Most virtual time a group can owe for work done elsewhere or beyond
    /// its estimate; bounds how long it pays back.
    double m_MaxDebt = 20000;
  };

  explicit FairQueue(Options Opts);

  void push(QueuedRequest Request);
  using Allowed = std::function<bool(const GroupName &)>;
  /// Takes the next request in fair order, passing over groups that \p May
  /// does not allow now; empty when none is left.
  std::optional<QueuedRequest> pop(const Allowed &May = nullptr);
  /// Removes a waiting request. \returns whether it was there.
  bool remove(const RequestId &Id);
  /// Adds cost to a group: served elsewhere, or above its estimate.
  void charge(const GroupName &Group, double Cost);

  std::size_t size() const { return m_Size; }
  bool empty() const { return m_Size == 0; }
  double queuedCost() const { return m_QueuedCost; }
  /// Cost that waits for \p Group.
  double queuedCost(const GroupName &Group) const;
  /// Share of the upstream that \p Group has while the present groups wait.
  double shareOf(const GroupName &Group) const;
  /// All waiting requests, group by group, each in its order.
  std::vector<QueuedRequest> waiting() const;

private:
  struct Flow {
    std::deque<QueuedRequest> m_Requests;
    double m_NextStart = 0; ///< Virtual start of the next request.
    double m_QueuedCost = 0;
  };

  void forgetIdleFlows();

  Options m_Opts;
  std::map<GroupName, Flow> m_Flows;
  double m_VirtualTime = 0;
  double m_QueuedCost = 0;
  std::size_t m_Size = 0;
};

} // namespace havenstair

#endif
