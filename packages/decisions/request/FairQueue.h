/// \file
/// Weighted fair queue over groups, by cost: start-time fair queueing, after
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

/// A waiting request.
struct QueuedRequest {
  RequestId m_Id;
  GroupName m_Group;
  double m_Cost = 1;    ///< Expected cost in tokens.
  int m_Priority = 0;   ///< Higher ones run first, within a group only.
  TimePoint m_Deadline; ///< Latest time at which a start is useful.

  bool operator==(const QueuedRequest &) const = default;
};

/// The queue of one upstream. While two groups are both backlogged, the costs
/// served to them, each divided by its group's weight, grow apart by at most
/// one largest request of each group.
class FairQueue {
public:
  /// The weight of a group.
  using WeightOf = std::function<double(const GroupName &)>;

  struct Options {
    WeightOf m_WeightOf; ///< Must return positive weights.
    /// Bound on the virtual time by which charge() puts a group behind the
    /// others, and so on how long the group then gets nothing. Virtual time is
    /// cost divided by weight.
    double m_MaxDebt = 20000;
  };

  explicit FairQueue(Options Opts);

  /// Adds a request.
  void push(QueuedRequest Request);
  /// Whether requests of a group may run now.
  using Allowed = std::function<bool(const GroupName &)>;
  /// Removes the next request in fair order, skipping groups that
  /// \p IsAllowed rejects; a null \p IsAllowed allows all. \returns nothing
  /// when no such request waits.
  std::optional<QueuedRequest> pop(const Allowed &IsAllowed = nullptr);
  /// Removes a waiting request. \returns whether it was in the queue.
  bool remove(const RequestId &Id);
  /// Charges a group for cost that pop() did not account for: served by another
  /// upstream, or the difference from the estimate of a request, which may be
  /// negative.
  void charge(const GroupName &Group, double Cost);

  std::size_t size() const { return m_Size; }
  bool empty() const { return m_Size == 0; }
  /// Cost of all waiting requests.
  double queuedCost() const { return m_QueuedCost; }
  /// Cost of the waiting requests of \p Group.
  double queuedCost(const GroupName &Group) const;
  /// Share of the upstream, from 0 to 1, that \p Group gets while the groups
  /// that wait now go on waiting.
  double shareOf(const GroupName &Group) const;
  /// All waiting requests, group by group, each group in its order.
  std::vector<QueuedRequest> waiting() const;

private:
  /// The requests of one group.
  struct Flow {
    std::deque<QueuedRequest> m_Requests;
    double m_NextStart = 0; ///< Virtual start time of the next request.
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
