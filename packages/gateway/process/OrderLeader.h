/// \file
/// Sends orders to all engines, on one box at a time, the leader.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_ORDERLEADER_H
#define HAVENSTAIR_GATEWAY_PROCESS_ORDERLEADER_H

#include "decisions/process/ModelDemand.h"
#include "decisions/process/PlanSchedule.h"
#include "gateway/process/ContentsPublisher.h"
#include "gateway/process/EngineControl.h"
#include "gateway/process/GatewayOptions.h"
#include "gateway/process/LeaderElection.h"
#include "gateway/process/ManagedEngines.h"
#include "gateway/process/MoveExecutor.h"
#include "gateway/process/OrderSender.h"
#include "gateway/process/ReportPoller.h"
#include "gateway/process/ResidencyPlanner.h"
#include "gateway/process/ServingState.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/FleetFrames.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace havenstair {

class DecisionLog;

/// \returns until when \p Leader, which led before this process, may have sent
/// orders, of a process that started at \p OwnStart; none if there never was
/// one. An earlier process of the machine had ended when this one started;
/// another machine learns only with a delay that it was replaced.
std::optional<TimePoint> lastOrderOf(const LeaderElection::Predecessor &Leader,
                                     TimePoint OwnStart, TimePoint Now);

/// While this box is the leader, plans replicas and adapters from demand and
/// carries the plan out, one order at a time on each engine. See
/// docs/design/orders.md.
class OrderLeader {
public:
  struct Options {
    LeaderElection::Options m_Election;
    ServingBounds m_Bounds;
    ResidencyPlanner::Options m_Planning;
  };
  struct Hooks {
    /// Contents of engines have changed; sends them to all boxes.
    std::function<void(const FleetContentsFrame &)> m_ContentsChanged;
    /// An engine has answered an order; for metrics.
    std::function<void(std::string_view Operation, std::string_view Answer)>
        m_OrderAnswered;
    /// Returns as of when the store's keys, the leader's among them, are known.
    std::function<TimePoint()> m_KeysReadAt;
    /// Returns the newest era of the store that is known.
    std::function<StoreEra()> m_Era;
    std::function<double()> m_Random; ///< Returns a random number from 0 to 1.
  };

  OrderLeader(EventLoop &Loop, CoordinationStore &Store, EngineControl &Engines,
              ServingState &State, DecisionLog &Log, Options Opts,
              Hooks Callbacks);
  ~OrderLeader();
  OrderLeader(const OrderLeader &) = delete;
  OrderLeader &operator=(const OrderLeader &) = delete;

  /// The store's keys have changed; \p Items are all keys under the prefix, as
  /// of \p At.
  void entriesChanged(const std::map<std::string, StoreItem> &Items,
                      const StoreRevision &At) {
    m_Election.entriesChanged(Items, At);
  }
  /// The store came back from a copy; see LeaderElection.
  void onStoreRestored(TimePoint Now) { m_Election.onStoreRestored(Now); }
  /// The list of upstreams has changed.
  void upstreamsChanged();
  /// Data centres are evacuated, or returned to service at \p Now.
  void evacuationsChanged(TimePoint Now);
  /// Adds demand of this box or another one.
  void addDemand(const ModelDemands &Demand);
  /// Requests wait for models or adapters that no engine holds.
  void addMissing(const std::vector<ModelKey> &Keys);
  /// Replaces the bounds that the operators set.
  void setBounds(const ServingBounds &Bounds);

  /// Records which leader another box knows; see LeaderElection.
  void recordPeerView(const BoxName &From, const LeaderTerm &Leader,
                      bool Giving, TimePoint SaidAfter) {
    m_Election.recordPeerView(From, Leader, Giving, SaidAfter);
  }
  /// Sets the other boxes whose majority decides who leads, and whether this
  /// box may lead.
  void setVoters(std::set<BoxName> Others, bool Eligible);
  /// The link to \p Box is gone.
  void boxLost(const BoxName &Box) { m_Election.boxLost(Box); }

  /// The newest leader that this box knows.
  const LeaderTerm &leader() const { return m_Election.leader(); }
  /// Whether this box leads, as far as it knows.
  bool leading() const { return m_Election.leading(); }
  /// Contents of all engines that differ from the list, for a box that has just
  /// been linked; without engines unless this box leads.
  FleetContentsFrame contents() const {
    return m_Contents.contents(EventLoop::now());
  }
  /// Gives up the key and stops for good.
  void resign();

private:
  void onElected(const LeaderElection::Predecessor &Before);
  void onDeposed();
  void tick();
  void tickLater();
  void tickSoon(bool Plan);
  bool mayOrder(TimePoint Now) const;
  bool mayPlan(TimePoint Now) const;
  void plan(PlanScope Scope, TimePoint Now);

  EventLoop &m_Loop;
  ServingState &m_State;
  DecisionLog &m_Log;
  Options m_Opts;
  Hooks m_Hooks;
  LeaderElection m_Election;
  bool m_Resigned = false;
  const TimePoint m_StartedAt = EventLoop::now();
  TimePoint m_EarliestOrder{}; ///< No order is sent earlier.
  PlanSchedule m_Schedule;
  ManagedEngines m_Engines;
  OrderSender m_Orders;
  MoveExecutor m_Moves;
  ContentsPublisher m_Contents;
  ReportPoller m_Reports;
  ResidencyPlanner m_Planner;
  Timer m_Timer;
  Timer m_SoonTimer;
  bool m_TickSoon = false;
};

} // namespace havenstair

#endif
