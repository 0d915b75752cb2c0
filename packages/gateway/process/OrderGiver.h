/// \file
/// Gives orders to all engines, on one box at a time.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_ORDERGIVER_H
#define HAVENSTAIR_GATEWAY_PROCESS_ORDERGIVER_H

#include "decisions/process/DemandRates.h"
#include "decisions/process/LoadRateLimiter.h"
#include "decisions/process/ReplicaPlanner.h"
#include "decisions/process/StoreSlowness.h"
#include "gateway/process/EngineControl.h"
#include "gateway/process/GatewayOptions.h"
#include "gateway/process/HolderClaim.h"
#include "gateway/process/ManagedEngine.h"
#include "gateway/process/ServingState.h"
#include "gateway/process/ShortageLog.h"
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

/// While this box holds the order giver's key, plans replicas and adapters from
/// demand and carries the plan out, one order at a time on each engine. See
/// docs/design/orders.md.
class OrderGiver {
public:
  struct Options {
    HolderClaim::Options m_Claim;
    ServingBounds m_Bounds;
    PlannerOptions m_Planner;
    /// How long a replica stays at least, and an adapter.
    Duration m_ReplicaStays = 6s;
    Duration m_AdapterStays = 400ms;
    AdapterOptions m_Adapters;
    DemandRates::Options m_Rates;
  };
  struct Hooks {
    /// Contents of engines changed; all boxes are to know.
    std::function<void(const FleetContentsFrame &)> m_Contents;
    /// An order was answered; for metrics.
    std::function<void(std::string_view Operation, std::string_view Answer)>
        m_Ordered;
    /// When the store's keys, the holder's among them, were last read.
    std::function<TimePoint()> m_HolderRead;
    std::function<double()> m_Random; ///< From 0 to 1.
  };

  OrderGiver(EventLoop &Loop, CoordinationStore &Store, EngineControl &Engines,
             ServingState &State, DecisionLog &Log, Options Opts,
             Hooks Callbacks);
  ~OrderGiver();
  OrderGiver(const OrderGiver &) = delete;
  OrderGiver &operator=(const OrderGiver &) = delete;

  /// The store's keys have changed; \p Items are those of the whole prefix.
  void entriesChanged(const std::map<std::string, StoreItem> &Items) {
    m_Claim.entriesChanged(Items);
  }
  void upstreamsChanged();
  /// Data centres are evacuated, or were taken back at \p Now.
  void evacuationsChanged(TimePoint Now);
  /// Demand of this box or another one.
  void demanded(const ModelDemands &Demand);
  /// Requests wait for models that no engine holds.
  void missing(const std::vector<ModelKey> &Keys);
  void setBounds(const ServingBounds &Bounds);

  /// Another box told whom it knows to give orders.
  void heardHolder(const BoxName &From, const LeaderTerm &Known, bool Giving,
                   TimePoint SaidAfter) {
    m_Claim.heardHolder(From, Known, Giving, SaidAfter);
  }
  /// The other boxes whose majority decides who gives orders, and whether this
  /// box may be that one.
  void setVoters(std::set<BoxName> Others, bool Eligible);
  void boxLost(const BoxName &Box) { m_Claim.boxLost(Box); }

  /// Whom this box knows to give orders.
  const LeaderTerm &holder() const { return m_Claim.holder(); }
  bool giving() const { return m_Claim.taken(); }
  /// Contents of all engines, for a box that has just been linked.
  FleetContentsFrame contents() const;
  /// Gives the key up.
  void leave();

private:
  /// A model or adapter that requests waited for.
  struct Wanted {
    TimePoint m_Since{};
    TimePoint m_Last{};
  };
  void taken(const HolderClaim::Former &Before);
  void lost();
  void tick();
  void tickLater();
  void tickSoon(bool Plan);
  bool mayOrder(TimePoint Now) const;

  const EngineSpec *specOf(const std::string &Service) const;
  void refreshEngines(TimePoint Now);
  void keepCopiesOfReturned(TimePoint Now);
  void countLateOrders(const InstanceId &Id, ManagedEngine &Of, TimePoint Now);
  void askReports(TimePoint Now);
  void askReport(const InstanceId &Id, ManagedEngine &Of, TimePoint Now);
  void heard(const InstanceId &Id, const std::optional<ResidencyReport> &Report,
             TimePoint AskedAt);
  void advanceTasks(TimePoint Now);
  void advance(const InstanceId &Id, ManagedEngine &Of, const EngineSpec &Spec,
               TimePoint Now);
  bool mayPlan(TimePoint Now) const;
  void planAwaited(TimePoint Now);
  void plan(TimePoint Now);
  void countFormerLoads(TimePoint Now);
  void expectByReplicas(TimePoint Now);
  PlannerInput plannerInput(const std::string &Service, TimePoint Now);
  void planModels(const std::string &Service, const EngineSpec &Spec,
                  TimePoint Now);
  void planAdapterMoves(const std::string &Service, const EngineSpec &Spec,
                        const AdapterOptions &Opts, TimePoint Now);
  std::map<AdapterKey, double> adapterRates(const std::string &Service,
                                            TimePoint Now) const;
  bool give(const InstanceId &Id, ManagedEngine &To,
            const ResidencyOrder &Order, LoadSource Source, TimePoint Now);
  void orderAnswered(const UpstreamIncarnation &Engine,
                     const ResidencyOrder &Order, LoadSource Source,
                     OrderAnswer Answer);
  void settleLoad(const InstanceId &Id, const ManagedEngine &Of, TimePoint Now);
  const UpstreamInstance &entryOf(const InstanceId &Id) const;
  void takeNews(const InstanceId &Id, ManagedEngine &Of, TimePoint Now,
                FleetContentsFrame &Frame);
  void tellChanges();
  void tellChange(const InstanceId &Id, ManagedEngine &Of);
  std::map<std::string, double> replicaShares(const std::string &Service,
                                              TimePoint Now) const;
  bool evacuated(const InstanceId &Id) const;
  bool resident(const std::string &Model, const std::string &Adapter) const;
  /// Engines that hold each model, but for evacuated ones.
  std::map<std::string, std::size_t> replicas() const;

  EventLoop &m_Loop;
  EngineControl &m_Control;
  ServingState &m_State;
  DecisionLog &m_Log;
  Options m_Opts;
  Hooks m_Hooks;
  DemandRates m_Rates;
  HolderClaim m_Claim;
  bool m_Left = false;
  bool m_Expected = false; ///< Usual demand was told by replicas.
  TimePoint m_MayOrderFrom{};
  TimePoint m_NextPlan{};
  TimePoint m_PlanFrom{};    ///< None before, whoever waits.
  TimePoint m_AwaitedFrom{}; ///< The same for what requests wait for.
  bool m_AwaitedSoon = false;
  TimePoint m_ClaimedAt{};
  /// Until when the holder before may have given orders.
  TimePoint m_FormerOrdersUntil{};
  /// The last time engines came back, or were listed at the start.
  TimePoint m_GrewAt{};
  /// Engines that left the list, with what they may still carry out.
  std::map<InstanceId, LateOrders> m_Gone;
  std::map<InstanceId, ManagedEngine> m_Engines;
  std::map<ModelKey, Wanted> m_Missing;
  LoadRateLimiter m_Ceiling;
  ShortageLog m_Shortage;
  StoreSlowness m_StoreSlowness;
  Timer m_Timer;
  Timer m_SoonTimer;
  bool m_TickSoon = false;
};

} // namespace havenstair

#endif
