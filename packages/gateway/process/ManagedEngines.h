/// \file
/// All engines that the leader sends orders to.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_MANAGEDENGINES_H
#define HAVENSTAIR_GATEWAY_PROCESS_MANAGEDENGINES_H

#include "decisions/process/LoadRateLimiter.h"
#include "decisions/process/StoreSlowness.h"
#include "gateway/process/ManagedEngine.h"
#include "gateway/process/ServingState.h"
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace havenstair {

class DecisionLog;

/// The engines in the list of upstreams, with what the leader knows of each and
/// of their loads from the store of weights. Empty while this box does not
/// lead.
class ManagedEngines {
public:
  using Map = std::map<InstanceId, ManagedEngine>;

  ManagedEngines(ServingState &State, DecisionLog &Log)
      : m_State(State), m_Log(Log) {}
  ManagedEngines(const ManagedEngines &) = delete;
  ManagedEngines &operator=(const ManagedEngines &) = delete;

  /// Starts anew, as this box became the leader at \p Now. The leader before it
  /// may have sent orders until \p LastPredecessorOrder; none if there never
  /// was one.
  void startTerm(std::optional<TimePoint> LastPredecessorOrder, TimePoint Now);
  /// Forgets all engines, as this box no longer leads.
  void endTerm() { m_Engines.clear(); }
  /// Follows the list of upstreams: adds engines that were listed, drops those
  /// that have left, and detects restarts.
  void refresh(TimePoint Now);

  Map &all() { return m_Engines; }
  const Map &all() const { return m_Engines; }
  /// Null when the engine has left the list.
  ManagedEngine *find(const InstanceId &Id);
  /// The list's entry of an engine; null when it has left the list.
  const UpstreamInstance *listed(const InstanceId &Id) const;
  /// The list's entry of one of all(), which are all listed.
  const UpstreamInstance &entryOf(const InstanceId &Id) const;
  /// What a service's engines are configured to hold; null for a service
  /// without engines.
  const EngineSpec *specOf(const std::string &Service) const;
  /// The same for the service of an engine; null also when that has left the
  /// list.
  const EngineSpec *specFor(const InstanceId &Id) const;

  /// Records that an engine reports \p Started as its start time.
  void recordStart(const InstanceId &Id, ManagedEngine &Engine,
                   StartTime Started, TimePoint Now);
  /// Records that an engine has restarted: orders to its earlier incarnation
  /// may still be carried out by this one.
  void onRestarted(const InstanceId &Id, ManagedEngine &Engine, TimePoint Now);
  /// Settles a load of \p Engine in the bound on loads: once the engine has
  /// answered and reported, the load has started or never will.
  void settleLoad(const InstanceId &Id, const ManagedEngine &Engine,
                  TimePoint Now);
  /// Determines how many loads of the former leader count against the bound on
  /// loads, which has the length \p Window.
  void countPredecessorLoads(Duration Window, TimePoint Now);
  /// Keeps models that were loaded elsewhere during an evacuation that ended at
  /// \p Now, for the usual time of a replica: the engines that return may be
  /// cold.
  void keepCopiesAfterReturn(TimePoint Now);

  /// Whether \p Id is in a data centre that is evacuated.
  bool evacuated(const InstanceId &Id) const;
  /// Whether an engine that is not evacuated holds a model, and its adapter
  /// unless \p Adapter is empty.
  bool resident(const std::string &Model, const std::string &Adapter) const;
  /// Number of engines that hold each model, evacuated ones left out.
  std::map<std::string, std::size_t> replicas() const;
  /// Whether no engines have been added lately, after which others may follow
  /// whose models seem missing until then.
  bool settled(TimePoint Now) const;
  /// A report that is requested earlier may not show the last orders of the
  /// leader before this one.
  TimePoint reportsCurrentFrom() const { return m_ReportsCurrentFrom; }

  /// The bound on loads from the store of weights.
  LoadRateLimiter &loadLimiter() { return m_LoadLimiter; }
  /// How much slower than nominal the store of weights is.
  StoreSlowness &storeSlowness() { return m_StoreSlowness; }

private:
  void dropDelisted(TimePoint Now);
  void update(const InstanceId &Id, const UpstreamInstance &Entry,
              TimePoint Now);

  ServingState &m_State;
  DecisionLog &m_Log;
  Map m_Engines;
  /// Orders that engines which left the list may still carry out.
  std::map<InstanceId, LateOrders> m_DelistedEngines;
  LoadRateLimiter m_LoadLimiter;
  StoreSlowness m_StoreSlowness;
  TimePoint m_TermStart{}; ///< When this box became the leader.
  bool m_HasPredecessor = false;
  TimePoint m_ReportsCurrentFrom{};
  /// When engines last returned to the list, or were listed at the start.
  TimePoint m_EnginesAddedAt{};
};

} // namespace havenstair

#endif
